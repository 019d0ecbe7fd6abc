#include "http/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <limits>
#include <string>
#include <vector>

using namespace coriandertray;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
const socket_address ServerAddress = {"127.97.0.2", 18'098};
constexpr std::uint64_t Unlimited = std::numeric_limits<std::uint64_t>::max();

/// Answers each connection with Begin, and then with Block until the peer
/// closes it or MaxBytes have been sent. Connections stay open meanwhile.
struct flooding_server {
  explicit flooding_server(asio::io_context &Context)
      : Acceptor(Context, {asio::ip::make_address(ServerAddress.Ip),
                           ServerAddress.Port}) {
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  asio::awaitable<void> acceptLoop() {
    for (;;) {
      auto [Failure, Socket] = co_await Acceptor.async_accept(UseTuple);
      if (Failure)
        co_return;
      asio::co_spawn(Acceptor.get_executor(), flood(std::move(Socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> flood(asio::ip::tcp::socket Socket) {
    std::string Next = Begin;
    std::uint64_t Sent = 0;
    while (Sent < MaxBytes) {
      auto [Failure, Count] =
          co_await asio::async_write(Socket, asio::buffer(Next), UseTuple);
      Sent += Count;
      BytesSent += Count;
      if (Failure)
        co_return;
      Next = Block;
    }
    // Waits until the peer closes the connection.
    std::array<char, 1024> Ignored{};
    for (;;) {
      auto [Failure, Count] =
          co_await Socket.async_read_some(asio::buffer(Ignored), UseTuple);
      if (Failure)
        co_return;
    }
  }

  asio::ip::tcp::acceptor Acceptor;
  std::string Begin;
  std::string Block;
  std::uint64_t MaxBytes = Unlimited;
  std::uint64_t BytesSent = 0;
};

constexpr duration CallTimeout = seconds(8);

asio::awaitable<call_result> get(http_client &Client) {
  http_request Request;
  Request.Method = "GET";
  Request.Target = "/";
  Request.Headers = {{std::string(header::RequestId), "mine"}};
  call_options Options;
  Options.Timeout = CallTimeout;
  co_return co_await Client.call(ServerAddress, std::move(Request), Options);
}

std::string repeated(const std::string &Text) {
  constexpr std::size_t BlockBytes = 64U << 10U;
  std::string Block;
  while (Block.size() < BlockBytes)
    Block += Text;
  return Block;
}

struct endless_response {
  std::string Name;
  std::string Begin;
  std::string Repeated;
};

const std::string OkLine = "HTTP/1.1 200 OK\r\n";

std::vector<endless_response> endlessResponses() {
  return {{"a header", OkLine + "X: ", "a"},
          {"headers", OkLine, "X: a\r\n"},
          {"bytes that are no response", "", "z"},
          {"empty lines", "", "\r\n"},
          {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
          {"responses to other requests", "",
           OkLine + std::string(header::RequestId) +
               ": other\r\nContent-Length: 1\r\n\r\na"},
          {"a body without length", OkLine + "\r\n", "a"},
          {"a body with a huge length",
           OkLine + "Content-Length: 999999999999\r\n\r\n", "a"},
          {"chunks", OkLine + "Transfer-Encoding: chunked\r\n\r\n",
           "4\r\naaaa\r\n"},
          {"a chunk extension",
           OkLine + "Transfer-Encoding: chunked\r\n\r\n4;x=", "a"},
          {"a chunk size", OkLine + "Transfer-Encoding: chunked\r\n\r\n", "0"},
          {"trailers", OkLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
           "X: a\r\n"}};
}

} // namespace

TEST_CASE("a call ends when its response has no end") {
  // What the kernel buffers on a loopback connection comes on top of the limit.
  constexpr std::uint64_t MaxBytesSent = 16U << 20U;
  for (const endless_response &Response : endlessResponses()) {
    CAPTURE(Response.Name);
    asio::io_context Context;
    flooding_server Server(Context);
    Server.Begin = Response.Begin + repeated(Response.Repeated);
    Server.Block = repeated(Response.Repeated);
    http_client_limits Limits;
    Limits.BodyBytes = 1U << 20U;
    Limits.AcceptResponsesWithoutLength = true;
    http_client Client(Context, Limits);
    call_result Result;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          Result = co_await get(Client);
          Server.Acceptor.close();
        },
        asio::detached);
    Context.run_for(CallTimeout + seconds(2));
    CHECK(Result.Status != call_status::Answered);
    CHECK(Result.Status != call_status::TimedOut);
    CHECK(Result.Status != call_status::ConnectFailed);
    CHECK(Server.BytesSent < MaxBytesSent);
    CHECK(Client.idleConnectionCount() == 0);
  }
}

TEST_CASE("the responses that are being received fit into memory together") {
  constexpr std::uint64_t MiB = 1U << 20U;
  constexpr int CallCount = 8;
  asio::io_context Context;
  flooding_server Server(Context);
  Server.Begin = OkLine + "Content-Length: 999999999999\r\n\r\n";
  Server.Block = repeated("a");
  Server.MaxBytes = MiB;
  http_client_limits Limits;
  Limits.BodyBytes = 4 * MiB;
  Limits.TotalBodyBytes = 3 * MiB;
  http_client Client(Context, Limits);
  int TooLarge = 0;
  int Ended = 0;
  for (int Number = 0; Number < CallCount; ++Number)
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          const call_result Result = co_await get(Client);
          TooLarge += Result.Status == call_status::TooLarge ? 1 : 0;
          if (++Ended == CallCount)
            Server.Acceptor.close();
        },
        asio::detached);
  Context.run_for(CallTimeout / 2);
  CHECK(TooLarge >= CallCount - 3);
  CHECK(Client.receivedBodyBytes() <= Limits.TotalBodyBytes);
}
