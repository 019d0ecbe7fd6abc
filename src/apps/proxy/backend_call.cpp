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
constexpr duration QueueTick = milliseconds(5);
constexpr std::uint32_t MaxAttempts = 40;

/// The course of one request.
class request_course {
public:
  request_course(call_environment &Environment,
                 std::shared_ptr<service_runtime> Runtime, http_request Request,
                 routed_request Routed, std::size_t RouteIndex)
      : Environment(Environment), Runtime(std::move(Runtime)),
        Request(std::move(Request)), Routed(std::move(Routed)),
        RouteIndex(RouteIndex) {}

  asio::awaitable<request_result> run() {
    fillBudget(Runtime->Retries, Runtime->Config.RetryBudgetPercent);
    fillBudget(Runtime->Hedges, Runtime->Config.HedgeBudgetPercent);
    for (std::uint32_t Count = 0; Count < MaxAttempts; ++Count) {
      const std::optional<placement> Place = co_await place();
      if (!Place)
        co_return endWithout(RefusalReason);
      // The configuration may have changed while the request waited.
      if (Place->Backend >= Runtime->Backends.size()) {
        releasePlace(*Place);
        continue;
      }
      const attempt_pointer Attempt = co_await raceFrom(*Place);
      if (Attempt->Outcome == attempt_outcome::Succeeded)
        co_return answered(*Attempt);
      markTried(*Attempt);
      if (provesNotRun(*Attempt))
        continue;
      LastThatMayHaveRun = Attempt;
      const bool Again = Routed.Idempotent &&
                         Environment.Clock.now() < Routed.Deadline &&
                         takeFromBudget(Runtime->Retries);
      if (!Again)
        co_return endWith(*Attempt);
      Environment.Metrics.count("coriandertray_retries_total", labels());
    }
    co_return endWithout("no-backend-server-took-it");
  }

private:
  [[nodiscard]] std::string labels() const {
    return "service=\"" + Runtime->Config.Name + "\"";
  }

  [[nodiscard]] time_point now() const { return Environment.Clock.now(); }

  void releasePlace(const placement &Place) {
    if (Place.Parked)
      --Runtime->Parked;
  }

  void markTried(const attempt &Attempt) {
    if (Routed.Tried.size() < Runtime->Backends.size())
      Routed.Tried.resize(Runtime->Backends.size());
    if (Attempt.Place.Backend < Routed.Tried.size())
      Routed.Tried[Attempt.Place.Backend] = true;
  }

  asio::awaitable<std::optional<placement>> place() {
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
    // Admitted once, a request is not refused for the length of the queue.
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
    const std::uint64_t Id = Runtime->NextId++;
    Runtime->Queue.push({Id, Routed.Account, Routed.Deadline});
    Runtime->Queued.emplace(Id, Waiting);
    serveQueue(*Runtime, now());
    while (!Waiting->Place && !Waiting->Refused) {
      Waiting->Turn.expires_after(QueueTick);
      co_await Waiting->Turn.async_wait(UseTuple);
      if (!Waiting->Place && !Waiting->Refused)
        serveQueue(*Runtime, now());
    }
    if (!Waiting->Place)
      RefusalReason = "overloaded";
    co_return Waiting->Place;
  }

  attempt_pointer startAttempt(const std::shared_ptr<race> &Race,
                               const placement &Place) {
    backend_state &Backend = Runtime->Backends[Place.Backend];
    auto Attempt = std::make_shared<attempt>();
    Attempt->Place = Place;
    Attempt->BackendName = Backend.Server.Name;
    Attempt->RequestId = toHex(Runtime->Random());
    Attempt->Canceller = std::make_shared<call_canceller>();
    Attempt->Start = now();
    beginAttempt(Backend);
    Race->Attempts.push_back(Attempt);
    http_request Own =
        makeAttemptRequest(Request, *Attempt, Routed.Deadline - Attempt->Start);
    asio::co_spawn(Environment.Context,
                   makeAttempt(Environment, Runtime, Race, Attempt,
                               std::move(Own), Routed, Backend.Server.Address),
                   asio::detached);
    return Attempt;
  }

  [[nodiscard]] time_point lateAt(const attempt &Attempt) const {
    const std::optional<duration> LateAfter = lateAfter(*Runtime, RouteIndex);
    if (!LateAfter)
      return time_point::max();
    const duration Wait = Attempt.Place.Parked
                              ? duration(Attempt.Place.QueueWait)
                              : duration::zero();
    return Attempt.Start + *LateAfter + Wait;
  }

  [[nodiscard]] time_point hungAt(const attempt &Attempt) const {
    // A hedged attempt is given up when the other one wins.
    const std::optional<duration> HungAfter =
        Attempt.WasHedged ? std::nullopt : Runtime->Tail.hungThreshold();
    return HungAfter ? Attempt.Start + *HungAfter : time_point::max();
  }

  void noteHung(const std::shared_ptr<race> &Race) {
    for (const attempt_pointer &Attempt : Race->Attempts) {
      if (Attempt->HungNoted || Attempt->Result || now() < hungAt(*Attempt))
        continue;
      Attempt->HungNoted = true;
      noteHungAttempt(*Runtime, Attempt->BackendName);
      Environment.Metrics.count("coriandertray_hung_attempts_total", labels());
    }
  }

