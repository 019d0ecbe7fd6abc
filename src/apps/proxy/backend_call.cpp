#include "backend_call.h"

#include "attempt.h"

#include "utils/hash.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// How often a queued request has the queue dispatched if no attempt ends.
constexpr duration QueuePollInterval = milliseconds(5);
// Limits the attempts of a request that backend servers keep refusing.
constexpr std::uint32_t MaxAttempts = 40;

/// Runs one request: queueing, attempts, hedges and retries.
class request_runner {
public:
  request_runner(call_environment &Environment,
                 std::shared_ptr<service_runtime> Runtime, http_request Request,
                 routed_request Routed, std::size_t RouteIndex)
      : Environment(Environment), Runtime(std::move(Runtime)),
        Request(std::move(Request)), Routed(std::move(Routed)),
        RouteIndex(RouteIndex) {}

  asio::awaitable<request_result> run() {
    fillBudget(Runtime->RetryBudget, Runtime->Config.RetryBudgetPercent);
    fillBudget(Runtime->HedgeBudget, Runtime->Config.HedgeBudgetPercent);
    for (std::uint32_t Count = 0; Count < MaxAttempts; ++Count) {
      const std::optional<placement> Place = co_await choosePlacement();
      if (!Place)
        co_return resultWithoutSuccess(RefusalReason);
      // A configuration change may have removed the backend server while the
      // request was queued.
      if (Place->Backend >= Runtime->Backends.size()) {
        releasePlacement(*Place);
        continue;
      }
      const attempt_pointer Attempt = co_await runAttempts(*Place);
      if (Attempt->Outcome == attempt_outcome::Succeeded)
        co_return answeredResult(*Attempt);
      markTried(*Attempt);
      if (provesNotRun(*Attempt))
        continue;
      LastPossiblyRun = Attempt;
      const bool MayRetry = Routed.Idempotent &&
                            Environment.Clock.now() < Routed.Deadline &&
                            takeFromBudget(Runtime->RetryBudget);
      if (!MayRetry)
        co_return resultOfAttempt(*Attempt);
      Environment.Metrics.count("coriandertray_retries_total", labels());
    }
    co_return resultWithoutSuccess("no-backend-server-took-it");
  }

private:
  [[nodiscard]] std::string labels() const {
    return "service=\"" + Runtime->Config.Name + "\"";
  }

  [[nodiscard]] time_point now() const { return Environment.Clock.now(); }

  void releasePlacement(const placement &Place) {
    if (Place.Parked)
      --Runtime->Parked;
  }

  void markTried(const attempt &Attempt) {
    if (Routed.Tried.size() < Runtime->Backends.size())
      Routed.Tried.resize(Runtime->Backends.size());
    if (Attempt.Place.Backend < Routed.Tried.size())
      Routed.Tried[Attempt.Place.Backend] = true;
  }

  /// \returns where to send the next attempt, waiting in the queue if needed,
  /// or nothing with RefusalReason set.
  asio::awaitable<std::optional<placement>> choosePlacement() {
    const time_point Now = now();
    if (Now >= Routed.Deadline) {
      RefusalReason = "deadline";
      co_return std::nullopt;
    }
    const std::optional<placement> Direct =
        placeDirectly(*Runtime, Routed, Now);
    if (Direct) {
      ++Routed.DirectAttempts;
      co_return Direct;
    }
    // Once admitted, a request that returns to the queue is not refused because
    // of the queue's length.
    if (!Admitted && !queueAdmits(*Runtime, Routed.Deadline, Now)) {
      RefusalReason = "overloaded";
      co_return std::nullopt;
    }
    Admitted = true;
    co_return co_await waitInQueue();
  }

  asio::awaitable<std::optional<placement>> waitInQueue() {
    const auto Waiting = std::make_shared<queued_request>(Environment.Context);
    Waiting->Request = &Routed;
    const std::uint64_t Id = Runtime->NextQueueId++;
    Runtime->Queue.push({Id, Routed.Account, Routed.Deadline});
    Runtime->Queued.emplace(Id, Waiting);
    dispatchQueue(*Runtime, now());
    while (!Waiting->Place && !Waiting->Refused) {
      Waiting->WakeTimer.expires_after(QueuePollInterval);
      co_await Waiting->WakeTimer.async_wait(UseTuple);
      if (!Waiting->Place && !Waiting->Refused)
        dispatchQueue(*Runtime, now());
    }
    if (!Waiting->Place)
      RefusalReason = "overloaded";
    co_return Waiting->Place;
  }

