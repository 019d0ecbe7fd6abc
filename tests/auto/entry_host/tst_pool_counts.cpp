#include "fleet_fixture.h"

#include <set>

// A fleet in front of a service whose number of pools is about to change.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr int HostCount = 3;
// The most servers of a single pool when a fleet starts.
constexpr std::size_t OnePool = 48;
// More servers than one pool may grow to.
constexpr std::size_t TwoPools = 70;
// As many servers as make two pools when a fleet starts, but not enough to
// split a pool.
constexpr std::size_t InsideBounds = 60;

asio::awaitable<http_response> respondAfterPause(http_request Request) {
  co_await pauseFor(milliseconds(150));
  co_return signedResponse(Request);
}

/// Registers \p Count servers of one slot each, at the address of one backend.
void registerServers(fleet_fixture &Fleet, std::size_t Count) {
  if (Fleet.Backends.empty())
    Fleet.addBackend(respondAfterPause);
  const backend_registration First = {
      "server-0", "one", Fleet.Backends.front()->Address, "a", 1, false, {}, 1};
  Fleet.Platform.Backends.assign(Count, First);
  for (std::size_t Number = 0; Number < Count; ++Number)
    Fleet.Platform.Backends[Number].Name = "server-" + std::to_string(Number);
}

/// Gives the requests time enough to wait for several others.
void setLongTimeouts(fleet_fixture &Fleet) {
  for (route_rule &Route : Fleet.Platform.Config.Routes) {
    Route.Timeout = seconds(5);
    Route.TargetLatency = seconds(4);
  }
}

/// The status codes of requests that are sent at the same time.
struct load_outcome {
  int Sent = 0;
  std::vector<unsigned> Statuses;
};

asio::awaitable<void> sendRequest(fleet_fixture &Fleet, load_outcome &Outcome,
                                  int Number) {
  const std::string Response = co_await Fleet.sendAndReceive(
      Fleet.requestText("POST", "/book/", "r" + std::to_string(Number)), 1,
      Number % HostCount);
  Outcome.Statuses.push_back(Fleet.statusOf(Response));
}

void sendAtOnce(fleet_fixture &Fleet, load_outcome &Outcome, int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    ++Outcome.Sent;
    asio::co_spawn(Fleet.Context, sendRequest(Fleet, Outcome, Number),
                   asio::detached);
  }
}

std::set<std::string> poolsOf(const entry_host &Host) {
  const json::object Dump = Host.dump();
  std::set<std::string> Names;
  for (const auto &Pool : Dump.at("slots").as_object().at("pools").as_object())
    Names.insert(std::string(Pool.key()));
  return Names;
}

std::string readerOf(const entry_host &Host) {
  return std::string(
      Host.dump().at("view").as_object().at("reader").as_string());
}

/// Has \p Waiting requests wait while the number of servers changes from
/// \p Before to \p After, and \returns the outcome.
load_outcome loadAcrossChange(std::size_t Before, std::size_t After,
                              int Waiting) {
  fleet_fixture Fleet(HostCount);
  setLongTimeouts(Fleet);
  registerServers(Fleet, Before);
  load_outcome Outcome;
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(2));
    load_outcome First;
    sendAtOnce(Fleet, First, static_cast<int>(Before));
    co_await pauseFor(milliseconds(500));
    sendAtOnce(Fleet, Outcome, static_cast<int>(Before) + Waiting);
    co_await pauseFor(milliseconds(100));
    registerServers(Fleet, After);
    co_await pauseFor(seconds(4));
  });
  return Outcome;
}

void checkAllServed(const load_outcome &Outcome) {
  CHECK(Outcome.Statuses.size() == static_cast<std::size_t>(Outcome.Sent));
  CHECK(std::ranges::count(Outcome.Statuses, 200U) == Outcome.Sent);
}

} // namespace

TEST_CASE("waiting requests are served while no server changes") {
  checkAllServed(loadAcrossChange(OnePool, OnePool, 130));
}

// Guards against: a few servers more or fewer rename all pools.
TEST_CASE("no waiting request is refused when servers change inside the "
          "bounds") {
  checkAllServed(loadAcrossChange(OnePool, InsideBounds, 130));
}

// Guards against: requests that wait in a pool which is split or merged are
// refused.
TEST_CASE("no waiting request is refused when a pool is split") {
  checkAllServed(loadAcrossChange(OnePool, TwoPools, 130));
}

TEST_CASE("no waiting request is refused when pools are merged") {
  // With more requests, the fewer servers would be overloaded.
  checkAllServed(loadAcrossChange(TwoPools, 36, 40));
}

// Guards against: a host that starts inside the bounds computes another number
// of pools than the one in force, also as the new reader.
TEST_CASE("a host that joins inside the bounds asks for the same pools") {
  constexpr int AllHosts = HostCount + 1;
  int Reader = 0;
  {
    fleet_fixture Fleet(AllHosts);
    registerServers(Fleet, OnePool);
    Fleet.run([&]() -> asio::awaitable<void> {
      co_await pauseFor(seconds(2));
      Reader = readerOf(*Fleet.Hosts[0]).back() - '0';
    });
  }
  for (int Joining = 0; Joining < AllHosts; ++Joining) {
    fleet_fixture Fleet(0);
    for (int Number = 0; Number < AllHosts; ++Number)
      if (Number != Joining)
        Fleet.addHost(Number);
    registerServers(Fleet, OnePool);
    Fleet.run([&]() -> asio::awaitable<void> {
      co_await pauseFor(seconds(2));
      registerServers(Fleet, InsideBounds);
      co_await pauseFor(milliseconds(500));
      Fleet.addHost(Joining);
      REQUIRE(Fleet.Hosts.back()->start().has_value());
      co_await pauseFor(seconds(2));
      const std::string Expected = "host-" + std::to_string(Reader);
      for (const auto &Host : Fleet.Hosts)
        CHECK(readerOf(*Host) == Expected);
      for (int Number = 0; Number < 6 * AllHosts; ++Number)
        CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(
                  Fleet.requestText("GET", "/read/", "r"), 1,
                  Number % AllHosts)) == 200);
      for (const auto &Host : Fleet.Hosts)
        CHECK(poolsOf(*Host) == std::set<std::string>{"one"});
    });
  }
}

// Guards against: the next reader computes another number than the one in
// force.
TEST_CASE("a change of the reader changes no pools") {
  fleet_fixture Fleet(HostCount);
  setLongTimeouts(Fleet);
  registerServers(Fleet, OnePool);
  bool Checked = false;
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(2));
    registerServers(Fleet, InsideBounds);
    co_await pauseFor(seconds(1));
    const std::string Reader = readerOf(*Fleet.Hosts[0]);
    const auto Number = static_cast<std::size_t>(Reader.back() - '0');
    Fleet.PlatformConnections[Number]->Disconnected = true;
    registerServers(Fleet, InsideBounds - 1);
    co_await pauseFor(seconds(3));
    CHECK(readerOf(*Fleet.Hosts[(Number + 1) % HostCount]) != Reader);
    for (int Count = 0; Count < 6 * HostCount; ++Count)
      co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/read/", "r"), 1,
                                    Count % HostCount);
    for (const auto &Host : Fleet.Hosts)
      CHECK(poolsOf(*Host) == std::set<std::string>{"one"});
    Checked = true;
  });
  CHECK(Checked);
}
