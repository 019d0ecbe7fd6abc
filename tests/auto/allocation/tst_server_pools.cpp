#include "allocation/server_pools.h"

#include "allocation_fixture.h"

#include <doctest/doctest.h>

#include <map>

using namespace coriandertray;
using namespace coriandertray::testing;

TEST_CASE("a small service is a single pool named after the service") {
  const std::vector<server_pool> Pools =
      splitIntoPools("service", makeServers(16));
  REQUIRE(Pools.size() == 1);
  CHECK(Pools.front().Name == "service");
  CHECK(Pools.front().Servers.size() == 16);
  CHECK(Pools.front().Slots == 48);
  CHECK(splitIntoPools("service", {}).size() == 1);
}

TEST_CASE("a large service is split into pools that share no server") {
  const std::vector<backend_registration> Servers = makeServers(234);
  const std::vector<server_pool> Pools = splitIntoPools("service", Servers);
  CHECK(Pools.size() == poolCount(Servers.size()));
  std::map<std::string, std::string> PoolByServer;
  for (const server_pool &Pool : Pools) {
    CHECK(Pool.Servers.size() >= 10);
    for (const backend_registration &Server : Pool.Servers)
      CHECK(PoolByServer.emplace(Server.Name, Pool.Name).second);
  }
  CHECK(PoolByServer.size() == Servers.size());
  // Servers that leave do not move the other servers to another pool.
  for (const server_pool &Pool : splitIntoPools("service", makeServers(200)))
    for (const backend_registration &Server : Pool.Servers)
      CHECK(PoolByServer[Server.Name] == Pool.Name);
}

TEST_CASE("pools get requests in proportion to their usable slots") {
  std::vector<backend_registration> Servers = makeServers(100);
  for (std::size_t Index = 0; Index < 30; ++Index)
    Servers[Index].Draining = true;
  service_pools Service = {splitIntoPools("service", Servers), 0};
  std::map<std::string, double> Count;
  constexpr int Requests = 2000;
  for (int Number = 0; Number < Requests; ++Number)
    ++Count[nextPool(Service).Name];
  for (const server_pool &Pool : Service.Pools)
    CHECK(Count[Pool.Name] / Requests ==
          doctest::Approx(Pool.Slots / 210.0).epsilon(0.05));
}
