#include "entry_host/request_proxy.h"

#include "entry_host/attempt.h"
#include "entry_host/attempt_classification.h"
#include "entry_host/attempt_log.h"
#include "entry_host/caller_access.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <ranges>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

// A connection that was idle for long may have been closed unnoticed. Requests
// that are not idempotent only use connections that were idle for a short time.
constexpr duration NonIdempotentMaxIdleAge = milliseconds(700);
constexpr duration IdempotentMaxIdleAge = seconds(4);
constexpr duration ConnectTimeout = milliseconds(300);
constexpr duration UnreachableHoldTime = seconds(2);
constexpr int MaxUnreachableAttempts = 4;
// The response to a request that times out is sent this long before its
// deadline.
constexpr duration ResponseMargin = milliseconds(15);
// Another host can serve the request at once.
constexpr duration LeavingRetryAfter = milliseconds(50);
constexpr std::string_view HostLeavingReason = "host-leaving";

// An account without a limit counts like one with a limit of one request per
// second.
double accountWeight(const account_quota &Quota) {
  return Quota.RequestsPerSecond > 0 ? Quota.RequestsPerSecond : 1;
}

class request_proxy : public std::enable_shared_from_this<request_proxy> {
public:
  request_proxy(proxy_environment &Environment, proxied_request Request,
                std::shared_ptr<caller_connection_status> Caller)
      : Environment(Environment), Request(std::move(Request)),
        Caller(std::move(Caller)), Wakeup(Environment.Context),
        Wakeups(Environment.Wakeups),
        RequestId(findHeader(this->Request.Message.Headers,
                             Environment.Names.RequestId)
                      .value_or("")),
        Deadline(responseDeadline(this->Request, Environment.Names)) {
    removeHopByHopHeaders(this->Request.Message.Headers);
    Wakeups->insert(&Wakeup);
  }
  ~request_proxy() { Wakeups->erase(&Wakeup); }
  request_proxy(const request_proxy &) = delete;
  request_proxy &operator=(const request_proxy &) = delete;

  asio::awaitable<http_response> run() {
    Caller->OnDisconnect = [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->Wakeup.cancel();
    };
    if (endsInService())
      startAttempt(retry_reason::None);
    for (;;) {
      recheckAccess();
      if (acceptedAttempt() || shouldStop())
        break;
      if (!anyInProgress()) {
        if (!mayRetry())
          break;
        startAttempt(nextRepeatReason());
        continue;
      }
      if (hedgeIsDue())
        startAttempt(retry_reason::Hedge);
      Wakeup.expires_at(nextWakeup());
      co_await Wakeup.async_wait(UseTuple);
    }
    Finished = true;
    Caller->OnDisconnect = {};
    abandonInProgress();
    http_response Response = makeFinalResponse();
    logRequestEnd(Response);
    co_return Response;
  }

private:
  [[nodiscard]] time_point now() const { return Environment.Clock.now(); }

  // Whether the time limit of the request ends while this host still serves.
  [[nodiscard]] bool endsInService() const {
    return !Environment.ServiceEnd || Deadline <= *Environment.ServiceEnd;
  }

  // Decides again on the request if other rules came into force.
  void recheckAccess() {
    if (Request.CheckedBy != Environment.Access)
      Access = checkAccess(Environment, Request);
  }

  [[nodiscard]] bool isRefused() const {
    return Access.Verdict != access_verdict::Allowed;
  }

  // Whether the request may be sent to another backend server.
  [[nodiscard]] bool maySend() {
    recheckAccess();
    return !Finished && !isRefused() && now() < Deadline && endsInService();
  }

  // Whether it is certain that no backend server has run the request.
  [[nodiscard]] bool isNotRun() const {
    return std::ranges::all_of(Attempts, [](const attempt_pointer &Each) {
      return !Each->CallStarted || Each->State == attempt_state::NotRun;
    });
  }

  // A caller that disconnected needs no response. A non-idempotent request that
  // may run already is seen to its end, because the caller may have wanted its
  // effect.
  [[nodiscard]] bool shouldStop() const {
    if (now() >= Deadline)
      return true;
    if (isNotRun() && (isRefused() || !endsInService()))
      return true;
    return Caller->Disconnected && (Request.Route.Idempotent || isNotRun());
  }

