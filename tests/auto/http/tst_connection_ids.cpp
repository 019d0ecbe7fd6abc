#include "http/carried_ids.h"
#include "http/http_client.h"
#include "raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

// Which calls share a connection. A late response on it is told from the one
// that is due by the request id alone.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address ServerAddress = {"127.97.0.4", 18'096};

/// Makes calls one after the other, each with the id in \p Ids or without one.
/// \returns the connection of each call, counted from zero.
std::vector<int>
connectionsOf(const std::vector<std::optional<std::string>> &Ids) {
  asio::io_context Context;
  std::vector<int> Connections;
  raw_server Server(
      Context, ServerAddress, [&](const raw_request &Request) -> raw_reply {
        Connections.push_back(Request.Connection);
        const std::optional<std::string> &Id = Ids[Connections.size() - 1];
        const std::string IdLine =
            Id ? std::string(header::RequestId) + ": " + *Id + "\r\n" : "";
        return {"HTTP/1.1 200 OK\r\n" + IdLine + "Content-Length: 0\r\n\r\n"};
      });
  http_client_limits Limits;
  Limits.RequireRequestId = true;
  http_client Client(Context, Limits);
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        for (const std::optional<std::string> &Id : Ids) {
          http_request Request;
          Request.Method = "GET";
          Request.Target = "/";
          if (Id)
            Request.Headers = {{std::string(header::RequestId), *Id}};
          const call_options Options;
          const call_result Result =
              co_await Client.call(ServerAddress, std::move(Request), Options);
          CHECK(Result.Status == call_status::Answered);
        }
        Context.stop();
      },
      asio::detached);
  Context.run();
  REQUIRE(Connections.size() == Ids.size());
  return Connections;
}

} // namespace

TEST_CASE("two calls with the same id don't share a connection") {
  const std::vector<int> Next = connectionsOf({"a", "a"});
  CHECK(Next[0] != Next[1]);
  const std::vector<int> Later = connectionsOf({"a", "b", "a"});
  CHECK(Later[0] != Later[2]);
}

TEST_CASE("a connection that has carried all that it may is closed") {
  std::vector<std::optional<std::string>> Ids;
  for (std::size_t Number = 0; Number <= MaxCarriedIds; ++Number)
    Ids.emplace_back("id-" + std::to_string(Number));
  const std::vector<int> Connections = connectionsOf(Ids);
  CHECK(Connections[MaxCarriedIds - 1] == Connections[0]);
  CHECK(Connections[MaxCarriedIds] != Connections[0]);
}

TEST_CASE("an id may be carried until it was, or until there are too many") {
  carried_ids Carried;
  CHECK(mayCarry(Carried, "a"));
  addCarried(Carried, "a");
  CHECK_FALSE(mayCarry(Carried, "a"));
  CHECK(mayCarry(Carried, "b"));
  while (!isFull(Carried))
    addCarried(Carried, std::to_string(Carried.Hashes.size()));
  CHECK(Carried.Hashes.size() == MaxCarriedIds);
  CHECK_FALSE(mayCarry(Carried, "b"));
}

TEST_CASE("a call with an empty id is one without an id") {
  const std::vector<int> Connections = connectionsOf({"a", "", "", "b"});
  CHECK(std::set<int>(Connections.begin(), Connections.end()).size() == 3);
  CHECK(Connections[0] == Connections[3]);
}

TEST_CASE("a call without an id has a connection of its own") {
  const std::vector<int> Connections =
      connectionsOf({"a", std::nullopt, std::nullopt, "b"});
  CHECK(Connections[1] != Connections[0]);
  CHECK(Connections[2] != Connections[0]);
  CHECK(Connections[2] != Connections[1]);
  CHECK(Connections[3] != Connections[1]);
  CHECK(Connections[3] != Connections[2]);
}

TEST_CASE("calls with distinct ids share one connection") {
  std::vector<std::optional<std::string>> Ids;
  constexpr int Calls = 300;
  for (int Number = 0; Number < Calls; ++Number)
    Ids.push_back("id-" + std::to_string(Number));
  const std::vector<int> Connections = connectionsOf(Ids);
  CHECK(std::set<int>(Connections.begin(), Connections.end()).size() == 1);
}

TEST_CASE("a call with an id that came before leaves the other connections in "
          "use") {
  const std::vector<int> Connections = connectionsOf({"a", "b", "a", "c", "d"});
  CHECK(Connections[1] == Connections[0]);
  CHECK(Connections[4] == Connections[3]);
}
