/// \file
/// The judge of one service: pools evidence from all entry hosts, compares
/// backend servers with their siblings, and decides on all of them as one set
/// that never goes below the floor.
///
/// Plain state and free functions; not thread-safe.
#pragma once

#include "manifest/manifest.h"
#include "outlier_detection/cusum.h"
#include "outlier_detection/evidence.h"
#include "outlier_detection/verdict.h"
#include "utils/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace coriandertray {

/// The constants of judging.
struct outlier_detection_policy {
  /// Scores from which a backend server counts as sick.
  double FailureThreshold = 7;
  double LatencyThreshold = 12;
  /// The same while a backend server is on trial.
  double TrialThreshold = 4;
  /// The first ejection lasts this long; each one after it twice as long.
  milliseconds BaseEjectionTime{2000};
  milliseconds MaxEjectionTime{120'000};
  /// Successes that end a trial.
  std::uint32_t TrialSuccesses = 5;
  /// A trial without any evidence ends after this time.
  milliseconds TrialIdleTimeout{5000};
  std::uint32_t TrialWeightPercent = 10;
  /// The time between the steps of a slow start.
  milliseconds SlowStartInterval{500};
  /// In service for this long, a backend server's ejections are forgotten.
  milliseconds EjectionCountResetTime{60'000};
  /// The half-life of the counts that siblings and zones are compared by.
  milliseconds CountHalfLife{1000};
  bool operator==(const outlier_detection_policy &) const = default;
};

/// Decaying counts of outcomes.
struct decayed_counts {
  double Succeeded = 0;
  double Failed = 0;
  double Late = 0;
  double Slow = 0;
  bool operator==(const decayed_counts &) const = default;
};

/// What the judge knows of one backend server.
struct backend_health {
  backend_status Status = backend_status::InService;
  std::uint32_t WeightPercent = 100;
  cusum_score FailureScore;
  cusum_score LatencyScore;
  decayed_counts RecentCounts;
  std::map<std::string, decayed_counts, std::less<>> RecentCountsByZone;
  /// Hosts that reported a bad outcome since the last change of standing.
  std::set<std::string, std::less<>> BadReporters;
  outcome_counts CountsSinceTrialStart;
  time_point ChangedAt;
  time_point EjectedUntil;
  /// It said that it drains; holds until a probe says otherwise.
  bool Draining = false;
  std::uint32_t EjectionCount = 0;
  std::string Reason;
  std::vector<std::string> AvoidZones;
  bool operator==(const backend_health &) const = default;
};

/// The whole state of the judge of one service.
struct outlier_detection_state {
  std::map<std::string, backend_health, std::less<>> Backends;
  time_point DecayedAt;
  bool operator==(const outlier_detection_state &) const = default;
};

/// Adds one host's evidence on \p Service. Unknown backend servers are
/// ignored.
void addEvidence(outlier_detection_state &State,
                 const outlier_detection_policy &Policy, const service &Service,
                 std::string_view Host, std::string_view Zone,
                 const service_evidence &Evidence, time_point Now);

/// Notes what a probe of \p BackendServer said about draining.
void recordDrainProbe(outlier_detection_state &State,
                      std::string_view BackendServer, bool Draining);

/// \returns the backend servers that said that they drain.
[[nodiscard]] std::vector<std::string>
drainingBackends(const outlier_detection_state &State);

/// Takes over the standings that an earlier judge decided on.
void adoptVerdicts(outlier_detection_state &State,
                   const outlier_detection_policy &Policy,
                   const verdict_set &Verdicts, time_point Now);

/// Decides anew. \p Leaving names the backend servers that the platform lists
/// as leaving. \returns whether any verdict changed.
bool updateVerdicts(outlier_detection_state &State,
                    const outlier_detection_policy &Policy,
                    const service &Service,
                    const std::set<std::string, std::less<>> &Leaving,
                    time_point Now);

/// \returns the verdicts in force, in the order of the manifest.
[[nodiscard]] std::vector<backend_verdict>
currentVerdicts(const outlier_detection_state &State, const service &Service);

/// \returns the slots of \p Service that \p Verdicts leave in service.
[[nodiscard]] std::uint32_t
slotsInService(const service &Service,
               const std::vector<backend_verdict> &Verdicts);

} // namespace coriandertray