  [[nodiscard]] attempt_pointer acceptedAttempt() const {
    const auto Found =
        std::ranges::find(Attempts, attempt_state::Accepted, &attempt::State);
    return Found == Attempts.end() ? nullptr : *Found;
  }

  [[nodiscard]] bool anyInProgress() const {
    return std::ranges::any_of(Attempts, [](const attempt_pointer &Each) {
      return Each->State == attempt_state::InProgress;
    });
  }

  // An unreachable backend server received nothing, so it doesn't count.
  [[nodiscard]] std::size_t reachedBackendCount() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Attempts, [](const attempt_pointer &Each) {
          return Each->CallStarted &&
                 Each->Outcome != slot_outcome::Unreachable;
        }));
  }

  [[nodiscard]] bool mayRetry() const {
    if (isRefused() || !endsInService())
      return false;
    const attempt &Last = *Attempts.back();
    if (Last.State == attempt_state::SlotRefused &&
        Last.Repeat != retry_reason::Hedge)
      return false;
    const auto Unreachable =
        std::ranges::count_if(Attempts, [](const attempt_pointer &Each) {
          return Each->Outcome == slot_outcome::Unreachable;
        });
    if (Unreachable >= MaxUnreachableAttempts)
      return false;
    const bool AllNotRun =
        std::ranges::all_of(Attempts, [](const attempt_pointer &Each) {
          return Each->State == attempt_state::NotRun ||
                 Each->State == attempt_state::SlotRefused;
        });
    if (!AllNotRun && !Request.Route.Idempotent)
      return false;
    return reachedBackendCount() < Request.Route.MaxAttempts;
  }

  [[nodiscard]] retry_reason nextRepeatReason() const {
    const bool NoneReached = reachedBackendCount() == 0;
    if (NoneReached)
      return retry_reason::None;
    const bool AllNotRun =
        std::ranges::all_of(Attempts, [](const attempt_pointer &Each) {
          return Each->State == attempt_state::NotRun;
        });
    return AllNotRun ? retry_reason::NotExecuted : retry_reason::Failed;
  }

  [[nodiscard]] const attempt *hedgeCandidate() const {
    if (!Request.Route.Idempotent || HedgeStarted || isRefused() ||
        !endsInService())
      return nullptr;
    const attempt *Open = nullptr;
    for (const attempt_pointer &Each : Attempts) {
      if (Each->State != attempt_state::InProgress)
        continue;
      if (Open || !Each->CallStarted)
        return nullptr;
      Open = Each.get();
    }
    return reachedBackendCount() < Request.Route.MaxAttempts ? Open : nullptr;
  }

  [[nodiscard]] time_point hedgeTime(const attempt &Open) const {
    return Open.CallStartedAt + Open.Slot.HedgeAfter;
  }

  bool hedgeIsDue() {
    const attempt *Open = hedgeCandidate();
    if (!Open || now() < hedgeTime(*Open))
      return false;
    HedgeStarted = true;
    return true;
  }

  [[nodiscard]] time_point nextWakeup() const {
    const attempt *Open = hedgeCandidate();
    return Open ? std::min(Deadline, hedgeTime(*Open)) : Deadline;
  }

  void startAttempt(retry_reason Repeat) {
    auto Next = std::make_shared<attempt>();
    Next->Repeat = Repeat;
    Attempts.push_back(Next);
    asio::co_spawn(
        Environment.Context,
        [Self = shared_from_this(), Next] { return Self->runAttempt(Next); },
        asio::detached);
  }

  [[nodiscard]] slot_request makeSlotRequest(const attempt &Attempt) {
    slot_request SlotRequest;
    SlotRequest.RequestClass = Request.Route.Name;
    SlotRequest.Idempotent = Request.Route.Idempotent;
    SlotRequest.BodyBytes = expectedBodyBytes();
    SlotRequest.Priority = Request.Route.Priority;
    if (Request.Account) {
      SlotRequest.Account = Request.Account->Name;
      SlotRequest.AccountPriority = Request.Account->Priority;
      SlotRequest.AccountWeight = accountWeight(Request.Account->Quota);
    }
    SlotRequest.Target = Request.Start + Request.Route.TargetLatency;
    SlotRequest.Deadline = Deadline;
    SlotRequest.RetryReason = Attempt.Repeat;
    for (const attempt_pointer &Each : Attempts)
      if (!Each->Slot.Backend.empty())
        SlotRequest.Tried.push_back(Each->Slot.Backend);
    std::erase_if(Environment.UnreachableUntil,
                  [this](const auto &Entry) { return now() >= Entry.second; });
    for (const auto &[Backend, Until] : Environment.UnreachableUntil)
      SlotRequest.Unreachable.push_back(Backend);
    return SlotRequest;
  }

  [[nodiscard]] std::uint64_t expectedBodyBytes() const {
    const auto Known = Environment.ResponseBytes.find(Request.Route.Name);
    const double ResponseBytes =
        Known == Environment.ResponseBytes.end() ? 0 : Known->second;
    return Request.Message.Body.size() +
           static_cast<std::uint64_t>(ResponseBytes);
  }

  void recordResponseBytes(const http_response &Response) {
    constexpr double NewestShare = 0.1;
    const auto Bytes = static_cast<double>(Response.Body.size());
    const auto [Known, IsFirst] =
        Environment.ResponseBytes.try_emplace(Request.Route.Name, Bytes);
    if (!IsFirst)
      Known->second += NewestShare * (Bytes - Known->second);
  }

  asio::awaitable<void> runAttempt(attempt_pointer Attempt) {
    slot_request SlotRequest = makeSlotRequest(*Attempt);
    acquired_slot Slot = co_await Environment.Slots.acquire(
        Request.Service, std::move(SlotRequest), Attempt->Wait);
    Attempt->Slot = std::move(Slot.Answer);
    Attempt->Allocator = std::move(Slot.Allocator);
    Attempt->SlotId = Attempt->Slot.Key.Id;
    if (Attempt->Slot.Verdict != slot_verdict::Granted) {
      Attempt->State = attempt_state::SlotRefused;
    } else if (!maySend()) {
      Environment.Slots.release(Attempt->SlotId, slot_outcome::NotUsed, {});
      Attempt->State = attempt_state::SlotRefused;
    } else {
      co_await callBackend(Attempt);
    }
    Wakeup.cancel();
  }

  http_request makeBackendRequest(const attempt &Attempt) {
    http_request Message = Request.Message;
    const auto RemainingMs =
        std::chrono::duration_cast<milliseconds>(Deadline - now()).count();
    setHeader(Message.Headers, Environment.Names.DeadlineMs,
              std::to_string(std::max<std::int64_t>(1, RemainingMs)));
    setHeader(Message.Headers, Environment.Names.TargetBackend,
              Attempt.Slot.Backend);
    // Set last, as the caller may have listed these headers in Connection.
    if (!RequestId.empty())
      setHeader(Message.Headers, Environment.Names.RequestId, RequestId);
    if (Request.Account)
      setHeader(Message.Headers, Environment.Names.Account,
                Request.Account->Name);
    return Message;
  }

  asio::awaitable<void> callBackend(attempt_pointer Attempt) {
    call_options Options;
    Options.Timeout = Deadline - now();
    Options.ConnectTimeout = ConnectTimeout;
    Options.MaxIdleAge = Request.Route.Idempotent ? IdempotentMaxIdleAge
                                                  : NonIdempotentMaxIdleAge;
    Attempt->CallStarted = true;
    Attempt->CallStartedAt = now();
    // Wakes run(), which can compute the time of the hedge from now on.
    Wakeup.cancel();
    http_request Message = makeBackendRequest(*Attempt);
    call_result Result = co_await Environment.Client.call(
        Attempt->Slot.Address, std::move(Message), Options, Attempt->Canceller);
    Attempt->Elapsed = now() - Attempt->CallStartedAt;
    const attempt_classification Classification =
        classifyCallResult(Result, Environment.Names);
    Attempt->State = Classification.State;
    Attempt->Outcome = Classification.Outcome;
    Attempt->CallStatus = Result.Status;
    Attempt->Trace = Result.Trace;
    Attempt->Proof = notRunProof(Result, Environment.Names);
    Attempt->Report = readReport(Result, Attempt->Slot.Backend);
    Attempt->Response = std::move(Result.Response);
    recordCall(*Attempt, RequestId, Environment.Metrics);
    if (Attempt->State == attempt_state::Accepted)
      recordResponseBytes(Attempt->Response);
    if (Attempt->Outcome == slot_outcome::Unreachable)
      Environment.UnreachableUntil[Attempt->Slot.Backend] =
          now() + UnreachableHoldTime;
    Environment.Slots.release(Attempt->SlotId, Attempt->Outcome,
                              Attempt->Elapsed, Attempt->Report);
    if (Attempt->Report && Attempt->Report->Leaving)
      Environment.Client.closeIdle(Attempt->Slot.Address);
  }

  [[nodiscard]] std::optional<backend_report>
  readReport(const call_result &Result, const std::string &Backend) const {
    const report_reading Reading = readBackendReport(Result, Environment.Names);
    for (const error &Fault : Reading.Faults)
      logEvent(log_level::Warning, "backend-header-malformed",
               {{"backend_server", Backend}, {"detail", Fault.Detail}});
    return Reading.Report;
  }

  void abandonInProgress() {
    for (const attempt_pointer &Each : Attempts) {
      if (Each->State != attempt_state::InProgress)
        continue;
      if (!Each->CallStarted) {
        giveUp(*Each->Wait);
        continue;
      }
      Each->Elapsed = now() - Each->CallStartedAt;
      Each->Outcome = slot_outcome::Silent;
      Environment.Slots.release(Each->SlotId, Each->Outcome, Each->Elapsed);
      Each->Canceller->cancel();
    }
  }

  http_response forwardResponse(const attempt &Attempt) const {
    http_response Response = Attempt.Response;
    removeHopByHopHeaders(Response.Headers);
    return Response;
  }

  http_response makeErrorResponse(unsigned Status, std::string_view Reason) {
    FinalReason = std::string(Reason);
    http_response Response =
        jsonResponse(Status, "{\"error\":\"" + std::string(Reason) + "\"}");
    if (!RequestId.empty())
      setHeader(Response.Headers, Environment.Names.RequestId, RequestId);
    return Response;
  }

  http_response makeFinalResponse() {
    if (const attempt_pointer Accepted = acceptedAttempt())
      return forwardResponse(*Accepted);
    const auto ServerErrorAttempt = std::ranges::find(
        Attempts, attempt_state::ServerError, &attempt::State);
    if (ServerErrorAttempt != Attempts.end())
      return forwardResponse(**ServerErrorAttempt);
    const bool MayHaveRun =
        std::ranges::any_of(Attempts, [](const attempt_pointer &Each) {
          return Each->State == attempt_state::Failed ||
                 (Each->State == attempt_state::InProgress &&
                  Each->CallStarted);
        });
    if (MayHaveRun && now() >= Deadline)
      return makeErrorResponse(status::GatewayTimeout, "timeout");
    if (MayHaveRun)
      return makeErrorResponse(status::BadGateway, lastFailureReason());
    if (isRefused())
      return makeAccessRefusal();
    if (!endsInService())
      return makeRefusal(HostLeavingReason, LeavingRetryAfter);
    const slot_answer &Slot = Attempts.back()->Slot;
    return makeRefusal(Slot.Reason.empty() ? "not-run" : Slot.Reason,
                       Slot.RetryAfter);
  }

  http_response makeRefusal(std::string_view Reason, duration RetryAfter) {
    FinalReason = std::string(Reason);
    http_response Response =
        notRunResponse(status::Unavailable, FinalReason, RetryAfter);
    if (!RequestId.empty())
      setHeader(Response.Headers, Environment.Names.RequestId, RequestId);
    return Response;
  }

  http_response makeAccessRefusal() {
    FinalReason = std::string(accessRefusalName(Access.Refusal));
    return refuseAccess(Environment, Request, Access);
  }

  [[nodiscard]] std::string_view lastFailureReason() const {
    for (const attempt_pointer &Each : std::views::reverse(Attempts))
      if (Each->State == attempt_state::Failed)
        return Each->CallStatus == call_status::Answered
                   ? "answer-not-usable"
                   : callStatusName(Each->CallStatus);
    return "unknown";
  }

  void logRequestEnd(const http_response &Response) {
    json::array AttemptEntries;
    for (const attempt_pointer &Each : Attempts)
      AttemptEntries.push_back(attemptEntry(*Each, Request.Start));
    const double Total = toMilliseconds(now() - Request.Start);
    logEvent(log_level::Info, "request-ended",
             {{"request_id", RequestId},
              {"route", Request.Route.Name},
              {"service", Request.Service},
              {"account", Request.Account ? Request.Account->Name : ""},
              {"idempotent", Request.Route.Idempotent},
              {"config_version", Request.ConfigVersion},
              {"status", Response.Status},
              {"reason", FinalReason},
              {"caller_left", Caller->Disconnected},
              {"elapsed_ms", Total},
              {"attempts", std::move(AttemptEntries)}});
    const std::string Labels = "service=\"" + Request.Service + "\",status=\"" +
                               std::to_string(Response.Status) + "\"";
    Environment.Metrics.count("coriandertray_requests_total", Labels);
    Environment.Metrics.observe("coriandertray_request_seconds",
                                "service=\"" + Request.Service + "\"",
                                now() - Request.Start);
  }

  proxy_environment &Environment;
  proxied_request Request;
  std::shared_ptr<caller_connection_status> Caller;
  asio::steady_timer Wakeup;
  std::shared_ptr<std::set<asio::steady_timer *>> Wakeups;
  std::string RequestId;
  time_point Deadline;
  std::vector<attempt_pointer> Attempts;
  /// The last decision of recheckAccess().
  access_decision Access;
  std::string FinalReason;
  bool HedgeStarted = false;
  bool Finished = false;
};

} // namespace

