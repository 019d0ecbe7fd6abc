#include "auto/http/raw_server.h"
#include "fake_object_store.h"
#include "object_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <functional>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address StoreAddress = {"127.97.1.1", 18'197};

/// Runs an object_store against a fake store on the loopback interface.
struct object_store_fixture {
  object_store_fixture()
      : FakeStore(Context), Store(Context, Clock, StoreAddress) {
    REQUIRE(FakeStore.listen(StoreAddress).has_value());
  }

  /// Runs \p Steps to completion on the io_context.
  void run(const std::function<asio::awaitable<void>()> &Steps) {
    asio::co_spawn(
        Context,
        [this, &Steps]() -> asio::awaitable<void> {
          co_await Steps();
          FakeStore.abort();
          Context.stop();
        },
        asio::detached);
    Context.run();
  }

  asio::io_context Context;
  manual_clock Clock;
  fake_object_store FakeStore;
  platform::object_store Store;
};

} // namespace

TEST_CASE("lists span all pages, and invalid entries are left out") {
  object_store_fixture Fixture;
  Fixture.FakeStore.PageSize = 4;
  for (int Number = 10; Number < 20; ++Number)
    Fixture.FakeStore.put("servers", "i-" + std::to_string(Number),
                          backendEntry());
  Fixture.FakeStore.put("servers", "i-forged", json::array{1, 2});
  Fixture.FakeStore.put("servers", "i-left", backendEntry("draining"));
  Fixture.run([&]() -> asio::awaitable<void> {
    const auto Listed = co_await Fixture.Store.readBackends();
    REQUIRE(Listed);
    CHECK(Listed->Servers.size() == 11);
    CHECK(Listed->Servers.back().Draining);
  });
}

TEST_CASE("a watch reports a new configuration and recovers from expired "
          "history") {
  object_store_fixture Fixture;
  Fixture.FakeStore.put("config", "main", configEntry(3));
  Fixture.run([&]() -> asio::awaitable<void> {
    const auto First = co_await Fixture.Store.readConfig();
    REQUIRE(First);
    const auto Unchanged =
        co_await Fixture.Store.awaitConfig(First->Position, milliseconds(10));
    REQUIRE(Unchanged);
    CHECK_FALSE(Unchanged->has_value());
    Fixture.FakeStore.put("config", "main", configEntry(9));
    const auto Second =
        co_await Fixture.Store.awaitConfig(First->Position, milliseconds(500));
    REQUIRE(Second);
    REQUIRE(Second->has_value());
    CHECK(Fixture.Store.decodeConfig(**Second)->Version == 9);
    // The watch history expires before the change is delivered: this call
    // fails, the next one reads the configuration in full.
    Fixture.FakeStore.put("config", "main", configEntry(12));
    Fixture.FakeStore.Faults.HistoryExpired = true;
    CHECK_FALSE(co_await Fixture.Store.awaitConfig((*Second)->Position,
                                                   milliseconds(10)));
    const auto Third = co_await Fixture.Store.awaitConfig((*Second)->Position,
                                                          milliseconds(10));
    REQUIRE(Third);
    REQUIRE(Third->has_value());
    CHECK(Fixture.Store.decodeConfig(**Third)->Version == 12);
  });
}

TEST_CASE("failures of the store map to error codes") {
  object_store_fixture Fixture;
  Fixture.run([&]() -> asio::awaitable<void> {
    const auto Missing = co_await Fixture.Store.readConfig();
    REQUIRE_FALSE(Missing);
    CHECK(Missing.error().Code == error_code::ObjectMissing);
    Fixture.FakeStore.Faults.RespondsUnavailable = true;
    const auto Refused = co_await Fixture.Store.readBackends();
    REQUIRE_FALSE(Refused);
    CHECK(Refused.error().Code == error_code::PlatformUnreachable);
    Fixture.FakeStore.Faults = {.Down = true};
    const auto Down = co_await Fixture.Store.readMembers(false);
    REQUIRE_FALSE(Down);
    CHECK(Down.error().Code == error_code::PlatformUnreachable);
  });
}

TEST_CASE("a host can be added and removed again, even after a lost response") {
  object_store_fixture Fixture;
  fleet_member Member = {"host-1", "a", {"10.0.0.7", 7540}, 200};
  Fixture.run([&]() -> asio::awaitable<void> {
    Fixture.FakeStore.Faults.DropsWriteResponses = true;
    CHECK_FALSE(co_await Fixture.Store.addMember(Member));
    Fixture.FakeStore.Faults = {};
    Member.Address.Port = 7541;
    CHECK(co_await Fixture.Store.addMember(Member));
    const auto Listed = co_await Fixture.Store.readMembers(false);
    REQUIRE(Listed);
    CHECK(*Listed == std::vector<fleet_member>{Member});
    CHECK(co_await Fixture.Store.removeMember("host-1"));
    CHECK(co_await Fixture.Store.removeMember("host-1"));
    CHECK_FALSE(Fixture.FakeStore.hasObject("coriandertray-hosts", "host-1"));
  });
}

