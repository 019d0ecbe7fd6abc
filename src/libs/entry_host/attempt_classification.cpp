#include "entry_host/attempt_classification.h"

#include <algorithm>
#include <array>

namespace coriandertray {

namespace {

constexpr unsigned FirstSuccessStatus = 200;
constexpr unsigned FirstRedirectStatus = 300;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned FirstServerErrorStatus = 500;

// Callers take these status codes as proof that the request was not run.
bool impliesNotRun(unsigned Status) {
  constexpr std::array NotRunStatuses = {RequestTimeout, Misdirected,
                                         TooManyRequests, status::Unavailable};
  return std::ranges::find(NotRunStatuses, Status) != NotRunStatuses.end();
}

bool isSuccess(unsigned Status) {
  return Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
}

attempt_classification classifySuccess(const http_headers &Headers,
                                       const header_names &Names) {
  const bool Signed = findHeader(Headers, Names.Signature).has_value();
  const bool Encoded = findHeader(Headers, "Content-Encoding").has_value();
  if (Signed && !Encoded)
    return {attempt_state::Accepted, slot_outcome::Succeeded};
  return {attempt_state::Failed, slot_outcome::Failed};
}

attempt_classification classifyResponse(const http_response &Response,
                                        const header_names &Names) {
  const unsigned Status = Response.Status;
  const bool HasNotRunHeader =
      findHeader(Response.Headers, Names.NotRun).has_value();
  if (Status == Misdirected)
    return {attempt_state::NotRun, slot_outcome::Misdirected};
  if (HasNotRunHeader && impliesNotRun(Status))
    return {attempt_state::NotRun, slot_outcome::Full};
  if (isSuccess(Status))
    return classifySuccess(Response.Headers, Names);
  // The request may have run, so the caller must not get a status that implies
  // the opposite.
  if (impliesNotRun(Status))
    return {attempt_state::Failed, slot_outcome::Failed};
  if (Status >= FirstServerErrorStatus)
    return {attempt_state::ServerError, slot_outcome::Failed};
  return {attempt_state::Accepted, slot_outcome::Succeeded};
}

} // namespace

attempt_classification classifyCallResult(const call_result &Result,
                                          const header_names &Names) {
  if (provesNotRun(Result.Status))
    return {attempt_state::NotRun, slot_outcome::Unreachable};
  if (Result.Status == call_status::Answered)
    return classifyResponse(Result.Response, Names);
  const bool NoResponse = Result.Status == call_status::TimedOut ||
                          Result.Status == call_status::Cancelled;
  return {attempt_state::Failed,
          NoResponse ? slot_outcome::Silent : slot_outcome::Failed};
}

result<std::optional<rate_limit>> reportedRateLimit(const call_result &Result,
                                                    const header_names &Names) {
  if (Result.Status != call_status::Answered)
    return std::nullopt;
  const http_headers &Headers = Result.Response.Headers;
  const bool FromBackend = findHeader(Headers, Names.Signature).has_value() ||
                           findHeader(Headers, Names.NotRun).has_value();
  if (!FromBackend || Result.Response.Status == Misdirected)
    return std::nullopt;
  const std::optional<std::string> Text = findHeader(Headers, Names.RateLimit);
  if (!Text)
    return rate_limit{};
  const result<rate_limit> Limit = parseRateLimit(*Text);
  if (!Limit)
    return tl::unexpected(Limit.error());
  return *Limit;
}

} // namespace coriandertray
