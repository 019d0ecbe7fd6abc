/// \file
/// Runs the judges of the services that this host owns, and keeps a short
/// history of what they decided.
#pragma once

#include "exchange/versioned_table.h"
#include "manifest/manifest.h"
#include "membership/membership.h"
#include "membership/owner_cache.h"
#include "outlier_detection/evidence.h"
#include "outlier_detection/outlier_detector.h"
#include "outlier_detection/verdict.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace coriandertray {

/// \returns the table key of the verdicts on \p Service.
[[nodiscard]] std::string verdictKey(std::string_view Service);

/// \returns the host that judges \p Service, as this host sees the fleet.
[[nodiscard]] std::string detectorHostOf(const owner_cache &Owners,
                                         std::string_view Service);

/// One change of a backend server's standing.
struct verdict_change {
  /// Milliseconds since 1970-01-01 UTC.
  std::int64_t AtMs = 0;
  std::string Service;
  std::string DetectorHost;
  backend_verdict Verdict;
  bool operator==(const verdict_change &) const = default;
};

/// All members run on one thread.
class outlier_detection_runner {
public:
  using entry_handler = std::function<void(const versioned_entry &)>;

  outlier_detection_runner(const clock_source &Clock,
                           const membership_state &Members,
                           const owner_cache &Owners,
                           const versioned_table &Table,
                           entry_handler OnVerdicts);

  /// Takes in evidence on services that this host judges; other services'
  /// evidence is dropped.
  void addReport(const evidence_report &Report, const manifest &Manifest);

  /// Decides on every service that this host judges.
  void updateAllVerdicts(const manifest &Manifest,
                         const std::set<std::string, std::less<>> &Leaving);

  /// \returns the servers of \p Manifest that said that they drain, with the
  /// name of their service.
  [[nodiscard]] std::vector<std::pair<std::string, backend_server>>
  drainingServers(const manifest &Manifest) const;

  /// Notes what a probe said about draining.
  void recordProbe(const std::string &Service, const std::string &BackendServer,
                   bool Draining);

  /// Notes the verdicts that came in force, for explain.
  void recordVerdicts(const verdict_set &Set);

  [[nodiscard]] const std::deque<verdict_change> &history() const {
    return History;
  }
  [[nodiscard]] std::set<std::string> ownedServices() const;

private:
  outlier_detection_state &stateOf(const std::string &Service);
  void publish(const service &Service, const outlier_detection_state &State);

  const clock_source &Clock;
  const membership_state &Members;
  const owner_cache &Owners;
  const versioned_table &Table;
  entry_handler OnVerdicts;
  outlier_detection_policy Policy;
  std::map<std::string, outlier_detection_state> States;
  std::map<std::string, verdict_set, std::less<>> LatestVerdicts;
  std::deque<verdict_change> History;
};

} // namespace coriandertray
