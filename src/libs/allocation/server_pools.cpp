#include "allocation/server_pools.h"

#include "utils/hash.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace coriandertray {

namespace {

// Servers per pool of a service that has no number of pools yet. Large enough
// that a pool always contains proven servers, and small enough that a small
// host can allocate for it.
constexpr std::size_t MaxInitialServersPerPool = 48;
// A change of the number renames all pools, so their allocators lose what they
// know. The bounds are wide enough that a number that just changed, or was just
// computed, stays if a quarter of the servers leave or join.
constexpr std::size_t MaxServersPerPool = 64;
// Pools are merged if the next smaller number leaves at most this many servers
// in each.
constexpr std::size_t MaxServersPerMergedPool = 36;
// Far more than any service needs; a larger number is a malformed message.
constexpr std::uint32_t MaxPoolCount = 1024;
// The fractional part of the golden ratio: multiples of it modulo 1 are spread
// evenly over [0, 1) after any number of steps.
constexpr double GoldenRatioStep = 0.6180339887498949;

std::string poolName(const std::string &Service, std::uint32_t Index,
                     std::uint32_t Count) {
  return Count == 1 ? Service
                    : Service + "/" + std::to_string(Index) + "of" +
                          std::to_string(Count);
}

std::map<std::string, std::size_t>
countServers(const std::vector<backend_registration> &Servers) {
  std::map<std::string, std::size_t> Counts;
  for (const backend_registration &Server : Servers)
    ++Counts[Server.Service];
  return Counts;
}

} // namespace

std::uint32_t poolCount(std::size_t ServerCount) {
  std::uint32_t Count = 1;
  while (ServerCount > Count * MaxInitialServersPerPool && Count < MaxPoolCount)
    Count *= 2;
  return Count;
}

bool isPoolCount(std::uint32_t Count) {
  return std::has_single_bit(Count) && Count <= MaxPoolCount;
}

std::uint32_t nextPoolCount(std::uint32_t InForce, std::size_t ServerCount) {
  const bool TooLarge = ServerCount > InForce * MaxServersPerPool;
  const bool TooSmall =
      InForce > 1 && ServerCount <= InForce / 2 * MaxServersPerMergedPool;
  const bool Stays = ServerCount == 0 || (!TooLarge && !TooSmall);
  return Stays ? InForce : poolCount(ServerCount);
}

pool_counts updatePoolCounts(const pool_counts &InForce,
                             const std::vector<backend_registration> &Servers) {
  pool_counts Next = InForce;
  for (const auto &[Service, ServerCount] : countServers(Servers)) {
    const auto [Known, IsNew] =
        Next.try_emplace(Service, poolCount(ServerCount));
    if (!IsNew)
      Known->second = nextPoolCount(Known->second, ServerCount);
  }
  return Next;
}

pool_counts
exceptionalPoolCounts(const pool_counts &InForce,
                      const std::vector<backend_registration> &Servers) {
  const std::map<std::string, std::size_t> ServerCounts = countServers(Servers);
  pool_counts Exceptional = InForce;
  std::erase_if(Exceptional, [&ServerCounts](const auto &Entry) {
    const auto Found = ServerCounts.find(Entry.first);
    return Found != ServerCounts.end() &&
           Entry.second == poolCount(Found->second);
  });
  return Exceptional;
}

pool_counts adoptPoolCounts(const pool_counts &Exceptional,
                            const std::vector<backend_registration> &Servers) {
  pool_counts Adopted = Exceptional;
  std::erase_if(Adopted,
                [](const auto &Entry) { return !isPoolCount(Entry.second); });
  for (const auto &[Service, ServerCount] : countServers(Servers))
    Adopted.try_emplace(Service, poolCount(ServerCount));
  return Adopted;
}

std::vector<server_pool>
splitIntoPools(const std::string &Service,
               const std::vector<backend_registration> &Servers,
               std::uint32_t Count) {
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

std::map<std::string, std::vector<server_pool>>
splitServices(const std::vector<backend_registration> &Backends,
              const pool_counts &Counts) {
  std::map<std::string, std::vector<backend_registration>> ByService;
  for (const auto &[Service, Count] : Counts)
    ByService[Service];
  for (const backend_registration &Backend : Backends)
    ByService[Backend.Service].push_back(Backend);
  std::map<std::string, std::vector<server_pool>> Pools;
  for (const auto &[Service, Servers] : ByService) {
    const auto Count = Counts.find(Service);
    Pools[Service] = splitIntoPools(
        Service, Servers,
        Count == Counts.end() ? poolCount(Servers.size()) : Count->second);
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
