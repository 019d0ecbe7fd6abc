#include "http/drain_probe.h"
#include "raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <map>
#include <utility>

using namespace coriandertray;
using namespace coriandertray::testing;

// Guards against: a copy of the response to an earlier probe keeps a server
// that has started again counted as draining.
TEST_CASE("a probe takes no copy of an earlier response for its own") {
  const socket_address ServerAddress = {"127.97.0.9", 18'193};
  asio::io_context Context;
  int Probes = 0;
  std::map<int, std::string> LastOnConnection;
  raw_server Server(Context, ServerAddress, [&](const raw_request &Request) {
    const std::string Draining =
        ++Probes == 1 ? "Coriandertray-Draining: 1\r\n" : "";
    const std::string Response =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + Draining + "\r\n";
    std::string &Last = LastOnConnection[Request.Connection];
    return raw_reply{std::exchange(Last, Response) + Response};
  });
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        CHECK(co_await probeDraining(Context, ServerAddress) == true);
        CHECK(co_await probeDraining(Context, ServerAddress) == false);
        Context.stop();
      },
      asio::detached);
  Context.run();
}
