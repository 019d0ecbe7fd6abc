#include "allocation/server_pools.h"

#include "allocation_fixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

using server_list = std::vector<backend_registration>;

/// Splits \p Servers of "service" as a host that holds no number of pools.
std::vector<server_pool> splitInitially(const server_list &Servers) {
  return splitIntoPools("service", Servers, poolCount(Servers.size()));
}

/// \returns a list of servers of a few services, of which some have none.
server_list anyServers() {
  server_list Servers;
  for (const char *Service : {"one", "two", "three"})
    if (*rc::gen::inRange(0, 3) > 0)
      for (backend_registration Server :
           makeServers(*rc::gen::inRange(0, 300))) {
        Server.Service = Service;
        Server.Name = Service + Server.Name;
        Servers.push_back(Server);
      }
  return Servers;
}

/// One host's list and numbers of pools.
struct host_state {
  server_list Servers;
  pool_counts Counts;
};

void readPlatform(host_state &Host, const server_list &Listed) {
  Host.Servers = Listed;
  Host.Counts = updatePoolCounts(Host.Counts, Listed);
}

void acceptPush(host_state &Host, const host_state &Sender) {
  Host.Servers = Sender.Servers;
  Host.Counts = adoptPoolCounts(
      exceptionalPoolCounts(Sender.Counts, Sender.Servers), Sender.Servers);
}

std::map<std::string, std::vector<server_pool>>
poolsOf(const host_state &Host) {
  return splitServices(Host.Servers, Host.Counts);
}

} // namespace

TEST_CASE("a small service is a single pool named after the service") {
  const std::vector<server_pool> Pools = splitInitially(makeServers(16));
  REQUIRE(Pools.size() == 1);
  CHECK(Pools.front().Name == "service");
  CHECK(Pools.front().Servers.size() == 16);
  CHECK(Pools.front().Slots == 48);
  CHECK(splitInitially({}).size() == 1);
}

TEST_CASE("a large service is split into pools that share no server") {
  const std::vector<backend_registration> Servers = makeServers(234);
  const std::vector<server_pool> Pools = splitInitially(Servers);
  CHECK(Pools.size() == poolCount(Servers.size()));
  std::map<std::string, std::string> PoolByServer;
  for (const server_pool &Pool : Pools) {
    CHECK(Pool.Servers.size() >= 10);
    for (const backend_registration &Server : Pool.Servers)
      CHECK(PoolByServer.emplace(Server.Name, Pool.Name).second);
  }
  CHECK(PoolByServer.size() == Servers.size());
  // Servers that leave do not move the other servers to another pool.
  for (const server_pool &Pool : splitInitially(makeServers(200)))
    for (const backend_registration &Server : Pool.Servers)
      CHECK(PoolByServer[Server.Name] == Pool.Name);
}

TEST_CASE("pools get requests in proportion to their usable slots") {
  std::vector<backend_registration> Servers = makeServers(100);
  for (std::size_t Index = 0; Index < 30; ++Index)
    Servers[Index].Draining = true;
  service_pools Service = {splitInitially(Servers), 0};
  std::map<std::string, double> Count;
  constexpr int Requests = 2000;
  for (int Number = 0; Number < Requests; ++Number)
    ++Count[nextPool(Service).Name];
  for (const server_pool &Pool : Service.Pools)
    CHECK(Count[Pool.Name] / Requests ==
          doctest::Approx(Pool.Slots / 210.0).epsilon(0.05));
}

// Guards against: 15 of 100 servers of a service with 111 crash, and its pools
// are renamed twice.
TEST_CASE("a crash of a sixth of the servers does not change the pools") {
  const std::uint32_t Count = poolCount(111);
  CHECK(Count == 4);
  CHECK(nextPoolCount(Count, 94) == Count);
  CHECK(nextPoolCount(nextPoolCount(Count, 94), 111) == Count);
}

TEST_CASE("the number of pools changes at the bounds only") {
  CHECK(nextPoolCount(1, 64) == 1);
  CHECK(nextPoolCount(1, 65) == 2);
  CHECK(nextPoolCount(2, 128) == 2);
  CHECK(nextPoolCount(2, 129) == 4);
  CHECK(nextPoolCount(4, 73) == 4);
  CHECK(nextPoolCount(4, 72) == 2);
  CHECK(nextPoolCount(2, 37) == 2);
  CHECK(nextPoolCount(2, 36) == 1);
  CHECK(nextPoolCount(8, 20) == 1);
  CHECK(nextPoolCount(1, 500) == poolCount(500));
  CHECK(nextPoolCount(8, 37) == 1);
}

