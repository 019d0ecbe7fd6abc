/// \file
/// A server that replies to each request with given bytes, which need not be a
/// valid response.
#pragma once

#include "utils/address.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace coriandertray::testing {

namespace asio = boost::asio;

/// What a server does with the connection after a reply. ReadOn ends its own
/// side and reads on, until the client ends the connection.
enum class after_reply : std::uint8_t { Keep, Close, Reset, ReadOn };

struct raw_reply {
  std::string Bytes;
  after_reply Then = after_reply::Keep;
  /// The time between the bytes and what follows.
  std::chrono::milliseconds Pause{0};
  /// Sent after the pause, before the next request is read.
  std::string Late;
};

/// A request. The server doesn't read its body before the reply.
struct raw_request {
  /// Counts the connections of the server, from zero.
  int Connection = 0;
  /// Counts the requests on the connection, from zero.
  int Number = 0;
  std::string Head;
};

/// Runs on the thread of the io_context, which must not run any more when the
/// server is destroyed.
class raw_server {
public:
  using script = std::function<raw_reply(const raw_request &)>;

  raw_server(asio::io_context &Context, const socket_address &Address,
             script Script)
      : Acceptor(Context, {asio::ip::make_address(Address.Ip), Address.Port}),
        Script(std::move(Script)) {
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

private:
  static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

  asio::awaitable<void> acceptLoop() {
    for (int Connection = 0;; ++Connection) {
      auto [Failure, Socket] = co_await Acceptor.async_accept(UseTuple);
      if (Failure)
        co_return;
      asio::co_spawn(Acceptor.get_executor(),
                     serve(std::move(Socket), Connection), asio::detached);
    }
  }

  asio::awaitable<void> serve(asio::ip::tcp::socket Socket, int Connection) {
    std::string Received;
    for (int Number = 0;; ++Number) {
      auto [ReadFailure, Length] = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Received), "\r\n\r\n", UseTuple);
      if (ReadFailure)
        co_return;
      raw_request Request = {Connection, Number, Received.substr(0, Length)};
      Received.erase(0, Length);
      const raw_reply Reply = Script(Request);
      co_await asio::async_write(Socket, asio::buffer(Reply.Bytes), UseTuple);
      if (Reply.Pause.count() > 0) {
        asio::steady_timer Timer(Acceptor.get_executor(), Reply.Pause);
        co_await Timer.async_wait(UseTuple);
      }
      if (!Reply.Late.empty())
        co_await asio::async_write(Socket, asio::buffer(Reply.Late), UseTuple);
      if (Reply.Then == after_reply::Keep)
        continue;
      if (Reply.Then == after_reply::ReadOn) {
        Socket.shutdown(asio::socket_base::shutdown_send);
        co_await discardRest(Socket);
        co_return;
      }
      // The destructor of a socket would turn lingering off again.
      if (Reply.Then == after_reply::Reset)
        Socket.set_option(asio::socket_base::linger(true, 0));
      Socket.close();
      co_return;
    }
  }

  static asio::awaitable<void> discardRest(asio::ip::tcp::socket &Socket) {
    std::vector<char> Discarded(1U << 16U);
    for (;;) {
      auto [Failure, Count] =
          co_await Socket.async_read_some(asio::buffer(Discarded), UseTuple);
      if (Failure)
        co_return;
    }
  }

  asio::ip::tcp::acceptor Acceptor;
  script Script;
};

} // namespace coriandertray::testing
