#include "http/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <sys/socket.h>

namespace coriandertray {

namespace {

// Checks that an idle connection is still usable. Unread bytes on it belong to
// no pending request, and at end of stream the next request would be lost.
bool isOpenAndEmpty(client_connection &Connection) {
  char Byte = 0;
  const auto Count = ::recv(Connection.Stream.socket().native_handle(), &Byte,
                            1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool isUsable(client_connection &Connection, duration MaxIdleAge,
              time_point Now) {
  const duration Limit = std::min(MaxIdleAge, Connection.ServerIdleLimit);
  return Now - Connection.IdleSince < Limit && isOpenAndEmpty(Connection);
}

bool mayCarryRequest(const client_connection &Connection,
                     const reuse_condition &Condition) {
  return !Condition.RequestId ||
         mayCarry(Connection.Carried, *Condition.RequestId);
}

} // namespace

taken_connection takeIdle(connection_pool &Pool, const socket_address &Address,
                          const reuse_condition &Condition, time_point Now) {
  std::deque<connection_pointer> &Connections = Pool.Idle[Address];
  taken_connection Taken;
  // The most recently used connection is the least likely to be closed.
  for (std::size_t Index = Connections.size(); Index > 0; --Index) {
    const auto At =
        std::next(Connections.begin(), static_cast<std::ptrdiff_t>(Index - 1));
    if (!mayCarryRequest(**At, Condition)) {
      ++Taken.Avoided;
      continue;
    }
    const connection_pointer Connection = std::move(*At);
    Connections.erase(At);
    if (!isUsable(*Connection, Condition.MaxIdleAge, Now))
      continue;
    Taken.Connection = Connection;
    break;
  }
  return Taken;
}

void returnToPool(connection_pool &Pool, const socket_address &Address,
                  connection_pointer Connection, time_point Now) {
  if (isFull(Connection->Carried))
    return;
  std::deque<connection_pointer> &Connections = Pool.Idle[Address];
  Connection->IdleSince = Now;
  Connection->Stream.expires_never();
  Connections.push_back(std::move(Connection));
  if (Connections.size() > Pool.MaxPerAddress)
    Connections.pop_front();
}

} // namespace coriandertray
