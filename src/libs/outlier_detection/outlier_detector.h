/// \file
/// Fleet-wide outlier detection for one service. Pools the evidence from all
/// entry hosts, compares each backend server with its siblings, which are the
/// other backend servers of the service, and ejects the outliers. One agent of
/// the fleet does this for a service; logs and wire messages call it the judge.
///
/// The floor is the number of slots that a service keeps in use however many
/// backend servers look unhealthy. All backend servers are decided on together,
/// so that ejections never take the service below its floor.
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

/// Settings of the outlier detection.
struct outlier_detection_policy {
  /// Scores from which a backend server in service counts as unhealthy.
  double FailureThreshold = 7;
  double LatencyThreshold = 12;
  /// Either score from which a backend server on trial counts as unhealthy.
  double TrialThreshold = 4;
  /// Length of the first ejection. Each further ejection lasts twice as long as
  /// the one before, up to MaxEjectionTime.
  milliseconds BaseEjectionTime{2000};
  milliseconds MaxEjectionTime{120'000};
  /// Successful requests that end a trial.
  std::uint32_t TrialSuccesses = 5;
  /// A trial without any evidence ends after this time.
  milliseconds TrialIdleTimeout{5000};
  std::uint32_t TrialWeightPercent = 10;
  /// During slow start, the weight doubles at this interval.
  milliseconds SlowStartInterval{500};
  /// After this time in service at full weight, the ejection count is reset to
  /// zero.
  milliseconds EjectionCountResetTime{60'000};
  /// Half-life of the decayed counts by which siblings and zones are compared.
  milliseconds CountHalfLife{1000};
  bool operator==(const outlier_detection_policy &) const = default;
};

/// Counts of outcomes with exponential decay.
struct decayed_counts {
  double Succeeded = 0;
  double Failed = 0;
  double Late = 0;
  double Slow = 0;
  bool operator==(const decayed_counts &) const = default;
};

/// Outlier detection state of one backend server.
struct backend_health {
  backend_status Status = backend_status::InService;
  std::uint32_t WeightPercent = 100;
  cusum_score FailureScore;
  cusum_score LatencyScore;
  decayed_counts RecentCounts;
  std::map<std::string, decayed_counts, std::less<>> RecentCountsByZone;
  /// Hosts that reported a failed or late request since the last trial began,
  /// or ever if there was none.
  std::set<std::string, std::less<>> BadReporters;
  outcome_counts CountsSinceTrialStart;
  /// Time of the last change of status or weight.
  time_point ChangedAt;
  time_point EjectedUntil;
  /// The backend server reported that it is draining. Stays set until a probe
  /// reports otherwise.
  bool Draining = false;
  std::uint32_t EjectionCount = 0;
  std::string Reason;
  std::vector<std::string> AvoidZones;
  bool operator==(const backend_health &) const = default;
};

/// The complete outlier detection state of one service.
struct outlier_detection_state {
  std::map<std::string, backend_health, std::less<>> Backends;
  time_point DecayedAt;
  bool operator==(const outlier_detection_state &) const = default;
};

/// Adds the evidence on \p Service that \p Host in availability zone \p Zone
/// reported. Unknown backend servers are ignored.
void addEvidence(outlier_detection_state &State,
                 const outlier_detection_policy &Policy, const service &Service,
                 std::string_view Host, std::string_view Zone,
                 const service_evidence &Evidence, time_point Now);

/// Records whether a probe of \p BackendServer found it draining.
void recordDrainProbe(outlier_detection_state &State,
                      std::string_view BackendServer, bool Draining);

/// \returns the names of the backend servers that reported that they are
/// draining.
[[nodiscard]] std::vector<std::string>
drainingBackends(const outlier_detection_state &State);

/// Initializes \p State from the verdicts of the agent that ran the outlier
/// detection before. An ejected backend server stays ejected for
/// BaseEjectionTime.
void adoptVerdicts(outlier_detection_state &State,
                   const outlier_detection_policy &Policy,
                   const verdict_set &Verdicts, time_point Now);

/// Updates the status and weight of all backend servers. \p Leaving holds the
/// names of those that the platform lists as leaving. \returns whether any
/// verdict changed; a new reason or new evidence alone is no change.
bool updateVerdicts(outlier_detection_state &State,
                    const outlier_detection_policy &Policy,
                    const service &Service,
                    const std::set<std::string, std::less<>> &Leaving,
                    time_point Now);

/// \returns the current verdicts, in the order of the manifest.
[[nodiscard]] std::vector<backend_verdict>
currentVerdicts(const outlier_detection_state &State, const service &Service);

/// \returns the slots of \p Service that \p Verdicts leave in service, each
/// backend server scaled by its weight.
[[nodiscard]] std::uint32_t
slotsInService(const service &Service,
               const std::vector<backend_verdict> &Verdicts);

} // namespace coriandertray
