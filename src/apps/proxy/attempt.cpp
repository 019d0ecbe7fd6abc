#include "attempt.h"

#include <charconv>

namespace coriandertray {

namespace {

// The backend server may close an idle connection just as a request is written
// to it, and then it is unknown whether the request was run. Non-idempotent
// requests reuse only connections that were used a short time ago.
constexpr duration NonIdempotentMaxIdleAge = milliseconds(500);
constexpr duration IdempotentMaxIdleAge = seconds(20);
constexpr unsigned FirstServerErrorStatus = 500;

/// \returns whether the backend server states that it did not run the request.
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
  return Result.Response.Status >= FirstServerErrorStatus
             ? attempt_outcome::Failed
             : attempt_outcome::Succeeded;
}

/// Records the load and the drain that the response reports.
void recordStateHeaders(service_runtime &Runtime, const attempt &Attempt,
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
                                const attempt &Attempt, duration Remaining) {
  const auto RemainingMs =
      std::chrono::duration_cast<milliseconds>(Remaining).count();
  http_request AttemptRequest = Request;
  setHeader(AttemptRequest.Headers, header::RequestId, Attempt.RequestId);
  setHeader(AttemptRequest.Headers, header::DeadlineMs,
            std::to_string(RemainingMs));
  setHeader(AttemptRequest.Headers, header::QueueWaitMs,
            std::to_string(Attempt.Place.QueueWait.count()));
  return AttemptRequest;
}

asio::awaitable<void> runAttempt(call_environment &Environment,
                                 std::shared_ptr<service_runtime> Runtime,
                                 std::shared_ptr<attempt_group> Group,
                                 attempt_pointer Attempt, http_request Request,
                                 routed_request Routed,
                                 socket_address Address) {
  call_options Options;
  Options.Timeout = Routed.Deadline - Attempt->Start;
  Options.MaxIdleAge =
      Routed.Idempotent ? IdempotentMaxIdleAge : NonIdempotentMaxIdleAge;
  call_result Result = co_await Environment.Client.call(
      Address, std::move(Request), Options, Attempt->Canceller);
  if (Result.Trace.ResponsesSkipped > 0)
    Environment.Metrics.count("coriandertray_mismatched_responses_total", {},
                              Result.Trace.ResponsesSkipped);
  const time_point Now = Environment.Clock.now();
  Attempt->Result = std::move(Result);
  Attempt->Outcome = classify(*Attempt->Result);
  if (Attempt->Place.Parked)
    recordParkedAttemptEnd(*Runtime, Routed.Account, Attempt->Outcome, Now);
  recordStateHeaders(*Runtime, *Attempt, Now);
  const duration Elapsed = Now - Attempt->Start;
  const bool TimedOut = Attempt->Result->Status == call_status::TimedOut;
  // If all requests of a service are idempotent, they are all hedged and no
  // hung threshold is learned. Until one is known, an idempotent request that
  // reaches its deadline is no evidence against the backend server; hence the
  // infinite threshold.
  const std::optional<duration> DefaultThreshold =
      Routed.Idempotent ? std::optional(duration::max()) : std::nullopt;
  const std::optional<duration> LearnedThreshold =
      Runtime->TailLatency.hungThreshold();
  const std::optional<duration> HungThreshold =
      LearnedThreshold ? LearnedThreshold : DefaultThreshold;
  const attempt_outcome HealthOutcome =
      outcomeForHealth(Attempt->Outcome, TimedOut, Elapsed, HungThreshold);
  recordAttemptEnd(*Runtime,
                   {Attempt->Place.Backend, Attempt->BackendName, HealthOutcome,
                    Elapsed, Attempt->LateRecorded, Attempt->HungRecorded},
                   Now);
  if (Attempt->Outcome == attempt_outcome::Succeeded) {
    Runtime->Latency.record(Elapsed, Now);
    if (!Routed.Idempotent)
      Runtime->TailLatency.record(Elapsed, Now);
  }
  dispatchQueue(*Runtime, Now);
  Group->Changed.cancel();
}

} // namespace coriandertray
