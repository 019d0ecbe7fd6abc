/// \file
/// A client of servers that may or may not return the id of a request.
#pragma once

#include "http/http_client.h"

#include <set>

namespace coriandertray {

/// Keeps connections only to servers whose last response had the id of its
/// request. On a new connection there is no other request that a response could
/// be for. All members must be called on the thread of the io_context, which
/// must outlive the client.
class attributing_client {
public:
  explicit attributing_client(asio::io_context &Context);

  /// See http_client::call(). \pre \p Request has an id, different for each
  /// request on a connection.
  asio::awaitable<call_result> call(socket_address Address,
                                    http_request Request, call_options Options,
                                    std::shared_ptr<call_canceller> Canceller);

  [[nodiscard]] std::size_t idleConnectionCount() const;

private:
  http_client Keeping;
  http_client Closing;
  /// The servers whose last response had the id of its request.
  std::set<socket_address> ReturningIds;
};

} // namespace coriandertray
