/// \file
/// An HTTP/1.1 server with limits on sizes and times, and a graceful shutdown
/// that completes all requests in flight.
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
  /// Limits the time to read a request after its first byte has arrived, and
  /// the time to write its response.
  seconds TransferTimeout{10};
  /// Delays the first read from each new connection. The fake backend server
  /// simulates expensive connections with this.
  milliseconds AcceptDelay{0};
  /// How long an idle connection stays open.
  seconds IdleTimeout{60};
  /// How long an idle connection stays open after drain().
  milliseconds DrainIdleTimeout{1500};
  bool operator==(const http_server_limits &) const = default;
};

/// The connection on which a handler received its request.
class peer_connection {
public:
  virtual ~peer_connection() = default;
  /// \returns whether the peer has closed the connection or it has failed. Not
  /// detected while unread bytes from the peer are pending.
  [[nodiscard]] virtual bool isClosedByPeer() = 0;
};

using http_handler = std::function<asio::awaitable<http_response>(
    http_request, std::shared_ptr<peer_connection>)>;

/// Serves HTTP on one address. All members must be called on the thread that
/// runs the io_context.
class http_server {
public:
  http_server(asio::io_context &Context, http_server_limits Limits,
              http_handler Handler);
  ~http_server();

  /// Starts to accept connections. Fails with AddressMalformed if it cannot
  /// listen on \p Address.
  result<void> listen(const socket_address &Address);

  /// Stops accepting connections. Each open connection closes after its current
  /// response, or when it was idle for DrainIdleTimeout.
  void drain();

  /// Closes the listener and all connections immediately, as a crash would.
  void abort();

  [[nodiscard]] std::size_t connectionCount() const;
  [[nodiscard]] std::size_t requestsInFlight() const;

private:
  struct shared_state;
  std::shared_ptr<shared_state> State;
};

} // namespace coriandertray
