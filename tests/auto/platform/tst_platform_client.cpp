#include "auto/http/raw_server.h"
#include "http/http_message.h"
#include "platform/platform_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <functional>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address PlatformAddress = {"127.97.1.3", 18'199};

/// \returns the line of the request's id, or nothing if it has none.
std::string idLine(const raw_request &Request) {
  const std::size_t At = Request.Head.find(header::RequestId);
  if (At == std::string::npos)
    return {};
  return Request.Head.substr(At, Request.Head.find("\r\n", At) + 2 - At);
}

std::string response(const std::string &Status, const std::string &Headers) {
  return "HTTP/1.1 " + Status + "\r\nContent-Length: 0\r\n" + Headers + "\r\n";
}

bool failsWith(const result<std::uint64_t> &Result, error_code Code) {
  return !Result && Result.error().Code == Code;
}

/// Runs \p Steps with a client of a platform that replies by \p Script.
void runWithPlatform(
    const raw_server::script &Script,
    const std::function<asio::awaitable<void>(platform_client &)> &Steps) {
  asio::io_context Context;
  raw_server Server(Context, PlatformAddress, Script);
  platform_client Client(Context, PlatformAddress, "test");
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        co_await Steps(Client);
        Context.stop();
      },
      asio::detached);
  Context.run();
}

} // namespace

// Guards against: a copy of the response to an earlier update is taken for the
// response to the next one, so that a claim counts as stored that is not.
TEST_CASE("an update that conflicts doesn't succeed by a copy of an earlier "
          "response") {
  std::string First;
  const auto Script = [&First](const raw_request &Request) {
    if (First.empty()) {
      First = response("200 OK", "Object-Version: 1\r\n" + idLine(Request));
      return raw_reply{First};
    }
    return raw_reply{First + response("409 Conflict", idLine(Request))};
  };
  runWithPlatform(Script, [](platform_client &Client) -> asio::awaitable<void> {
    CHECK(co_await Client.put("claims/0", "one", 0));
    const auto Second = co_await Client.put("claims/0", "two", 0);
    CHECK(failsWith(Second, error_code::VersionConflict));
  });
}

TEST_CASE("a response without the id of its request proves nothing") {
  const auto Script = [](const raw_request &) {
    return raw_reply{response("409 Conflict", "")};
  };
  runWithPlatform(Script, [](platform_client &Client) -> asio::awaitable<void> {
    const auto Stored = co_await Client.put("claims/0", "one", 0);
    CHECK(failsWith(Stored, error_code::PlatformUnreachable));
  });
}
