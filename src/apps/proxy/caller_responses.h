/// \file
/// The proxy's own responses to callers, and the request headers by which
/// callers control it; see docs/INTERFACES.md.
#pragma once

#include "backend_call.h"

#include "http/http_message.h"
#include "manifest/manifest.h"
#include "utils/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandertray {

/// The HTTP status codes of the proxy's own responses.
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

/// \returns a response with \p Outcome and \p Reason in headers and JSON body.
[[nodiscard]] http_response makeOutcomeResponse(unsigned Status,
                                                std::string_view Outcome,
                                                std::string_view Reason);

/// \returns a response which guarantees that no backend server ran the request.
/// Status codes 429 and 503 also get a Retry-After header.
[[nodiscard]] http_response makeNotRunResponse(unsigned Status,
                                               std::string_view Reason);

/// \returns the response to the caller of a request that ended with \p Result.
[[nodiscard]] http_response toResponse(request_result Result);

/// \returns how long the caller waits for the response: the value of its
/// deadline header if valid, at most the deadline of \p Route.
[[nodiscard]] duration requestTimeout(const route &Route,
                                      const http_headers &Headers);

/// \returns the Host header, or nothing if there is none or more than one: the
/// route would be ambiguous.
[[nodiscard]] std::optional<std::string>
singleHost(const http_headers &Headers);

} // namespace coriandertray
