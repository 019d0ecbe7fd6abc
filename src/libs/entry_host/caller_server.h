/// \file
/// Serves the connections of callers: reads pipelined requests ahead, answers
/// them in order, and detects callers that disconnect.
#pragma once

#include "entry_host/request_proxy.h"

#include "http/http_message.h"
#include "routing/routing_config.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace coriandertray {

using caller_handler = std::function<asio::awaitable<http_response>(
    http_request, std::shared_ptr<caller_connection_status>)>;

/// All members run on the thread of the io_context.
class caller_server {
public:
  /// Holds request bodies of at most \p MaxBodyBytes in total, from their first
  /// byte until they are answered. A request that doesn't fit is refused as not
  /// run.
  caller_server(asio::io_context &Context, const clock_source &Clock,
                caller_handler Handler, std::uint64_t MaxBodyBytes);
  ~caller_server();

  /// Starts accepting connections. Fails with AddressMalformed if it can't
  /// bind.
  result<void> listen(const socket_address &Address);

  /// Applies \p Bounds to requests that begin from now on.
  void setBounds(const caller_bounds &Bounds);

  /// From now on, reads no further request on a connection once a response is
  /// written on it, and closes it after the last request that was read.
  void closeAfterNextResponse();

  /// Closes the connections that have no request in progress.
  void closeIdle();

  [[nodiscard]] std::size_t connectionCount() const;
  [[nodiscard]] std::size_t requestsInFlight() const;

private:
  struct shared_state;
  std::shared_ptr<shared_state> State;
};

} // namespace coriandertray
