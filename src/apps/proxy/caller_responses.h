/// \file
/// What callers are told, and what their headers ask for; docs/INTERFACES.md.
#pragma once

#include "backend_call.h"

#include "http/http_message.h"
#include "manifest/manifest.h"
#include "utils/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandertray {

/// The HTTP status codes of a proxy's own answers.
namespace status {
constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned Conflict = 409;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
} // namespace status

/// \returns an answer with \p Outcome and \p Reason as headers and body.
[[nodiscard]] http_response makeOutcomeResponse(unsigned Status,
                                                std::string_view Outcome,
                                                std::string_view Reason);

/// \returns an answer that promises that the request was not run.
[[nodiscard]] http_response makeNotRunResponse(unsigned Status,
                                               std::string_view Reason);

/// \returns the answer to the caller of a request that ended so.
[[nodiscard]] http_response toResponse(request_result Result);

/// \returns how long the caller waits, at most the route's deadline.
[[nodiscard]] duration requestTimeout(const route &Route,
                                      const http_headers &Headers);

/// \returns the Host header, unless there is none or more than one: then the
/// route would be ambiguous.
[[nodiscard]] std::optional<std::string>
singleHost(const http_headers &Headers);

} // namespace coriandertray
