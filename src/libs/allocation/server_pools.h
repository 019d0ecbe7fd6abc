/// \file
/// Splits the backend servers of a large service into pools. Each pool has its
/// own allocator, so that no single host allocates for a whole service.
#pragma once

#include "discovery/backend_registration.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriandertray {

/// A subset of a service's backend servers.
struct server_pool {
  /// Unique in the fleet.
  std::string Name;
  std::vector<backend_registration> Servers;
  /// Concurrent requests that the servers which are not draining can run.
  std::uint32_t Slots = 0;
  bool operator==(const server_pool &) const = default;
};

/// The pools of one service and the position in the sequence that distributes
/// requests among them. Plain state; not thread-safe.
struct service_pools {
  std::vector<server_pool> Pools;
  /// In [0, 1).
  double SequencePosition = 0;
};

/// The numbers of pools in force, by service. A service that is missing has the
/// number that poolCount() gives for its servers. All hosts of a fleet use the
/// same numbers: the hosts that read the platform update them, and the others
/// adopt them together with the list of backend servers.
using pool_counts = std::map<std::string, std::uint32_t>;

/// \returns the number of pools for \p ServerCount servers of a service that
/// has no number yet: a power of two.
[[nodiscard]] std::uint32_t poolCount(std::size_t ServerCount);

/// \returns the number of pools after a change to \p ServerCount servers, if
/// \p InForce is the number before it. The number changes, to that of a new
/// service, only if the pools become too large, or so small that half as many
/// suffice. It stays while there are no servers. \pre isPoolCount(InForce).
[[nodiscard]] std::uint32_t nextPoolCount(std::uint32_t InForce,
                                          std::size_t ServerCount);

/// \returns whether \p Count can be a number of pools: a power of two that is
/// not too large.
[[nodiscard]] bool isPoolCount(std::uint32_t Count);

/// \returns the numbers in force after the platform listed \p Servers. Services
/// that are not in \p InForce get the number for their servers; those without
/// servers keep theirs.
[[nodiscard]] pool_counts
updatePoolCounts(const pool_counts &InForce,
                 const std::vector<backend_registration> &Servers);

/// \returns those of \p InForce that can't be computed from \p Servers with
/// poolCount(). They are what another host with the same list has to be told.
[[nodiscard]] pool_counts
exceptionalPoolCounts(const pool_counts &InForce,
                      const std::vector<backend_registration> &Servers);

/// \returns the numbers in force at a host that accepts the list \p Servers
/// from another host with the numbers \p Exceptional: the same as there.
/// Numbers that make no sense are ignored.
[[nodiscard]] pool_counts
adoptPoolCounts(const pool_counts &Exceptional,
                const std::vector<backend_registration> &Servers);

/// Splits \p Servers, all of which belong to \p Service, into \p Count pools. A
/// server stays in its pool as long as the number of pools stays the same.
/// \pre isPoolCount(Count).
[[nodiscard]] std::vector<server_pool>
splitIntoPools(const std::string &Service,
               const std::vector<backend_registration> &Servers,
               std::uint32_t Count);

/// Splits \p Backends, of any services, into the pools of all services that are
/// in \p Backends or \p Counts.
/// \returns the pools by service.
[[nodiscard]] std::map<std::string, std::vector<server_pool>>
splitServices(const std::vector<backend_registration> &Backends,
              const pool_counts &Counts);

/// \returns the pool for the next request. Pools are chosen in proportion to
/// their slots. \pre there is at least one pool.
[[nodiscard]] const server_pool &nextPool(service_pools &Service);

} // namespace coriandertray
