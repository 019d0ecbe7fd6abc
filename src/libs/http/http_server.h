/// \file
/// An HTTP/1.1 server with bounded sizes and times, and a shutdown that cuts
/// no request.
#pragma once

#include "http/http_message.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace coriandertray {

namespace asio = boost::asio;

struct http_server_limits {
  std::uint32_t HeaderBytes = 16U << 10U;
  std::size_t HeaderCount = 100;
  std::uint64_t BodyBytes = 4U << 20U;
  /// The longest wait for the rest of a request once its first byte is in, and
  /// for the caller to take an answer.
  seconds TransferTimeout{10};
  /// How long a new connection waits before it is served.
  milliseconds AcceptDelay{0};
  /// How long an idle connection stays open.
  seconds IdleTimeout{60};
  /// The same while shutting down.
  milliseconds DrainIdleTimeout{1500};
  bool operator==(const http_server_limits &) const = default;
};

/// What a handler may ask of the connection its request came by.
class peer_connection {
public:
  virtual ~peer_connection() = default;
  /// \returns whether the other side has closed or sent surplus bytes.
  [[nodiscard]] virtual bool isClosedByPeer() = 0;
};

using http_handler = std::function<asio::awaitable<http_response>(
    http_request, std::shared_ptr<peer_connection>)>;

/// Serves on one address. All members run on the thread of its io_context.
class http_server {
public:
  http_server(asio::io_context &Context, http_server_limits Limits,
              http_handler Handler);
  ~http_server();

  /// Starts to accept. Fails with AddressMalformed when it can't bind.
  result<void> listen(const socket_address &Address);

  /// Stops accepting; each connection closes after its current answer, or
  /// when it stays idle for IdleTimeoutLeaving.
  void drain();

  /// Closes the listener and every connection at once, as a crash would.
  void abort();

  [[nodiscard]] std::size_t connectionCount() const;
  [[nodiscard]] std::size_t requestsInFlight() const;

private:
  struct shared_state;
  std::shared_ptr<shared_state> State;
};

} // namespace coriandertray