time_point responseDeadline(const proxied_request &Request,
                            const header_names &Names) {
  duration Allowed = Request.Route.Timeout;
  const std::string Text =
      findHeader(Request.Message.Headers, Names.DeadlineMs).value_or("");
  std::int64_t Ms = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  if (Failure == std::errc() && Ms >= 0)
    Allowed = std::min<duration>(Allowed, milliseconds(Ms));
  return Request.Start + Allowed - ResponseMargin;
}

void notifyDisconnected(caller_connection_status &Caller) {
  if (std::exchange(Caller.Disconnected, true))
    return;
  const std::function<void()> OnGone = std::exchange(Caller.OnDisconnect, {});
  if (OnGone)
    OnGone();
}

http_response notRunResponse(unsigned Status, std::string_view Reason,
                             duration RetryAfter) {
  http_response Response =
      jsonResponse(Status, "{\"error\":\"" + std::string(Reason) + "\"}");
  if (RetryAfter > duration::zero()) {
    std::array<char, 32> Text{};
    const int Length =
        std::snprintf(Text.data(), Text.size(), "%.3f", toSeconds(RetryAfter));
    setHeader(Response.Headers, header::RetryAfter,
              std::string_view(Text.data(), static_cast<std::size_t>(Length)));
  }
  return Response;
}

void endService(proxy_environment &Environment, time_point ServiceEnd) {
  Environment.ServiceEnd = ServiceEnd;
  wakeRequests(Environment);
}

void wakeRequests(proxy_environment &Environment) {
  for (asio::steady_timer *Wakeup : *Environment.Wakeups)
    Wakeup->cancel();
}

asio::awaitable<http_response>
proxyRequest(proxy_environment &Environment, proxied_request Request,
             std::shared_ptr<caller_connection_status> Caller) {
  const auto Proxy = std::make_shared<request_proxy>(
      Environment, std::move(Request), std::move(Caller));
  co_return co_await Proxy->run();
}

} // namespace coriandertray
