/// \file
/// An HTTP/1.1 client that says how far each call got, and that never reuses
/// a connection with anything unexpected on it.
#pragma once

#include "http/http_message.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace coriandertray {

namespace asio = boost::asio;

/// How a call ended. Only ConnectFailed and NotSent prove that the other side
/// did not run the request.
enum class call_status {
  Answered,
  ConnectFailed, ///< No connection was made.
  NotSent,       ///< A connection was made, but no byte of the request left.
  Lost,          ///< The connection broke after a byte was written.
  Truncated,     ///< The answer began, and ended before its promised length.
  TimedOut,      ///< No whole answer within the time given.
  Malformed,     ///< The answer was no HTTP, or belonged to another request.
  TooLarge,      ///< The answer exceeded the size limit.
  Cancelled,     ///< The caller of the client gave up.
};

/// \returns the stable, kebab-case name of \p Status.
[[nodiscard]] std::string_view callStatusName(call_status Status);

/// \returns whether \p Status proves that the request did not run.
[[nodiscard]] bool provesNotRun(call_status Status);

struct call_result {
  call_status Status = call_status::ConnectFailed;
  /// Holds the answer if Status is Answered.
  http_response Response;
  bool operator==(const call_result &) const = default;
};

struct call_options {
  duration Timeout = seconds(5);
  duration ConnectTimeout = seconds(1);
  /// Only connections idle for less than this are reused.
  duration MaxIdleAge = seconds(30);
  bool operator==(const call_options &) const = default;
};

/// Lets one side give up a call that another runs.
class call_canceller {
public:
  /// Ends the call with Cancelled by closing its connection. Idempotent.
  void cancel();
  [[nodiscard]] bool isCancelled() const { return Cancelled; }

private:
  friend class http_client;
  std::function<void()> Close;
  bool Cancelled = false;
};

struct http_client_limits {
  std::uint64_t BodyBytes = 16U << 20U;
  std::uint32_t HeaderBytes = 32U << 10U;
  /// Idle connections kept for each address.
  std::size_t IdleConnectionsPerAddress = 8;
  /// The header whose value an answer repeats from its request.
  std::string RequestIdHeader = std::string(header::RequestId);
  /// Whether an answer without a length is whole when its connection ends in
  /// order.
  bool AcceptResponsesWithoutLength = false;
  bool operator==(const http_client_limits &) const = default;
};

/// Calls by address. All members run on the thread of its io_context, which
/// must outlive the client.
class http_client {
public:
  http_client(asio::io_context &Context, http_client_limits Limits);
  ~http_client();

  /// Sends \p Request to \p Address and reads the whole answer. The request
  /// is written to one connection once. \p Canceller may be null.
  asio::awaitable<call_result>
  call(socket_address Address, http_request Request, call_options Options,
       std::shared_ptr<call_canceller> Canceller = {});

  /// Closes the idle connections to \p Address.
  void closeIdle(const socket_address &Address);

  [[nodiscard]] std::size_t idleConnectionCount() const;

private:
  struct shared_state;
  std::shared_ptr<shared_state> State;
};

} // namespace coriandertray
