/// \file
/// Runs the outlier detection of the services that this host owns, and keeps a
/// short history of the verdicts of all services.
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

/// \returns the host that runs the outlier detection of \p Service, according
/// to this host's view of the fleet. Logs and state dumps call it the judge.
[[nodiscard]] std::string detectorHostOf(const owner_cache &Owners,
                                         std::string_view Service);

/// A change of the status or the avoided zones of one backend server.
struct verdict_change {
  /// The time at which this host received the change.
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
  /// Called with each new set of verdicts, as an entry for the table.
  using entry_handler = std::function<void(const versioned_entry &)>;

  outlier_detection_runner(const clock_source &Clock,
                           const membership_state &Members,
                           const owner_cache &Owners,
                           const versioned_table &Table,
                           entry_handler OnVerdicts);

  /// Adds the evidence on services that this host owns; evidence on other
  /// services is dropped.
  void addReport(const evidence_report &Report, const manifest &Manifest);

  /// Updates the verdicts on every service that this host owns, and publishes
  /// those that changed. \p Leaving holds the names that the platform lists as
  /// leaving.
  void updateAllVerdicts(const manifest &Manifest,
                         const std::set<std::string, std::less<>> &Leaving);

  /// \returns the backend servers of owned services that reported that they are
  /// draining, each with the name of its service.
  [[nodiscard]] std::vector<std::pair<std::string, backend_server>>
  drainingServers(const manifest &Manifest) const;

  /// Records whether a probe of \p BackendServer found it draining.
  void recordProbe(const std::string &Service, const std::string &BackendServer,
                   bool Draining);

  /// Logs the verdicts in \p Set that changed and adds them to the history.
  void recordVerdicts(const verdict_set &Set);

  /// \returns the most recent verdict changes of all services, oldest first.
  [[nodiscard]] const std::deque<verdict_change> &history() const {
    return History;
  }
  /// \returns the services whose outlier detection this host runs.
  [[nodiscard]] std::set<std::string> ownedServices() const;

private:
  /// \returns the state of \p Service. A new state starts from the verdicts in
  /// the table, which the previous owner may have published.
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
