/// \file
/// What one proxy knows of one backend server, and how events change it.
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
  /// Requests of this proxy that it runs now.
  std::uint32_t InFlight = 0;
  /// The load it reported last, from all proxies, in requests.
  std::uint32_t ReportedLoad = 0;
  time_point ReportedAt;
  /// It refused for lack of slots; not asked again before this time.
  time_point FullUntil;
  /// It said that it drains; holds until a probe says otherwise.
  bool Draining = false;
  /// When it answered last, a request or a probe.
  time_point LastResponseAt;
  /// No connection could be made.
  time_point UnreachableUntil;
  /// This proxy's own requests to it go wrong.
  time_point SuspectUntil;
  cusum_score FailureScore;
  std::uint32_t SuspicionCount = 0;
  /// The fleet's verdict.
  backend_status Status = backend_status::InService;
  std::uint32_t WeightPercent = 100;
  bool AvoidPath = false;
  bool operator==(const backend_state &) const = default;
};

/// How one attempt at a backend server ended.
enum class attempt_outcome {
  Succeeded,
  Failed,      ///< An error answer, a broken or missing one.
  Refused,     ///< Not run, for lack of a slot.
  Draining,    ///< Not run, because it drains.
  Unreachable, ///< No connection.
  Cancelled,   ///< Given up by this proxy: says nothing.
};

/// \returns what an attempt that ended as \p Outcome says of its backend
/// server. One that its deadline cut off, \p TimedOut, before it ran longer
/// than usually happens says nothing: the time was lost elsewhere. \p HungAfter
/// is from when on it does, if known.
[[nodiscard]] attempt_outcome
outcomeForHealth(attempt_outcome Outcome, bool TimedOut, duration Elapsed,
                 std::optional<duration> HungThreshold);

/// Notes that an attempt began.
void beginAttempt(backend_state &State);

/// Notes that an attempt ended. \p Jitter in [0, 1) spreads the next ask.
void endAttempt(backend_state &State, attempt_outcome Outcome, double Jitter,
                time_point Now);

/// Notes the load that an answer carried.
void recordLoad(backend_state &State, std::uint32_t Load, time_point Now);

/// Notes whether the backend server says that it drains.
void recordDraining(backend_state &State, bool Draining, time_point Now);

/// \returns whether the backend server must be asked whether it drains: because
/// it said so and gets no work that would tell when that ends, or because this
/// proxy is \p Alone, without an agent to tell it, and has heard nothing
/// lately.
[[nodiscard]] bool needsDrainProbe(const backend_state &State,
                                   bool WithoutAgent, time_point Now);

/// Puts the fleet's verdicts in force at this proxy, in availability zone
/// \p Zone. A backend server without a verdict is in service.
void applyVerdicts(std::vector<backend_state> &States,
                   const std::vector<backend_verdict> &Verdicts,
                   std::string_view Zone);

/// \returns the states for \p Service, what is known of servers that stay
/// being kept.
[[nodiscard]] std::vector<backend_state>
reconfigure(const std::vector<backend_state> &States, const service &Service);

/// \returns for each backend server whether it may get new work now, the floor
/// of \p FloorSlots being kept.
[[nodiscard]] std::vector<bool>
usableBackends(const std::vector<backend_state> &States,
               std::uint32_t FloorSlots, time_point Now);

} // namespace coriandertray