  void noteLate(const std::shared_ptr<race> &Race) {
    for (const attempt_pointer &Attempt : Race->Attempts) {
      if (Attempt->LateNoted || Attempt->Result || now() < lateAt(*Attempt))
        continue;
      Attempt->LateNoted = true;
      noteLateAttempt(*Runtime, Attempt->BackendName);
      Environment.Metrics.count("coriandertray_late_attempts_total", labels());
    }
  }

  // A late idempotent request gets one second chance elsewhere.
  void maybeHedge(const std::shared_ptr<race> &Race) {
    const bool Wanted = Routed.Idempotent && Race->Attempts.size() == 1 &&
                        Race->Attempts.front()->LateNoted;
    if (!Wanted || Runtime->Queue.size() > 0)
      return;
    markTried(*Race->Attempts.front());
    const std::optional<placement> Place = placeHedge(*Runtime, Routed, now());
    if (!Place || !takeFromBudget(Runtime->Hedges))
      return;
    startAttempt(Race, *Place);
    for (const attempt_pointer &Each : Race->Attempts)
      Each->WasHedged = true;
    Environment.Metrics.count("coriandertray_hedges_total", labels());
  }

  static bool allEnded(const race &Race) {
    return std::ranges::all_of(Race.Attempts, [](const attempt_pointer &Each) {
      return Each->Result.has_value();
    });
  }

  static attempt_pointer winner(const race &Race) {
    const auto Found =
        std::ranges::find_if(Race.Attempts, [](const attempt_pointer &Each) {
          return Each->Outcome == attempt_outcome::Succeeded;
        });
    return Found == Race.Attempts.end() ? nullptr : *Found;
  }

  // Of several ended attempts, one that may have run decides what is said.
  static attempt_pointer worst(const race &Race) {
    const auto Found =
        std::ranges::find_if(Race.Attempts, [](const attempt_pointer &Each) {
          return !provesNotRun(*Each);
        });
    return Found == Race.Attempts.end() ? Race.Attempts.front() : *Found;
  }

  asio::awaitable<attempt_pointer> raceFrom(placement Place) {
    const auto Race = std::make_shared<race>(Environment.Context);
    startAttempt(Race, Place);
    while (!winner(*Race) && !allEnded(*Race)) {
      noteLate(Race);
      noteHung(Race);
      maybeHedge(Race);
      Race->Changed.expires_at(nextEvent(*Race));
      co_await Race->Changed.async_wait(UseTuple);
    }
    const attempt_pointer Winner = winner(*Race);
    for (const attempt_pointer &Each : Race->Attempts)
      if (!Each->Result)
        Each->Canceller->cancel();
    if (Winner) {
      noteDuration(*Winner);
      co_return Winner;
    }
    co_return worst(*Race);
  }

  [[nodiscard]] time_point nextEvent(const race &Race) const {
    constexpr duration HedgeRecheck = milliseconds(5);
    time_point Next = Routed.Deadline + seconds(1);
    for (const attempt_pointer &Each : Race.Attempts) {
      if (!Each->Result && !Each->LateNoted)
        Next = std::min(Next, lateAt(*Each));
      if (!Each->Result && !Each->HungNoted)
        Next = std::min(Next, hungAt(*Each));
    }
    const bool AwaitsHedge = Routed.Idempotent && Race.Attempts.size() == 1 &&
                             Race.Attempts.front()->LateNoted;
    return AwaitsHedge ? std::min(Next, now() + HedgeRecheck) : Next;
  }

  void noteDuration(const attempt &Attempt) {
    const time_point Now = now();
    if (RouteIndex < Runtime->RouteLatency.size())
      Runtime->RouteLatency[RouteIndex].record(Now - Attempt.Start, Now);
  }

  request_result answered(const attempt &Attempt) {
    request_result Result;
    Result.End = request_end::Answered;
    Result.Response = Attempt.Result->Response;
    setHeader(Result.Response.Headers, header::BackendServer,
              Attempt.BackendName);
    if (Attempt.WasHedged)
      setHeader(Result.Response.Headers, header::Hedged, "1");
    return Result;
  }

  request_result endWith(const attempt &Attempt) {
    if (Attempt.Result->Status == call_status::Answered)
      return answered(Attempt);
    request_result Result;
    Result.End = request_end::Unknown;
    Result.Reason = std::string(callStatusName(Attempt.Result->Status));
    return Result;
  }

  request_result endWithout(const std::string &Reason) {
    if (LastThatMayHaveRun)
      return endWith(*LastThatMayHaveRun);
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
  attempt_pointer LastThatMayHaveRun;
  bool Admitted = false;
};

} // namespace

asio::awaitable<request_result>
runRequest(call_environment &Environment,
           std::shared_ptr<service_runtime> Runtime, http_request Request,
           routed_request Routed, std::size_t RouteIndex) {
  request_course Course(Environment, std::move(Runtime), std::move(Request),
                        std::move(Routed), RouteIndex);
  co_return co_await Course.run();
}

} // namespace coriandertray
