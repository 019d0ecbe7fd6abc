/// \file
/// The state that one proxy keeps of one service, and the functions that change
/// it.
///
/// A request is first sent to a backend server that seems to have a free slot.
/// If there is none, it waits in the queue of the proxy until it is parked: it
/// is sent to a backend server and waits there, for a limited time, until a
/// slot becomes free. A backend server whose slots stay occupied refuses it,
/// and the proxy tries another one.
#pragma once

#include "balancing/admission_queue.h"
#include "balancing/backend_state.h"
#include "balancing/balancing_policy.h"
#include "balancing/latency_tracker.h"
#include "balancing/token_budget.h"
#include "manifest/manifest.h"
#include "outlier_detection/evidence.h"
#include "outlier_detection/verdict.h"
#include "utils/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coriandertray {

namespace asio = boost::asio;

/// The backend server of one attempt, and how long the attempt may wait there
/// for a slot.
struct placement {
  /// Index into service_runtime::Backends.
  std::size_t Backend = 0;
  /// How long the attempt may wait for a slot; 0 means not at all.
  milliseconds QueueWait{0};
  /// Whether the attempt is parked: it may wait at the backend server for a
  /// slot that is in use.
  bool Parked = false;
  auto operator<=>(const placement &) const = default;
};

/// A request whose route is known, and its progress.
struct routed_request {
  std::string Account;
  bool Idempotent = false;
  time_point Deadline;
  /// For each backend server whether an attempt there was not successful or is
  /// late.
  std::vector<bool> Tried;
  /// The number of attempts that were sent without waiting in the queue.
  std::uint32_t DirectAttempts = 0;
  bool operator==(const routed_request &) const = default;
};

/// A request that waits in the queue. Its coroutine waits for WakeTimer, which
/// is cancelled when Place or Refused is set.
struct queued_request {
  explicit queued_request(asio::io_context &Context) : WakeTimer(Context) {}
  routed_request *Request = nullptr;
  asio::steady_timer WakeTimer;
  std::optional<placement> Place;
  bool Refused = false;
};

/// State of one service. Not thread-safe.
struct service_runtime {
  explicit service_runtime(service Service);

  service Config;
  balancing_policy Policy = balancing_policy::LateBinding;
  std::vector<backend_state> Backends;
  /// Latency of the requests of each route.
  std::vector<latency_tracker> RouteLatency;
  /// Latency of successful attempts of all routes.
  latency_tracker Latency;
  /// The same over minutes, because the longest latencies are rare. Records
  /// only requests that are not idempotent: the others are hedged before their
  /// full latency is known.
  latency_tracker TailLatency{seconds(60)};
  admission_queue Queue;
  /// The requests in Queue by their id.
  std::map<std::uint64_t, std::shared_ptr<queued_request>> Queued;
  token_budget RetryBudget;
  token_budget HedgeBudget;
  /// Collected since the last takeEvidence().
  service_evidence Evidence;
  verdict_set Verdicts;
  /// The number of parked attempts, in flight or about to start.
  std::uint32_t Parked = 0;
  /// The number of live entry hosts in the fleet, at least 1.
  std::uint32_t LiveHosts = 1;
  std::uint64_t RoundRobinTurn = 0;
  std::uint64_t NextQueueId = 1;
  std::mt19937_64 Random;
};

/// Applies a changed configuration. Backend servers that stay keep their state.
void reconfigure(service_runtime &Runtime, const service &Config,
                 std::string_view Zone);

/// Replaces the verdicts by \p Verdicts, unless these are older, and applies
/// them at availability zone \p Zone. \returns whether they were replaced.
bool replaceVerdicts(service_runtime &Runtime, const verdict_set &Verdicts,
                     std::string_view Zone);

/// \returns a backend server to which the request may be sent without queueing,
/// or nothing.
[[nodiscard]] std::optional<placement>
placeDirectly(service_runtime &Runtime, const routed_request &Request,
              time_point Now);

/// \returns a backend server for a hedge of the request, or nothing.
[[nodiscard]] std::optional<placement> placeHedge(service_runtime &Runtime,
                                                  const routed_request &Request,
                                                  time_point Now);

/// Refuses the queued requests that can no longer meet their deadline, then
/// parks queued requests in the order of the queue while the limit on parked
/// requests and the state of the backend servers permit.
void dispatchQueue(service_runtime &Runtime, time_point Now);

/// \returns whether the queue accepts a request with \p Deadline: it is not
/// full and the request is expected to be served in time.
[[nodiscard]] bool queueAdmits(const service_runtime &Runtime,
                               time_point Deadline, time_point Now);

/// \returns whether a request would be accepted now: the queue is empty or
/// admits it.
[[nodiscard]] bool wouldAdmit(const service_runtime &Runtime,
                              time_point Deadline, time_point Now);

/// An attempt that has ended, as input of recordAttemptEnd().
struct ended_attempt {
  std::size_t Backend = 0;
  std::string BackendName;
  attempt_outcome Outcome = attempt_outcome::Cancelled;
  duration Elapsed{};
  /// Already counted as late.
  bool WasLate = false;
  /// Already counted as failed because it hung.
  bool WasHung = false;
  bool operator==(const ended_attempt &) const = default;
};

/// Updates the state of the backend server and the evidence when an attempt has
/// ended.
void recordAttemptEnd(service_runtime &Runtime, const ended_attempt &Attempt,
                      time_point Now);

/// Updates the number of parked attempts and the queue when a parked attempt of
/// \p Account has ended.
void recordParkedAttemptEnd(service_runtime &Runtime,
                            const std::string &Account, attempt_outcome Outcome,
                            time_point Now);

/// Counts a running attempt as late. To be called at most once per attempt.
void recordLateAttempt(service_runtime &Runtime,
                       const std::string &BackendName);

/// Counts a running attempt that hangs as failed, without waiting for its
/// deadline. To be called at most once per attempt.
void recordHungAttempt(service_runtime &Runtime,
                       const std::string &BackendName);

/// \returns how long an attempt on a route may run before it counts as late:
/// the threshold of the route, else that of the service, or nothing until
/// enough requests are recorded.
[[nodiscard]] std::optional<duration>
lateThreshold(const service_runtime &Runtime, std::size_t RouteIndex);

/// \returns the index of the backend server \p Name, or nothing if it is no
/// longer configured. The index \p Hint is tried first.
[[nodiscard]] std::optional<std::size_t>
backendIndex(const service_runtime &Runtime, std::size_t Hint,
             std::string_view Name);

/// \returns the backend servers for which needsDrainProbe() is true.
[[nodiscard]] std::vector<backend_server>
serversToProbe(const service_runtime &Runtime, bool WithoutAgent,
               time_point Now);

/// \returns the evidence collected since the last call, and clears it.
[[nodiscard]] service_evidence takeEvidence(service_runtime &Runtime);

} // namespace coriandertray
