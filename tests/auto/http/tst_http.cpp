#include "http/http_client.h"
#include "http/http_server.h"

#include "http/framing_check.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <functional>

using namespace coriandertray;

namespace {

const socket_address ServerAddress = {"127.97.0.1", 18'097};

/// A server with one handler and a client, on the same io_context.
struct server_fixture {
  explicit server_fixture(http_handler Handler)
      : Server(Context, {}, std::move(Handler)), Client(Context, {}) {
    REQUIRE(Server.listen(ServerAddress).has_value());
  }

  /// Runs the coroutine \p Steps to its end, then stops the server.
  void run(const std::function<asio::awaitable<void>()> &Steps) {
    asio::co_spawn(
        Context,
        [this, &Steps]() -> asio::awaitable<void> {
          co_await Steps();
          Server.abort();
          Context.stop();
        },
        asio::detached);
    Context.run();
  }

  asio::awaitable<call_result> get(std::string Target,
                                   duration Timeout = seconds(30)) {
    http_request Request;
    Request.Method = "GET";
    Request.Target = std::move(Target);
    Request.Headers = {
        {std::string(header::RequestId), "mine" + std::to_string(NextId++)}};
    call_options Options;
    Options.Timeout = Timeout;
    co_return co_await Client.call(ServerAddress, std::move(Request), Options);
  }

  asio::io_context Context;
  http_server Server;
  http_client Client;
  int NextId = 0;
};

asio::awaitable<http_response> echoTarget(http_request Request,
                                          std::shared_ptr<peer_connection>) {
  http_response Response;
  Response.Body = Request.Target;
  co_return Response;
}

http_handler rawHandler(std::string Bytes) {
  return [Bytes](http_request, std::shared_ptr<peer_connection>)
             -> asio::awaitable<http_response> {
    http_response Response;
    Response.RawBytes = Bytes;
    co_return Response;
  };
}

call_result callRaw(std::string Bytes, std::size_t *IdleAfter = nullptr) {
  server_fixture Fixture(rawHandler(std::move(Bytes)));
  call_result Result;
  Fixture.run([&]() -> asio::awaitable<void> {
    Result = co_await Fixture.get("/");
    if (IdleAfter)
      *IdleAfter = Fixture.Client.idleConnectionCount();
  });
  return Result;
}

std::string sendRaw(const std::string &Bytes) {
  server_fixture Fixture(echoTarget);
  std::string Answer;
  Fixture.run([&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket Socket(Fixture.Context);
    const asio::ip::tcp::endpoint Endpoint(
        asio::ip::make_address(ServerAddress.Ip), ServerAddress.Port);
    co_await Socket.async_connect(Endpoint, asio::use_awaitable);
    const auto UseTuple = asio::as_tuple(asio::use_awaitable);
    // The server may close the connection before it has read everything.
    co_await asio::async_write(Socket, asio::buffer(Bytes), UseTuple);
    co_await asio::async_read(Socket, asio::dynamic_buffer(Answer), UseTuple);
  });
  return Answer;
}

} // namespace

TEST_CASE("connections are reused and each response matches its request") {
  server_fixture Fixture(echoTarget);
  Fixture.run([&]() -> asio::awaitable<void> {
    for (int Number = 0; Number < 20; ++Number) {
      const std::string Target = "/" + std::to_string(Number);
      const call_result Result = co_await Fixture.get(Target);
      CHECK(Result.Status == call_status::Answered);
      CHECK(Result.Response.Body == Target);
    }
    CHECK(Fixture.Client.idleConnectionCount() == 1);
    CHECK(Fixture.Server.connectionCount() == 1);
  });
}

TEST_CASE("an incomplete, malformed or mismatched response is not accepted") {
  std::size_t Idle = 1;
  CHECK(callRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", &Idle)
            .Status == call_status::Truncated);
  CHECK(Idle == 0);
  CHECK(callRaw("HTTP/1.1 200 OK\r\n\r\nuntil the end").Status ==
        call_status::Truncated);
  CHECK(callRaw("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                "Coriandertray-Request-Id: another\r\n\r\nx")
            .Status == call_status::Malformed);
  CHECK(callRaw("nonsense\r\n\r\n").Status == call_status::Malformed);
  CHECK(callRaw("").Status == call_status::Lost);
}

TEST_CASE("a connection with surplus bytes is not reused") {
  std::size_t Idle = 1;
  const call_result Result = callRaw(
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200", &Idle);
  CHECK(Result.Status == call_status::Answered);
  CHECK(Idle == 0);
}

TEST_CASE("a refused connection proves that the request was not run") {
  asio::io_context Context;
  http_client Client(Context, {});
  call_result Result;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        http_request Request;
        Request.Method = "POST";
        Request.Target = "/";
        const call_options Options;
        // A named variable because GCC 12 destroys a brace-initialized
        // temporary in a co_await expression twice.
        const socket_address ClosedAddress = {"127.97.0.1", 1};
        Result = co_await Client.call(ClosedAddress, Request, Options);
      },
      asio::detached);
  Context.run();
  CHECK(Result.Status == call_status::ConnectFailed);
  CHECK(provesNotRun(Result.Status));
}

TEST_CASE("a call that is not answered in time has an unknown outcome") {
  server_fixture *FixturePointer = nullptr;
  server_fixture Fixture(
      [&FixturePointer](http_request, std::shared_ptr<peer_connection>)
          -> asio::awaitable<http_response> {
        asio::steady_timer Timer(FixturePointer->Context, seconds(30));
        co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return http_response{};
      });
  FixturePointer = &Fixture;
  Fixture.run([&]() -> asio::awaitable<void> {
    const duration Short = milliseconds(20);
    const call_result Result = co_await Fixture.get("/", Short);
    CHECK(Result.Status == call_status::TimedOut);
    CHECK_FALSE(provesNotRun(Result.Status));
    CHECK(Fixture.Client.idleConnectionCount() == 0);
  });
}

TEST_CASE("ambiguous framing is refused and the connection closed") {
  const std::string RequestStart = "POST / HTTP/1.1\r\nHost: a\r\n";
  for (const std::string Framing :
       {"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        "Content-Length: +1\r\n\r\nx",
        "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"}) {
    const std::string Answer = sendRaw(RequestStart + Framing);
    INFO(Framing);
    CHECK(Answer.starts_with("HTTP/1.1 400"));
    CHECK(Answer.find("Connection: close") != std::string::npos);
  }
}

TEST_CASE("headers above the size limit are refused") {
  const std::string Answer =
      sendRaw("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') +
              "\r\n\r\n");
  CHECK(Answer.starts_with("HTTP/1.1 431"));
}

TEST_CASE("a connection with a chunk header without end is closed") {
  // The response is lost if the connection is reset, as unread bytes are left.
  const std::string Answer = sendRaw(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;" +
      std::string(1U << 20U, 'x'));
  CHECK((Answer.empty() || Answer.starts_with("HTTP/1.1 400")));
}

TEST_CASE("ambiguous framing headers are detected") {
  CHECK(checkFraming({{"Content-Length", "3"}}).has_value());
  CHECK(checkFraming({{"Transfer-Encoding", "Chunked"}}).has_value());
  CHECK_FALSE(checkFraming({{"Content-Length", "3, 3"}}).has_value());
  CHECK_FALSE(checkFraming({{"X", "a\nb"}}).has_value());
  CHECK_FALSE(checkFraming({{"Transfer-Encoding", "gzip"}}).has_value());
}

TEST_CASE("hop-by-hop headers are removed") {
  http_headers Headers = {{"Connection", "keep-alive, X-Own"},
                          {"x-own", "1"},
                          {"Keep-Alive", "1"},
                          {"Accept", "*"}};
  removeHopByHopHeaders(Headers);
  CHECK(Headers == http_headers{{"Accept", "*"}});
}

TEST_CASE(
    "a connection is not reused after a response that precedes the end of the "
    "request body") {
  // The server still expects the rest of the request body, so it would take
  // another request on the same connection for a part of that body.
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(
      Context, {asio::ip::make_address(ServerAddress.Ip), ServerAddress.Port});
  http_client Client(Context, {});
  std::vector<std::string> Received;
  const auto AnswerEarly = [&]() -> asio::awaitable<void> {
    for (;;) {
      asio::ip::tcp::socket Socket =
          co_await Acceptor.async_accept(asio::use_awaitable);
      std::string &Text = Received.emplace_back();
      std::array<char, 1024> Chunk{};
      while (Text.find("\r\n\r\n") == std::string::npos) {
        const std::size_t Count = co_await Socket.async_read_some(
            asio::buffer(Chunk), asio::use_awaitable);
        Text.append(Chunk.data(), Count);
      }
      const std::string Answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      co_await asio::async_write(Socket, asio::buffer(Answer),
                                 asio::use_awaitable);
      // Reads the rest until the client closes the connection.
      for (;;) {
        auto [Failure, Count] = co_await Socket.async_read_some(
            asio::buffer(Chunk), asio::as_tuple(asio::use_awaitable));
        if (Failure)
          break;
        Text.append(Chunk.data(), Count);
      }
    }
  };
  const auto Steps = [&]() -> asio::awaitable<void> {
    for (int Number = 0; Number < 2; ++Number) {
      http_request Request;
      Request.Method = "POST";
      Request.Target = "/" + std::to_string(Number);
      Request.Body.assign(16U << 20U, 'x');
      const call_result Result =
          co_await Client.call(ServerAddress, std::move(Request), {});
      CHECK(Result.Status == call_status::Answered);
      CHECK(Result.Response.Body == "ok");
      CHECK(Client.idleConnectionCount() == 0);
    }
    Context.stop();
  };
  asio::co_spawn(Context, AnswerEarly(), asio::detached);
  asio::co_spawn(Context, Steps(), asio::detached);
  Context.run();
  REQUIRE(Received.size() == 2);
  for (const std::string &Text : Received)
    CHECK(Text.find("POST", 1) == std::string::npos);
}
