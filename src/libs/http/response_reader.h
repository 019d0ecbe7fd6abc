/// \file
/// Reads HTTP/1.1 responses from a connection. Whatever the server sends, the
/// result is a response that it meant, or a failure.
#pragma once

#include "http/body_budget.h"
#include "http/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <tl/expected.hpp>

#include <cstdint>

namespace coriandertray {

/// A response, interim or final, and how it ended.
struct received_response {
  http_response Response;
  /// Whether the response states its end. Otherwise it ended with the
  /// connection.
  bool LengthKnown = true;
  bool KeepAlive = false;
  bool operator==(const received_response &) const = default;
};

/// Why there is no complete response.
struct response_failure {
  boost::beast::error_code Code;
  /// Whether a part of the response arrived.
  bool ResponseBegan = false;
};

/// What one response may take.
struct response_limits {
  std::uint64_t BodyBytes = 0;
  std::uint32_t HeaderBytes = 0;
  /// Whether the response is to a HEAD request, and has no body.
  bool IsHead = false;
};

/// Reads the next response from \p Stream. \p Buffer keeps what follows it;
/// its maximum size is above the HeaderBytes of \p Limits. The body is counted
/// in \p Reservation. Trailers are dropped. Fails with an error of Beast's HTTP
/// category if the server sent something else than a response: also a status
/// that doesn't exist, a switch of protocols, a line that continues the one
/// before it, the start of another response, or ambiguous framing. Not
/// thread-safe.
boost::asio::awaitable<tl::expected<received_response, response_failure>>
readResponse(boost::beast::tcp_stream &Stream,
             boost::beast::flat_buffer &Buffer, const response_limits &Limits,
             body_reservation &Reservation);

/// \returns whether \p Status is of an interim response, which a final one
/// follows.
[[nodiscard]] bool isInterimStatus(unsigned Status);

} // namespace coriandertray
