/// \file
/// Splits the backend servers of a large service into pools. Each pool has its
/// own allocator, so that no single host allocates for a whole service.
#pragma once

#include "discovery/backend_registration.h"

#include <cstdint>
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

/// \returns the number of pools for \p ServerCount servers.
[[nodiscard]] std::uint32_t poolCount(std::size_t ServerCount);

/// Splits \p Servers, all of which belong to \p Service, into at least one
/// pool. A server stays in its pool as long as the number of pools stays the
/// same.
[[nodiscard]] std::vector<server_pool>
splitIntoPools(const std::string &Service,
               const std::vector<backend_registration> &Servers);

/// \returns the pool for the next request. Pools are chosen in proportion to
/// their slots. \pre there is at least one pool.
[[nodiscard]] const server_pool &nextPool(service_pools &Service);

} // namespace coriandertray
