#include "allocation/server_pools.h"

#include "utils/hash.h"

#include <algorithm>
#include <numeric>

namespace coriandertray {

namespace {

// Large enough that a pool always contains proven servers, and small enough
// that a small host can allocate for it.
constexpr std::size_t MaxServersPerPool = 48;
// The fractional part of the golden ratio: multiples of it modulo 1 are spread
// evenly over [0, 1) after any number of steps.
constexpr double GoldenRatioStep = 0.6180339887498949;

std::string poolName(const std::string &Service, std::uint32_t Index,
                     std::uint32_t Count) {
  return Count == 1 ? Service
                    : Service + "/" + std::to_string(Index) + "of" +
                          std::to_string(Count);
}

} // namespace

std::uint32_t poolCount(std::size_t ServerCount) {
  std::uint32_t Count = 1;
  while (ServerCount > Count * MaxServersPerPool)
    Count *= 2;
  return Count;
}

std::vector<server_pool>
splitIntoPools(const std::string &Service,
               const std::vector<backend_registration> &Servers) {
  const std::uint32_t Count = poolCount(Servers.size());
  std::vector<server_pool> Pools(Count);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Pools[Index].Name = poolName(Service, Index, Count);
  for (const backend_registration &Server : Servers) {
    server_pool &Pool = Pools[stableHash(Server.Name) % Count];
    Pool.Servers.push_back(Server);
    Pool.Slots += Server.Draining ? 0 : Server.Slots;
  }
  return Pools;
}

const server_pool &nextPool(service_pools &Service) {
  const std::vector<server_pool> &Pools = Service.Pools;
  Service.SequencePosition += GoldenRatioStep;
  Service.SequencePosition -=
      static_cast<double>(static_cast<int>(Service.SequencePosition));
  const double Slots = std::transform_reduce(
      Pools.begin(), Pools.end(), 0.0, std::plus<>(),
      [](const server_pool &Pool) { return static_cast<double>(Pool.Slots); });
  double Remaining = Service.SequencePosition * Slots;
  for (const server_pool &Pool : Pools) {
    Remaining -= Pool.Slots;
    if (Remaining < 0)
      return Pool;
  }
  return Pools.back();
}

} // namespace coriandertray
