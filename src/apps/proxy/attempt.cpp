#include "attempt.h"

#include <charconv>

namespace coriandertray {

namespace {

// A connection idle for longer may have been closed by the other side just
// now; a request that must not be repeated gets a new one.
constexpr duration FreshIdleAge = milliseconds(500);
constexpr duration IdleAge = seconds(20);
constexpr unsigned FirstErrorStatus = 500;

bool isRefusal(const http_response &Response) {
  const auto Outcome = findHeader(Response.Headers, header::Outcome);
  return Outcome && *Outcome == outcome::NotRun;
}

attempt_outcome classify(const call_result &Result) {
  if (Result.Status == call_status::ConnectFailed)
    return attempt_outcome::Unreachable;
  if (Result.Status == call_status::Cancelled)
    return attempt_outcome::Cancelled;
  if (Result.Status != call_status::Answered)
    return attempt_outcome::Failed;
  if (isRefusal(Result.Response)) {
    const auto Reason = findHeader(Result.Response.Headers, header::Reason);
    return Reason && *Reason == "draining" ? attempt_outcome::Draining
                                           : attempt_outcome::Refused;
  }
  return Result.Response.Status >= FirstErrorStatus
             ? attempt_outcome::Failed
             : attempt_outcome::Succeeded;
}

void noteStateHeaders(service_runtime &Runtime, const attempt &Attempt,
                      time_point Now) {
  const auto Index =
      backendIndex(Runtime, Attempt.Place.Backend, Attempt.BackendName);
  if (!Index)
    return;
  const http_headers &Headers = Attempt.Result->Response.Headers;
  if (const auto Text = findHeader(Headers, header::Load)) {
    std::uint32_t Load = 0;
    std::from_chars(Text->data(), Text->data() + Text->size(), Load);
    recordLoad(Runtime.Backends[*Index], Load, Now);
  }
  if (findHeader(Headers, header::Draining)) {
    recordDraining(Runtime.Backends[*Index], true, Now);
    Runtime.Evidence[Attempt.BackendName].Draining = true;
  }
}

} // namespace

bool provesNotRun(const attempt &Attempt) {
  return provesNotRun(Attempt.Result->Status) ||
         Attempt.Outcome == attempt_outcome::Refused ||
         Attempt.Outcome == attempt_outcome::Draining;
}

http_request makeAttemptRequest(const http_request &Request,
                                const attempt &Attempt, duration Left) {
  const auto LeftMs = std::chrono::duration_cast<milliseconds>(Left).count();
  http_request Own = Request;
  setHeader(Own.Headers, header::RequestId, Attempt.RequestId);
  setHeader(Own.Headers, header::DeadlineMs, std::to_string(LeftMs));
  setHeader(Own.Headers, header::QueueWaitMs,
            std::to_string(Attempt.Place.QueueWait.count()));
  return Own;
}

asio::awaitable<void> makeAttempt(call_environment &Environment,
                                  std::shared_ptr<service_runtime> Runtime,
                                  std::shared_ptr<race> Race,
                                  attempt_pointer Attempt, http_request Request,
                                  routed_request Routed,
                                  socket_address Address) {
  call_options Options;
  Options.Timeout = Routed.Deadline - Attempt->Start;
  Options.MaxIdleAge = Routed.Idempotent ? IdleAge : FreshIdleAge;
  call_result Result = co_await Environment.Client.call(
      Address, std::move(Request), Options, Attempt->Canceller);
  const time_point Now = Environment.Clock.now();
  Attempt->Result = std::move(Result);
  Attempt->Outcome = classify(*Attempt->Result);
  if (Attempt->Place.Parked)
    noteParkedEnd(*Runtime, Routed.Account, Attempt->Outcome, Now);
  noteStateHeaders(*Runtime, *Attempt, Now);
  const duration Elapsed = Now - Attempt->Start;
  const bool TimedOut = Attempt->Result->Status == call_status::TimedOut;
  // Where all is hedged no tail is learned, and a deadline proves nothing.
  const std::optional<duration> Unlearned =
      Routed.Idempotent ? std::optional(duration::max()) : std::nullopt;
  const std::optional<duration> Learned = Runtime->Tail.hungThreshold();
  const std::optional<duration> HungAfter = Learned ? Learned : Unlearned;
  const attempt_outcome Evidence =
      outcomeForHealth(Attempt->Outcome, TimedOut, Elapsed, HungAfter);
  noteAttemptEnd(*Runtime,
                 {Attempt->Place.Backend, Attempt->BackendName, Evidence,
                  Elapsed, Attempt->LateNoted, Attempt->HungNoted},
                 Now);
  if (Attempt->Outcome == attempt_outcome::Succeeded) {
    Runtime->Latency.record(Elapsed, Now);
    if (!Routed.Idempotent)
      Runtime->Tail.record(Elapsed, Now);
  }
  serveQueue(*Runtime, Now);
  Race->Changed.cancel();
}

} // namespace coriandertray
