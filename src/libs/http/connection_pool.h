/// \file
/// The idle connections of an HTTP client, by the address of their server.
#pragma once

#include "http/carried_ids.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coriandertray {

/// A connection that carries one request after the other.
struct client_connection {
  /// The buffer holds up to \p BufferBytes.
  client_connection(boost::asio::io_context &Context, std::size_t BufferBytes)
      : Stream(Context), Buffer(BufferBytes) {}
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  /// Counts the connections of the client, from one. Zero until it is
  /// established.
  std::uint64_t Number = 0;
  std::uint64_t RequestCount = 0;
  carried_ids Carried;
  time_point IdleSince;
  /// How long the server keeps the connection open while it is idle.
  duration ServerIdleLimit = duration::max();
};

using connection_pointer = std::shared_ptr<client_connection>;

/// What a request asks of a connection that was idle.
struct reuse_condition {
  duration MaxIdleAge{0};
  /// The id of the request. The connection must not have carried it.
  std::optional<std::string> RequestId;
  bool operator==(const reuse_condition &) const = default;
};

/// Not thread-safe.
struct connection_pool {
  /// The maximum number of idle connections kept for each address.
  std::size_t MaxPerAddress = 0;
  std::map<socket_address, std::deque<connection_pointer>> Idle;
};

struct taken_connection {
  /// Null if none can be used.
  connection_pointer Connection;
  /// How many were left in the pool because they can't carry the request.
  std::uint32_t Avoided = 0;
};

/// Takes the connection to \p Address that was used last and meets
/// \p Condition. Closes those found to be unusable.
taken_connection takeIdle(connection_pool &Pool, const socket_address &Address,
                          const reuse_condition &Condition, time_point Now);

/// Keeps \p Connection, or closes it if it can't carry another request. Closes
/// the connection that was idle for longest if there are too many. \pre nothing
/// is being read or written on it.
void returnToPool(connection_pool &Pool, const socket_address &Address,
                  connection_pointer Connection, time_point Now);

} // namespace coriandertray