TEST_CASE("between two lists of several pages only changes are fetched") {
  object_store_fixture Fixture;
  Fixture.FakeStore.PageSize = 4;
  for (int Number = 0; Number < 20; ++Number)
    Fixture.FakeStore.put("servers", "s" + std::to_string(Number),
                          backendEntry());
  Fixture.run([&]() -> asio::awaitable<void> {
    CHECK((co_await Fixture.Store.readBackends())->Servers.size() == 20);
    const int AfterList = Fixture.FakeStore.Calls;
    Fixture.FakeStore.put("servers", "s3", backendEntry("draining"));
    Fixture.FakeStore.put("servers", "new", backendEntry());
    Fixture.FakeStore.put("servers", "s4", backendEntry("nonsense"));
    Fixture.FakeStore.remove("servers", "s5");
    const auto Changed = co_await Fixture.Store.readBackends();
    REQUIRE(Changed.has_value());
    CHECK(Fixture.FakeStore.Calls == AfterList + 1);
    // Of 20 objects, one no longer decodes and one was removed; one was added.
    CHECK(Changed->Servers.size() == 19);
    const auto Drained =
        std::ranges::find(Changed->Servers, "s3", &backend_registration::Name);
    REQUIRE(Drained != Changed->Servers.end());
    CHECK(Drained->Draining);
  });
}

TEST_CASE("the next full list finds changes that a watch missed") {
  object_store_fixture Fixture;
  Fixture.FakeStore.PageSize = 4;
  for (int Number = 0; Number < 8; ++Number)
    Fixture.FakeStore.put("servers", "s" + std::to_string(Number),
                          backendEntry());
  Fixture.run([&]() -> asio::awaitable<void> {
    CHECK((co_await Fixture.Store.readBackends())->Servers.size() == 8);
    Fixture.FakeStore.Faults.WatchesMissEvents = true;
    Fixture.FakeStore.put("servers", "new", backendEntry());
    CHECK((co_await Fixture.Store.readBackends())->Servers.size() == 8);
    Fixture.Clock.advance(seconds(2));
    CHECK((co_await Fixture.Store.readBackends())->Servers.size() == 9);
    // Expired watch history makes the same call fall back to a full list.
    Fixture.FakeStore.Faults = {};
    Fixture.FakeStore.Faults.HistoryExpired = true;
    Fixture.FakeStore.put("servers", "newer", backendEntry());
    CHECK((co_await Fixture.Store.readBackends())->Servers.size() == 10);
  });
}

// Guards against: a list whose pages have no end fills the memory of the host.
TEST_CASE("a list of the platform that has no end is given up") {
  asio::io_context Context;
  manual_clock Clock;
  constexpr int LastPage = 60;
  int Pages = 0;
  http_server Server(
      Context, {},
      [&](http_request,
          std::shared_ptr<peer_connection>) -> asio::awaitable<http_response> {
        ++Pages;
        json::object Entry = backendEntry().as_object();
        Entry["zone"] = std::string(1U << 20U, 'z');
        const json::object Item = {
            {"metadata", json::object{{"name", "i-" + std::to_string(Pages)}}},
            {"specification", Entry}};
        const json::object Page = {{"items", json::array{Item}},
                                   {"more", Pages < LastPage},
                                   {"as_of", 1}};
        co_return jsonResponse(200, json::serialize(Page));
      });
  REQUIRE(Server.listen(StoreAddress).has_value());
  platform::object_store Store(Context, Clock, StoreAddress);
  result<backend_listing> Listed;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        Listed = co_await Store.readBackends();
        Server.abort();
        Context.stop();
      },
      asio::detached);
  Context.run();
  REQUIRE_FALSE(Listed);
  CHECK(Listed.error().Code == error_code::AnswerMalformed);
  CHECK(Pages < LastPage);
}

// Guards against: a copy of an earlier response, which bears nothing that tells
// which call it is for, is read as the response to the next call.
TEST_CASE("a response that the store sends twice answers no other call") {
  asio::io_context Context;
  manual_clock Clock;
  int Calls = 0;
  std::map<int, std::string> LastOnConnection;
  raw_server Server(Context, StoreAddress, [&](const raw_request &Request) {
    const std::string Name = "i-" + std::to_string(++Calls);
    const json::object Item = {
        {"metadata", json::object{{"name", Name}, {"revision", Calls}}},
        {"specification", backendEntry()}};
    const std::string Body = json::serialize(json::object{
        {"items", json::array{Item}}, {"more", false}, {"as_of", Calls}});
    const std::string Response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body;
    std::string &Last = LastOnConnection[Request.Connection];
    return raw_reply{std::exchange(Last, Response) + Response};
  });
  platform::object_store Store(Context, Clock, StoreAddress);
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        for (const char *Name : {"i-1", "i-2", "i-3"}) {
          const auto Listed = co_await Store.readBackends();
          REQUIRE(Listed);
          REQUIRE(Listed->Servers.size() == 1);
          CHECK(Listed->Servers.front().Name == Name);
        }
        Context.stop();
      },
      asio::detached);
  Context.run();
}