  attempt_pointer startAttempt(const std::shared_ptr<attempt_group> &Group,
                               const placement &Place) {
    backend_state &Backend = Runtime->Backends[Place.Backend];
    auto Attempt = std::make_shared<attempt>();
    Attempt->Place = Place;
    Attempt->BackendName = Backend.Server.Name;
    Attempt->RequestId = toHex(Runtime->Random());
    Attempt->Canceller = std::make_shared<call_canceller>();
    Attempt->Start = now();
    beginAttempt(Backend);
    Group->Attempts.push_back(Attempt);
    http_request AttemptRequest =
        makeAttemptRequest(Request, *Attempt, Routed.Deadline - Attempt->Start);
    asio::co_spawn(Environment.Context,
                   runAttempt(Environment, Runtime, Group, Attempt,
                              std::move(AttemptRequest), Routed,
                              Backend.Server.Address),
                   asio::detached);
    return Attempt;
  }

  [[nodiscard]] time_point lateAt(const attempt &Attempt) const {
    const std::optional<duration> LateThreshold =
        lateThreshold(*Runtime, RouteIndex);
    if (!LateThreshold)
      return time_point::max();
    const duration Wait = Attempt.Place.Parked
                              ? duration(Attempt.Place.QueueWait)
                              : duration::zero();
    return Attempt.Start + *LateThreshold + Wait;
  }

  [[nodiscard]] time_point hungAt(const attempt &Attempt) const {
    // Not for hedged attempts: the slower one is cancelled when the other one
    // succeeds.
    const std::optional<duration> HungThreshold =
        Attempt.WasHedged ? std::nullopt : Runtime->TailLatency.hungThreshold();
    return HungThreshold ? Attempt.Start + *HungThreshold : time_point::max();
  }

  void recordHungAttempts(const std::shared_ptr<attempt_group> &Group) {
    for (const attempt_pointer &Attempt : Group->Attempts) {
      if (Attempt->HungRecorded || Attempt->Result || now() < hungAt(*Attempt))
        continue;
      Attempt->HungRecorded = true;
      recordHungAttempt(*Runtime, Attempt->BackendName);
      Environment.Metrics.count("coriandertray_hung_attempts_total", labels());
    }
  }

  void recordLateAttempts(const std::shared_ptr<attempt_group> &Group) {
    for (const attempt_pointer &Attempt : Group->Attempts) {
      if (Attempt->LateRecorded || Attempt->Result || now() < lateAt(*Attempt))
        continue;
      Attempt->LateRecorded = true;
      recordLateAttempt(*Runtime, Attempt->BackendName);
      Environment.Metrics.count("coriandertray_late_attempts_total", labels());
    }
  }

  // Sends a late idempotent request to a second backend server, at most once
  // per attempt group, and only while the hedge budget allows it and no request
  // is queued.
  void maybeHedge(const std::shared_ptr<attempt_group> &Group) {
    const bool Wanted = Routed.Idempotent && Group->Attempts.size() == 1 &&
                        Group->Attempts.front()->LateRecorded;
    if (!Wanted || Runtime->Queue.size() > 0)
      return;
    markTried(*Group->Attempts.front());
    const std::optional<placement> Place = placeHedge(*Runtime, Routed, now());
    if (!Place || !takeFromBudget(Runtime->HedgeBudget))
      return;
    startAttempt(Group, *Place);
    for (const attempt_pointer &Each : Group->Attempts)
      Each->WasHedged = true;
    Environment.Metrics.count("coriandertray_hedges_total", labels());
  }

  static bool allEnded(const attempt_group &Group) {
    return std::ranges::all_of(Group.Attempts, [](const attempt_pointer &Each) {
      return Each->Result.has_value();
    });
  }

  static attempt_pointer winner(const attempt_group &Group) {
    const auto Found =
        std::ranges::find_if(Group.Attempts, [](const attempt_pointer &Each) {
          return Each->Outcome == attempt_outcome::Succeeded;
        });
    return Found == Group.Attempts.end() ? nullptr : *Found;
  }

