/// \file
/// HTTP requests and responses as plain values, and the names of the HTTP
/// headers that the proxy uses (docs/INTERFACES.md).
#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// The size of a read buffer, in addition to the limit of the header section.
/// The parser limits neither chunk headers nor trailers, so the buffer has to.
inline constexpr std::size_t ReadBufferBytes = 64U << 10U;

struct http_header {
  std::string Name;
  std::string Value;
  auto operator<=>(const http_header &) const = default;
};

using http_headers = std::vector<http_header>;

struct http_request {
  std::string Method;
  std::string Target;
  http_headers Headers;
  std::string Body;
  bool operator==(const http_request &) const = default;
};

struct http_response {
  unsigned Status = 200;
  http_headers Headers;
  std::string Body;
  /// If set, the server writes these bytes instead of the response and then
  /// closes the connection. Fake servers use this to send broken responses.
  std::optional<std::string> RawBytes;
  /// Whether the server sends the response once more before the next response
  /// of the connection. Fake servers use this.
  bool IsRepeated = false;
  bool operator==(const http_response &) const = default;
};

namespace header {
inline constexpr std::string_view RequestId = "Coriandertray-Request-Id";
inline constexpr std::string_view DeadlineMs = "Coriandertray-Deadline-Ms";
inline constexpr std::string_view QueueWaitMs = "Coriandertray-Queue-Wait-Ms";
inline constexpr std::string_view Load = "Coriandertray-Load";
inline constexpr std::string_view Draining = "Coriandertray-Draining";
inline constexpr std::string_view Outcome = "Coriandertray-Outcome";
inline constexpr std::string_view Reason = "Coriandertray-Reason";
inline constexpr std::string_view BackendServer =
    "Coriandertray-Backend-Server";
inline constexpr std::string_view Hedged = "Coriandertray-Hedged";
inline constexpr std::string_view Account = "Coriandertray-Account";
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view Authorization = "Authorization";
inline constexpr std::string_view RetryAfter = "Retry-After";
inline constexpr std::string_view ContentType = "Content-Type";
} // namespace header

/// Values of header::Outcome, which says whether a failed request was executed:
/// provably not (NotRun), possibly (Unknown), or already under the same
/// idempotency key (Duplicate).
namespace outcome {
inline constexpr std::string_view NotRun = "not-run";
inline constexpr std::string_view Unknown = "unknown";
inline constexpr std::string_view Duplicate = "duplicate";
} // namespace outcome

/// \returns the value of the first header called \p Name, ignoring case.
[[nodiscard]] std::optional<std::string> findHeader(const http_headers &Headers,
                                                    std::string_view Name);

/// Replaces all headers called \p Name by a single one with \p Value.
void setHeader(http_headers &Headers, std::string_view Name,
               std::string_view Value);

/// Removes all headers called \p Name.
void removeHeader(http_headers &Headers, std::string_view Name);

/// Removes the headers that apply to a single connection only, including those
/// listed in Connection (RFC 9110, section 7.6.1).
void removeHopByHopHeaders(http_headers &Headers);

/// \returns whether \p Left and \p Right are equal, ignoring ASCII case.
[[nodiscard]] bool equalIgnoringCase(std::string_view Left,
                                     std::string_view Right);

/// Copies the request's id to \p Response, which shows what it answers.
void copyRequestId(const http_request &Request, http_response &Response);

/// \returns a response with the JSON text \p Body.
[[nodiscard]] http_response jsonResponse(unsigned Status, std::string Body);

} // namespace coriandertray
