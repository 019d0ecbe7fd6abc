/// \file
/// One proxy's live state for one service, and the steps that change it.
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

/// Where one attempt goes, and how long it may wait there for a slot.
struct placement {
  std::size_t Backend = 0;
  milliseconds QueueWait{0};
  /// Whether it waits for a slot that other requests hold.
  bool Parked = false;
  auto operator<=>(const placement &) const = default;
};

/// A request on its way to a backend server.
struct routed_request {
  std::string Account;
  bool Idempotent = false;
  time_point Deadline;
  std::vector<bool> Tried;
  /// Attempts made at once, without waiting in the queue.
  std::uint32_t DirectAttempts = 0;
  bool operator==(const routed_request &) const = default;
};

/// One request in the queue.
struct queued_request {
  explicit queued_request(asio::io_context &Context) : WakeTimer(Context) {}
  routed_request *Request = nullptr;
  asio::steady_timer WakeTimer;
  std::optional<placement> Place;
  bool Refused = false;
};

/// Plain state of one service; not thread-safe.
struct service_runtime {
  explicit service_runtime(service Service);

  service Config;
  balancing_policy Policy = balancing_policy::LateBinding;
  std::vector<backend_state> Backends;
  std::vector<latency_tracker> RouteLatency;
  latency_tracker Latency;
  /// The same over minutes, for the tail that is seldom seen; of requests that
  /// may not be repeated, as the others are hedged before their tail is known.
  latency_tracker TailLatency{seconds(60)};
  admission_queue Queue;
  std::map<std::uint64_t, std::shared_ptr<queued_request>> Queued;
  token_budget RetryBudget;
  token_budget HedgeBudget;
  service_evidence Evidence;
  verdict_set Verdicts;
  /// Requests waiting at backend servers for a slot.
  std::uint32_t Parked = 0;
  std::uint32_t LiveHosts = 1;
  std::uint64_t RoundRobinTurn = 0;
  std::uint64_t NextQueueId = 1;
  std::mt19937_64 Random;
};

/// Takes a changed service over, keeping what is known of what stays.
void reconfigure(service_runtime &Runtime, const service &Config,
                 std::string_view Zone);

/// Puts \p Verdicts in force unless they are older than those held.
/// \returns whether they were taken.
bool replaceVerdicts(service_runtime &Runtime, const verdict_set &Verdicts,
                     std::string_view Zone);

/// \returns a place that the request may ask at once, or nothing.
[[nodiscard]] std::optional<placement>
placeDirectly(service_runtime &Runtime, const routed_request &Request,
              time_point Now);

/// \returns a place for a hedge of the request, or nothing.
[[nodiscard]] std::optional<placement> placeHedge(service_runtime &Runtime,
                                                  const routed_request &Request,
                                                  time_point Now);

/// Gives places to waiting requests, in their turn, and refuses those that
/// can't be served in time.
void dispatchQueue(service_runtime &Runtime, time_point Now);

/// \returns whether the queue takes a request with \p Deadline.
[[nodiscard]] bool queueAdmits(const service_runtime &Runtime,
                               time_point Deadline, time_point Now);

/// \returns whether the request would be taken on now: the queue is empty or
/// admits it.
[[nodiscard]] bool wouldAdmit(const service_runtime &Runtime,
                              time_point Deadline, time_point Now);

/// What the evidence needs to know of one ended attempt.
struct ended_attempt {
  std::size_t Backend = 0;
  std::string BackendName;
  attempt_outcome Outcome = attempt_outcome::Cancelled;
  duration Elapsed{};
  /// It was already counted as late.
  bool WasLate = false;
  /// It was already counted as failed, because it hung.
  bool WasHung = false;
  bool operator==(const ended_attempt &) const = default;
};

/// Counts an attempt's end towards the backend server's state and the evidence.
void recordAttemptEnd(service_runtime &Runtime, const ended_attempt &Attempt,
                      time_point Now);

/// Counts the end of a parked attempt of \p Account.
void recordParkedAttemptEnd(service_runtime &Runtime,
                            const std::string &Account, attempt_outcome Outcome,
                            time_point Now);

/// Counts an attempt that is late, once.
void recordLateAttempt(service_runtime &Runtime,
                       const std::string &BackendName);

/// Counts an attempt that hangs as failed, before its deadline does.
void recordHungAttempt(service_runtime &Runtime,
                       const std::string &BackendName);

/// \returns how long an attempt on a route may run before it counts as late, or
/// nothing while too little is known.
[[nodiscard]] std::optional<duration>
lateThreshold(const service_runtime &Runtime, std::size_t RouteIndex);

/// \returns the index of the backend server called \p Name, if it still is
/// configured; \p Hint is tried first.
[[nodiscard]] std::optional<std::size_t>
backendIndex(const service_runtime &Runtime, std::size_t Hint,
             std::string_view Name);

/// \returns the backend servers that needsDrainProbe() names.
[[nodiscard]] std::vector<backend_server>
serversToProbe(const service_runtime &Runtime, bool WithoutAgent,
               time_point Now);

/// \returns what was counted since the last call.
[[nodiscard]] service_evidence takeEvidence(service_runtime &Runtime);

} // namespace coriandertray
