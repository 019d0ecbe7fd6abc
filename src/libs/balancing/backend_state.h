/// \file
/// The state that one proxy keeps of one backend server, and the events that
/// change it.
#pragma once

#include "manifest/manifest.h"
#include "outlier_detection/cusum.h"
#include "outlier_detection/verdict.h"
#include "utils/clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// Plain state; not thread-safe.
struct backend_state {
  backend_server Server;
  /// Requests of this proxy in flight at the backend server.
  std::uint32_t InFlight = 0;
  /// The load that it reported last: requests in flight from all proxies.
  std::uint32_t ReportedLoad = 0;
  time_point ReportedAt;
  /// Set when it refused a request for lack of slots. Not tried again before
  /// this time.
  time_point FullUntil;
  /// It reported that it is draining. Stays set until a probe reports
  /// otherwise.
  bool Draining = false;
  /// Time of the last response to a request or a probe; failed requests do not
  /// count.
  time_point LastResponseAt;
  /// Set when no connection could be established. Excluded until this time if
  /// the floor permits.
  time_point UnreachableUntil;
  /// Set when this proxy's own requests to it fail too often. Excluded until
  /// this time if the floor permits.
  time_point SuspectUntil;
  cusum_score FailureScore;
  std::uint32_t SuspicionCount = 0;
  /// The status in the fleet-wide verdict.
  backend_status Status = backend_status::InService;
  std::uint32_t WeightPercent = 100;
  /// According to the verdict, the zone of this proxy avoids the backend
  /// server.
  bool AvoidPath = false;
  bool operator==(const backend_state &) const = default;
};

/// How one attempt at a backend server ended.
enum class attempt_outcome {
  Succeeded,
  Failed,      ///< Error response, broken response or none.
  Refused,     ///< Not executed, for lack of a free slot.
  Draining,    ///< Not executed, because the server is draining.
  Unreachable, ///< No connection could be established.
  Cancelled,   ///< Cancelled by this proxy: no evidence.
};

/// \returns the outcome by which to assess the backend server after an attempt
/// that ended as \p Outcome. An attempt cut off by its deadline (\p TimedOut)
/// after less than \p HungThreshold counts as Cancelled: that duration is
/// normal, and the time was lost elsewhere. Without a known threshold this is
/// always \p Outcome.
[[nodiscard]] attempt_outcome
outcomeForHealth(attempt_outcome Outcome, bool TimedOut, duration Elapsed,
                 std::optional<duration> HungThreshold);

/// Records the start of an attempt.
void beginAttempt(backend_state &State);

/// Records the end of an attempt. \p Jitter in [0, 1) randomizes the delay
/// after which a full backend server is tried again.
void endAttempt(backend_state &State, attempt_outcome Outcome, double Jitter,
                time_point Now);

/// Records the load that a response reported.
void recordLoad(backend_state &State, std::uint32_t Load, time_point Now);

/// Records whether the backend server reports that it is draining.
void recordDraining(backend_state &State, bool Draining, time_point Now);

/// \returns whether the backend server must be probed for draining. A draining
/// one must, as it gets no requests whose responses would show the end of the
/// drain. If the proxy runs \p WithoutAgent to inform it, so must one that has
/// not responded lately.
[[nodiscard]] bool needsDrainProbe(const backend_state &State,
                                   bool WithoutAgent, time_point Now);

/// Applies the fleet-wide verdicts at a proxy in availability zone \p Zone. A
/// backend server without a verdict is in service.
void applyVerdicts(std::vector<backend_state> &States,
                   const std::vector<backend_verdict> &Verdicts,
                   std::string_view Zone);

/// \returns the states for the backend servers of \p Service. A server whose
/// name and address stay the same keeps its state.
[[nodiscard]] std::vector<backend_state>
reconfigure(const std::vector<backend_state> &States, const service &Service);

/// \returns for each backend server whether it may get new work now. At least
/// \p FloorSlots slots stay usable, unless too many backend servers are
/// leaving; see applyFloor().
[[nodiscard]] std::vector<bool>
usableBackends(const std::vector<backend_state> &States,
               std::uint32_t FloorSlots, time_point Now);

} // namespace coriandertray
