/// \file
/// An HTTP/1.1 client that reports how far each call got, and that never reuses
/// a connection on which unexpected data arrived.
#pragma once

#include "http/http_message.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace coriandertray {

namespace asio = boost::asio;

/// The result of a call. Only ConnectFailed and NotSent prove that the server
/// did not execute the request.
enum class call_status {
  Answered,
  ConnectFailed, ///< The connection could not be established.
  NotSent,       ///< Connected, but no byte of the request was written.
  Lost,          ///< The connection broke before any response, but after a
                 ///< byte of the request may have been written.
  Truncated,     ///< The response ended early or did not state its length.
  TimedOut,      ///< No complete response before the timeout.
  Malformed,     ///< Not a valid HTTP response, or for another request.
  TooLarge,      ///< The response exceeded a size limit.
  Cancelled,     ///< Ended by call_canceller::cancel().
};

/// \returns the stable, kebab-case name of \p Status.
[[nodiscard]] std::string_view callStatusName(call_status Status);

/// \returns whether \p Status proves that the server did not execute the
/// request.
[[nodiscard]] bool provesNotRun(call_status Status);

/// Which connection a call used, and what happened on it. All values are zero
/// if the call ended before a connection was ready for its request.
struct call_trace {
  /// Counts the connections that the client established, from one.
  std::uint64_t Connection = 0;
  /// How many requests the connection had carried before this one.
  std::uint64_t RequestsBefore = 0;
  /// How many idle connections were not used because they had carried the same
  /// request id.
  std::uint32_t ConnectionsAvoided = 0;
  /// How many final responses on the connection were not accepted for this
  /// request, because they had another request id or none.
  std::uint32_t ResponsesSkipped = 0;
  /// How many bytes of the request, head included, the system had taken when
  /// the call ended.
  std::uint64_t BytesWritten = 0;
  auto operator<=>(const call_trace &) const = default;
};

struct call_result {
  call_status Status = call_status::ConnectFailed;
  /// The response, if Status is Answered.
  http_response Response;
  call_trace Trace;
  bool operator==(const call_result &) const = default;
};

struct call_options {
  duration Timeout = seconds(5);
  duration ConnectTimeout = seconds(1);
  /// Only connections that were idle for less than this are reused.
  duration MaxIdleAge = seconds(30);
  bool operator==(const call_options &) const = default;
};

/// Cancels a call from outside the coroutine that awaits it.
class call_canceller {
public:
  /// Closes the connection of the call, which then ends with Cancelled.
  /// Idempotent.
  void cancel();
  [[nodiscard]] bool isCancelled() const { return Cancelled; }

private:
  friend class http_client;
  std::function<void()> Close;
  bool Cancelled = false;
};

struct http_client_limits {
  std::uint64_t BodyBytes = 16U << 20U;
  /// The limit for the bodies of all responses that are being received.
  std::uint64_t TotalBodyBytes = 64U << 20U;
  std::uint32_t HeaderBytes = 32U << 10U;
  /// The maximum number of idle connections kept for each address.
  std::size_t IdleConnectionsPerAddress = 8;
  /// The header that servers copy from the request to the response. A response
  /// with another value belongs to another request.
  std::string RequestIdHeader = std::string(header::RequestId);
  /// Whether a response must carry the request id if the request did. One
  /// without it may have been sent for another request.
  bool RequireRequestId = false;
  /// Whether a response without a length counts as complete once the server
  /// closes the connection. Otherwise it counts as Truncated.
  bool AcceptResponsesWithoutLength = false;
  bool operator==(const http_client_limits &) const = default;
};

/// Sends requests to servers by address over pooled connections. A connection
/// carries each request id once, and a request without an id, where responses
/// must have one, gets a connection of its own: so a late response to an
/// earlier request is never taken for the one that is due. All members
/// must be called on the thread that runs the io_context, which must outlive
/// the client.
class http_client {
public:
  http_client(asio::io_context &Context, http_client_limits Limits);
  ~http_client();

  /// Sends \p Request to \p Address and reads the complete response. The
  /// request is never resent, not even on a stale pooled connection.
  /// \p Canceller may be null.
  asio::awaitable<call_result>
  call(socket_address Address, http_request Request, call_options Options,
       std::shared_ptr<call_canceller> Canceller = {});

  /// Closes all idle connections to \p Address.
  void closeIdle(const socket_address &Address);

  [[nodiscard]] std::size_t idleConnectionCount() const;

  /// \returns the bytes of all bodies that are being received.
  [[nodiscard]] std::uint64_t receivedBodyBytes() const;

private:
  struct shared_state;
  std::shared_ptr<shared_state> State;
};

} // namespace coriandertray
