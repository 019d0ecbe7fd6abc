#include "object_store.h"
#include "store_stand_in.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <functional>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address StoreAddress = {"127.97.1.1", 18'197};

struct stored {
  stored() : StandIn(Context), Store(Context, Clock, StoreAddress) {
    REQUIRE(StandIn.listen(StoreAddress).has_value());
  }

  void run(const std::function<asio::awaitable<void>()> &Steps) {
    asio::co_spawn(
        Context,
        [this, &Steps]() -> asio::awaitable<void> {
          co_await Steps();
          StandIn.abort();
          Context.stop();
        },
        asio::detached);
    Context.run();
  }

  asio::io_context Context;
  manual_clock Clock;
  store_stand_in StandIn;
  platform::object_store Store;
};

json::value backendEntry(std::string_view State = "ready") {
  return json::object{{"service", "one"}, {"address", "10.0.0.1:80"},
                      {"zone", "a"},      {"slots", 3},
                      {"state", State},   {"warmup_remaining", "0ms"},
                      {"sequence", 1}};
}

json::value configEntry(std::uint64_t Version) {
  return json::object{{"version", Version},
                      {"services", json::array{}},
                      {"limits", json::object{{"max_header_bytes", 1000},
                                              {"max_body_bytes", 1000},
                                              {"header_timeout", "1s"},
                                              {"idle_timeout", "1s"}}},
                      {"virtual_hosts", json::array{}}};
}

} // namespace

TEST_CASE("lists are read over all their pages, strange entries left out") {
  stored Case;
  Case.StandIn.PageSize = 4;
  for (int Number = 10; Number < 20; ++Number)
    Case.StandIn.put("servers", "i-" + std::to_string(Number), backendEntry());
  Case.StandIn.put("servers", "i-forged", json::array{1, 2});
  Case.StandIn.put("servers", "i-left", backendEntry("draining"));
  Case.run([&]() -> asio::awaitable<void> {
    const auto Listed = co_await Case.Store.readBackends();
    REQUIRE(Listed);
    CHECK(Listed->size() == 11);
    CHECK(Listed->back().Draining);
  });
}

TEST_CASE("a watch tells of a configuration, and goes on when cut off") {
  stored Case;
  Case.StandIn.put("config", "main", configEntry(3));
  Case.run([&]() -> asio::awaitable<void> {
    const auto First = co_await Case.Store.readConfig();
    REQUIRE(First);
    const auto None =
        co_await Case.Store.awaitConfig(First->Revision, milliseconds(10));
    REQUIRE(None);
    CHECK_FALSE(None->has_value());
    Case.StandIn.put("config", "main", configEntry(9));
    const auto Second =
        co_await Case.Store.awaitConfig(First->Revision, milliseconds(500));
    REQUIRE(Second);
    REQUIRE(Second->has_value());
    CHECK(Case.Store.decodeConfig(**Second)->Version == 9);
    // History is gone while a change is made: the next call reads it whole.
    Case.StandIn.put("config", "main", configEntry(12));
    Case.StandIn.Faults.HistoryGone = true;
    CHECK_FALSE(
        co_await Case.Store.awaitConfig((*Second)->Revision, milliseconds(10)));
    const auto Third =
        co_await Case.Store.awaitConfig((*Second)->Revision, milliseconds(10));
    REQUIRE(Third);
    REQUIRE(Third->has_value());
    CHECK(Case.Store.decodeConfig(**Third)->Version == 12);
  });
}

TEST_CASE("failures of the store are typed") {
  stored Case;
  Case.run([&]() -> asio::awaitable<void> {
    const auto Missing = co_await Case.Store.readConfig();
    REQUIRE_FALSE(Missing);
    CHECK(Missing.error().Code == error_code::ObjectMissing);
    Case.StandIn.Faults.Refuses = true;
    const auto Refused = co_await Case.Store.readBackends();
    REQUIRE_FALSE(Refused);
    CHECK(Refused.error().Code == error_code::PlatformUnreachable);
    Case.StandIn.Faults = {.Down = true};
    const auto Down = co_await Case.Store.readMembers(false);
    REQUIRE_FALSE(Down);
    CHECK(Down.error().Code == error_code::PlatformUnreachable);
  });
}

TEST_CASE("a host adds itself once, whether or not it is told") {
  stored Case;
  fleet_member Member = {"host-1", "a", {"10.0.0.7", 7540}, 200};
  Case.run([&]() -> asio::awaitable<void> {
    Case.StandIn.Faults.LosesAnswers = true;
    CHECK_FALSE(co_await Case.Store.addMember(Member));
    Case.StandIn.Faults = {};
    Member.Address.Port = 7541;
    CHECK(co_await Case.Store.addMember(Member));
    const auto Listed = co_await Case.Store.readMembers(false);
    REQUIRE(Listed);
    CHECK(*Listed == std::vector<fleet_member>{Member});
    CHECK(co_await Case.Store.removeMember("host-1"));
    CHECK(co_await Case.Store.removeMember("host-1"));
    CHECK_FALSE(Case.StandIn.holds("coriandertray-hosts", "host-1"));
  });
}

TEST_CASE("between two lists of many pages only what changed is asked for") {
  stored Case;
  Case.StandIn.PageSize = 4;
  for (int Number = 0; Number < 20; ++Number)
    Case.StandIn.put("servers", "s" + std::to_string(Number), backendEntry());
  Case.run([&]() -> asio::awaitable<void> {
    CHECK((co_await Case.Store.readBackends())->size() == 20);
    const int AfterList = Case.StandIn.Calls;
    Case.StandIn.put("servers", "s3", backendEntry("draining"));
    Case.StandIn.put("servers", "new", backendEntry());
    Case.StandIn.put("servers", "s4", backendEntry("nonsense"));
    Case.StandIn.remove("servers", "s5");
    const auto Changed = co_await Case.Store.readBackends();
    REQUIRE(Changed.has_value());
    CHECK(Case.StandIn.Calls == AfterList + 1);
    // One more, one that can't be read any more, and one that is gone.
    CHECK(Changed->size() == 19);
    const auto Drained =
        std::ranges::find(*Changed, "s3", &backend_registration::Name);
    REQUIRE(Drained != Changed->end());
    CHECK(Drained->Draining);
  });
}

TEST_CASE("what a watch misses is found by the next list") {
  stored Case;
  Case.StandIn.PageSize = 4;
  for (int Number = 0; Number < 8; ++Number)
    Case.StandIn.put("servers", "s" + std::to_string(Number), backendEntry());
  Case.run([&]() -> asio::awaitable<void> {
    CHECK((co_await Case.Store.readBackends())->size() == 8);
    Case.StandIn.Faults.WatchesHearNothing = true;
    Case.StandIn.put("servers", "new", backendEntry());
    CHECK((co_await Case.Store.readBackends())->size() == 8);
    Case.Clock.advance(seconds(2));
    CHECK((co_await Case.Store.readBackends())->size() == 9);
    // A history that is gone is read anew at once.
    Case.StandIn.Faults = {};
    Case.StandIn.Faults.HistoryGone = true;
    Case.StandIn.put("servers", "newer", backendEntry());
    CHECK((co_await Case.Store.readBackends())->size() == 10);
  });
}