  // If no attempt succeeded, one that may have run decides the outcome for the
  // caller.
  static attempt_pointer decidingAttempt(const attempt_group &Group) {
    const auto Found =
        std::ranges::find_if(Group.Attempts, [](const attempt_pointer &Each) {
          return !provesNotRun(*Each);
        });
    return Found == Group.Attempts.end() ? Group.Attempts.front() : *Found;
  }

  /// Runs an attempt at \p Place and possibly a hedge. \returns the first that
  /// succeeded, else the one that decides the outcome.
  asio::awaitable<attempt_pointer> runAttempts(placement Place) {
    const auto Group = std::make_shared<attempt_group>(Environment.Context);
    startAttempt(Group, Place);
    while (!winner(*Group) && !allEnded(*Group)) {
      recordLateAttempts(Group);
      recordHungAttempts(Group);
      maybeHedge(Group);
      Group->Changed.expires_at(nextEventTime(*Group));
      co_await Group->Changed.async_wait(UseTuple);
    }
    const attempt_pointer Winner = winner(*Group);
    for (const attempt_pointer &Each : Group->Attempts)
      if (!Each->Result)
        Each->Canceller->cancel();
    if (Winner) {
      recordRouteLatency(*Winner);
      co_return Winner;
    }
    co_return decidingAttempt(*Group);
  }

  /// \returns when the group must be examined next if no attempt ends earlier.
  [[nodiscard]] time_point nextEventTime(const attempt_group &Group) const {
    constexpr duration HedgeRecheckInterval = milliseconds(5);
    time_point Next = Routed.Deadline + seconds(1);
    for (const attempt_pointer &Each : Group.Attempts) {
      if (!Each->Result && !Each->LateRecorded)
        Next = std::min(Next, lateAt(*Each));
      if (!Each->Result && !Each->HungRecorded)
        Next = std::min(Next, hungAt(*Each));
    }
    const bool AwaitsHedge = Routed.Idempotent && Group.Attempts.size() == 1 &&
                             Group.Attempts.front()->LateRecorded;
    return AwaitsHedge ? std::min(Next, now() + HedgeRecheckInterval) : Next;
  }

  void recordRouteLatency(const attempt &Attempt) {
    const time_point Now = now();
    if (RouteIndex < Runtime->RouteLatency.size())
      Runtime->RouteLatency[RouteIndex].record(Now - Attempt.Start, Now);
  }

  request_result answeredResult(const attempt &Attempt) {
    request_result Result;
    Result.Outcome = request_outcome::Answered;
    Result.Response = Attempt.Result->Response;
    setHeader(Result.Response.Headers, header::BackendServer,
              Attempt.BackendName);
    if (Attempt.WasHedged)
      setHeader(Result.Response.Headers, header::Hedged, "1");
    return Result;
  }

  request_result resultOfAttempt(const attempt &Attempt) {
    if (Attempt.Result->Status == call_status::Answered)
      return answeredResult(Attempt);
    request_result Result;
    Result.Outcome = request_outcome::Unknown;
    Result.Reason = std::string(callStatusName(Attempt.Result->Status));
    return Result;
  }

  /// \returns the result when no further attempt is made. An earlier attempt
  /// that may have run takes precedence over \p Reason.
  request_result resultWithoutSuccess(const std::string &Reason) {
    if (LastPossiblyRun)
      return resultOfAttempt(*LastPossiblyRun);
    request_result Result;
    Result.Reason = Reason;
    return Result;
  }

  call_environment &Environment;
  std::shared_ptr<service_runtime> Runtime;
  http_request Request;
  routed_request Routed;
  std::size_t RouteIndex;
  std::string RefusalReason;
  /// The last failed attempt that the backend server may have run.
  attempt_pointer LastPossiblyRun;
  /// The queue has admitted the request.
  bool Admitted = false;
};

} // namespace

asio::awaitable<request_result>
runRequest(call_environment &Environment,
           std::shared_ptr<service_runtime> Runtime, http_request Request,
           routed_request Routed, std::size_t RouteIndex) {
  request_runner Runner(Environment, std::move(Runtime), std::move(Request),
                        std::move(Routed), RouteIndex);
  co_return co_await Runner.run();
}

} // namespace coriandertray