TEST_CASE("a service without servers for a moment keeps its pools") {
  host_state Reader;
  readPlatform(Reader, makeServers(234));
  const pool_counts Before = Reader.Counts;
  readPlatform(Reader, {});
  CHECK(Reader.Counts == Before);
  host_state Other;
  acceptPush(Other, Reader);
  CHECK(Other.Counts == Before);
}

TEST_CASE("any sequence of list sizes keeps the servers per pool in bounds") {
  CHECK(rc::check("for random sizes", [] {
    std::optional<std::uint32_t> Count;
    for (int Step = 0; Step < 40; ++Step) {
      const auto Size = static_cast<std::size_t>(*rc::gen::inRange(1, 2000));
      const std::uint32_t Next =
          Count ? nextPoolCount(*Count, Size) : poolCount(Size);
      RC_ASSERT(isPoolCount(Next));
      RC_ASSERT(Size <= Next * std::size_t{64});
      RC_ASSERT(Next == 1 || Size > Next / 2 * std::size_t{36});
      const bool Inside = Count && Size <= *Count * std::size_t{64} &&
                          (*Count == 1 || Size > *Count / 2 * std::size_t{36});
      RC_ASSERT(!Inside || Next == *Count);
      RC_ASSERT(nextPoolCount(Next, Size) == Next);
      Count = Next;
    }
  }));
}

// Guards against: a number that just changed or was just computed changes back
// when a few servers leave or join.
TEST_CASE("a new number of pools stays when a quarter of the servers change") {
  CHECK(rc::check("for random sizes", [] {
    const int Size = *rc::gen::inRange(40, 2000);
    const std::uint32_t Known = 1U << *rc::gen::inRange(0U, 6U);
    const auto Count =
        *rc::gen::arbitrary<bool>()
            ? poolCount(static_cast<std::size_t>(Size))
            : nextPoolCount(Known, static_cast<std::size_t>(Size));
    if (Count == Known)
      return;
    const int Changed = *rc::gen::inRange(Size - Size / 4, Size + Size / 4 + 1);
    RC_ASSERT(nextPoolCount(Count, static_cast<std::size_t>(Changed)) == Count);
  }));
}

TEST_CASE("hosts that adopt have the same pools, whatever they had before") {
  CHECK(rc::check("for random lists", [] {
    host_state Reader;
    host_state Relay;
    host_state Host;
    for (int Step = 0; Step < 6; ++Step) {
      // Any host may read the platform, also one that was cut off for a while.
      host_state *const Hosts[] = {&Reader, &Relay, &Host};
      readPlatform(*Hosts[*rc::gen::inRange(0, 3)], anyServers());
      if (*rc::gen::arbitrary<bool>())
        std::swap(Reader, Host);
      if (*rc::gen::inRange(0, 4) == 0)
        Relay = {};
      acceptPush(Relay, Reader);
      acceptPush(Host, Relay);
      RC_ASSERT(poolsOf(Relay) == poolsOf(Reader));
      RC_ASSERT(poolsOf(Host) == poolsOf(Reader));
      // Each of them would now decide the same as the next reader.
      const server_list Next = anyServers();
      for (host_state *Each : Hosts)
        readPlatform(*Each, Next);
      RC_ASSERT(poolsOf(Host) == poolsOf(Reader));
      RC_ASSERT(poolsOf(Relay) == poolsOf(Reader));
    }
  }));
}

TEST_CASE("a push of a host that sends no numbers gives those that it uses") {
  const server_list Servers = makeServers(94);
  CHECK(adoptPoolCounts({}, Servers) == pool_counts{{"service", 2}});
}

TEST_CASE("numbers of pools that make no sense are ignored") {
  const server_list Servers = makeServers(94);
  for (const std::uint32_t Count : {0U, 3U, 2048U, 4'294'967'295U})
    CHECK(adoptPoolCounts({{"service", Count}, {"other", Count}}, Servers) ==
          pool_counts{{"service", 2}});
}
