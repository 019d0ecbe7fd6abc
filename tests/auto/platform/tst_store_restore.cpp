#include "entry_host/entry_host.h"
#include "fake_object_store.h"
#include "object_store.h"
#include "utils/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address StoreAddress = {"127.97.5.1", 18'197};

asio::awaitable<void> pauseFor(duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Entry hosts that share one fake store, each with a connection of its own.
struct store_fleet {
  explicit store_fleet(int HostCount) : Store(Context) {
    static const bool Quiet = [] {
      startLogging("test", "", log_level::Error);
      return true;
    }();
    REQUIRE(Quiet);
    REQUIRE(Store.listen(StoreAddress).has_value());
    Store.put("config", "main", configEntry(1));
    Store.put("servers", "server-0", backendEntry());
    for (int Number = 0; Number < HostCount; ++Number)
      addHost(Number);
  }

  void addHost(int Number) {
    const std::string Ip = "127.97.6." + std::to_string(1 + Number);
    host_settings Settings;
    Settings.Host = "host-" + std::to_string(Number);
    Settings.Zone = "a";
    Settings.Listen = {Ip, 18'210};
    Settings.Readiness = {Ip, 18'211};
    Settings.Peers = {Ip, 18'212};
    Settings.AdvertisedPeers = Settings.Peers;
    Settings.Metrics = {Ip, 18'213};
    Settings.GracePeriod = seconds(1);
    Adapters.push_back(
        std::make_unique<platform::object_store>(Context, Clock, StoreAddress));
    Hosts.push_back(std::make_unique<entry_host>(
        Context, Clock, Settings, header_names{}, *Adapters.back()));
  }

  [[nodiscard]] std::int64_t viewNumber(std::size_t Number,
                                        std::string_view Key) const {
    const json::object Dump = Hosts[Number]->dump();
    return Dump.at("view").as_object().at(Key).to_number<std::int64_t>();
  }

  /// \returns whether \p Key of the view reaches \p Expected on all hosts.
  asio::awaitable<bool> reaches(std::string Key, std::int64_t Expected,
                                duration Within) {
    const time_point End = Clock.now() + Within;
    const auto IsReached = [&] {
      for (std::size_t Number = 0; Number < Hosts.size(); ++Number)
        if (viewNumber(Number, Key) != Expected)
          return false;
      return true;
    };
    while (!IsReached() && Clock.now() < End)
      co_await pauseFor(milliseconds(20));
    co_return IsReached();
  }

  /// Starts the hosts and runs \p Steps once they know each other.
  void run(const std::function<asio::awaitable<void>()> &Steps) {
    for (const auto &Host : Hosts)
      REQUIRE(Host->start().has_value());
    asio::co_spawn(
        Context,
        [this, &Steps]() -> asio::awaitable<void> {
          const auto HostCount = static_cast<std::int64_t>(Hosts.size());
          REQUIRE(co_await reaches("members", HostCount, seconds(6)));
          REQUIRE(co_await reaches("config_version", 1, seconds(3)));
          co_await Steps();
          Store.abort();
          Context.stop();
        },
        asio::detached);
    Context.run();
  }

  asio::io_context Context;
  steady_clock_source Clock;
  fake_object_store Store;
  std::vector<std::unique_ptr<platform::object_store>> Adapters;
  std::vector<std::unique_ptr<entry_host>> Hosts;
};

/// A change of the configuration is to be in force within this time.
constexpr duration ConfigDeadline = seconds(2);

} // namespace

TEST_CASE(
    "a configuration accepted after a restore of the store is in force on "
    "all hosts") {
  store_fleet Fleet(3);
  Fleet.run([&]() -> asio::awaitable<void> {
    const store_copy Copy = Fleet.Store.copy();
    for (const std::uint64_t Version : {4U, 7U, 9U})
      Fleet.Store.put("config", "main", configEntry(Version));
    CHECK(co_await Fleet.reaches("config_version", 9, ConfigDeadline));
    Fleet.Store.restore(Copy);
    co_await pauseFor(milliseconds(300));
    Fleet.Store.put("config", "main", configEntry(9));
    co_await pauseFor(milliseconds(300));
    Fleet.Store.put("config", "main", configEntry(11));
    CHECK(co_await Fleet.reaches("config_version", 11, ConfigDeadline));
  });
}

TEST_CASE("a configuration does not go back to an older one while the store "
          "holds an old copy") {
  store_fleet Fleet(2);
  Fleet.run([&]() -> asio::awaitable<void> {
    const store_copy Copy = Fleet.Store.copy();
    Fleet.Store.put("config", "main", configEntry(5));
    CHECK(co_await Fleet.reaches("config_version", 5, ConfigDeadline));
    Fleet.Store.restore(Copy);
    co_await pauseFor(seconds(1));
    CHECK(co_await Fleet.reaches("config_version", 5, milliseconds(0)));
  });
}

TEST_CASE("a watch finds no continuation in a history that began anew") {
  asio::io_context Context;
  steady_clock_source Clock;
  fake_object_store Store(Context);
  REQUIRE(Store.listen(StoreAddress).has_value());
  platform::object_store Adapter(Context, Clock, StoreAddress);
  Store.put("config", "main", configEntry(3));
  const store_copy Copy = Store.copy();
  Store.put("config", "main", configEntry(4));
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        const auto Before = co_await Adapter.readConfig();
        CHECK(Adapter.decodeConfig(Before.value())->Version == 4);
        Store.restore(Copy);
        Store.put("config", "main", configEntry(6));
        // The revisions go beyond the one that the watch continues from.
        for (int Count = 0; Count < 9; ++Count)
          Store.put("servers", "server-0", backendEntry());
        bool Found = false;
        for (int Call = 0; Call < 3 && !Found; ++Call) {
          const auto Next =
              co_await Adapter.awaitConfig(Before->Position, milliseconds(30));
          Found = Next && *Next && Adapter.decodeConfig(**Next)->Version == 6;
        }
        CHECK(Found);
        Store.abort();
        Context.stop();
      },
      asio::detached);
  Context.run();
}

TEST_CASE("hosts whose registrations are lost in a restore register again and "
          "stay one fleet") {
  store_fleet Fleet(3);
  const store_copy BeforeAll = Fleet.Store.copy();
  Fleet.run([&]() -> asio::awaitable<void> {
    Fleet.Store.restore(BeforeAll);
    const time_point End = Fleet.Clock.now() + seconds(6);
    bool AllKnown = true;
    bool AllRegistered = false;
    while (!AllRegistered && Fleet.Clock.now() < End) {
      co_await pauseFor(milliseconds(20));
      AllRegistered = true;
      for (std::size_t Number = 0; Number < 3; ++Number) {
        AllKnown = AllKnown && Fleet.viewNumber(Number, "members") == 3;
        AllRegistered = AllRegistered &&
                        Fleet.Store.hasObject("coriandertray-hosts",
                                              "host-" + std::to_string(Number));
      }
    }
    CHECK(AllKnown);
    CHECK(AllRegistered);
  });
}
