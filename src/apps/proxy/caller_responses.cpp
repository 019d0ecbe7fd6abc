#include "caller_responses.h"

#include "utils/json.h"

#include <algorithm>
#include <charconv>

namespace coriandertray {

namespace {

constexpr std::string_view RetryAfterSeconds = "1";

} // namespace

http_response makeOutcomeResponse(unsigned Status, std::string_view Outcome,
                                  std::string_view Reason) {
  json::object Body;
  Body["outcome"] = json::string(Outcome.data(), Outcome.size());
  Body["reason"] = json::string(Reason.data(), Reason.size());
  http_response Response = jsonResponse(Status, json::serialize(Body));
  setHeader(Response.Headers, header::Outcome, Outcome);
  setHeader(Response.Headers, header::Reason, Reason);
  return Response;
}

http_response makeNotRunResponse(unsigned Status, std::string_view Reason) {
  http_response Response = makeOutcomeResponse(Status, outcome::NotRun, Reason);
  if (Status == status::Unavailable || Status == status::TooManyRequests)
    setHeader(Response.Headers, header::RetryAfter, RetryAfterSeconds);
  return Response;
}

http_response toResponse(request_result Result) {
  if (Result.Outcome == request_outcome::NotRun)
    return makeNotRunResponse(status::Unavailable, Result.Reason);
  if (Result.Outcome == request_outcome::Unknown) {
    const unsigned Status = Result.Reason == "timed-out"
                                ? status::GatewayTimeout
                                : status::BadGateway;
    return makeOutcomeResponse(Status, outcome::Unknown, Result.Reason);
  }
  for (const std::string_view Name :
       {header::Load, header::Draining, header::RequestId})
    removeHeader(Result.Response.Headers, Name);
  removeHopByHopHeaders(Result.Response.Headers);
  return std::move(Result.Response);
}

duration requestTimeout(const route &Route, const http_headers &Headers) {
  const auto Text = findHeader(Headers, header::DeadlineMs);
  if (!Text)
    return Route.Deadline;
  std::int64_t Ms = 0;
  const auto [End, Failure] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Ms);
  if (Failure != std::errc() || Ms <= 0)
    return Route.Deadline;
  return std::min<duration>(Route.Deadline, milliseconds(Ms));
}

std::optional<std::string> singleHost(const http_headers &Headers) {
  const auto Count =
      std::ranges::count_if(Headers, [](const http_header &Header) {
        return equalIgnoringCase(Header.Name, "Host");
      });
  return Count == 1 ? findHeader(Headers, "Host") : std::nullopt;
}

} // namespace coriandertray
