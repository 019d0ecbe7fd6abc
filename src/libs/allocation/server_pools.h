/// \file
/// Large services are split into pools of backend servers, each with an
/// allocator of its own, so that no host carries a whole service.
#pragma once

#include "discovery/backend_registration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// One part of a service's backend servers.
struct server_pool {
  /// Names the pool in the whole fleet.
  std::string Name;
  std::vector<backend_registration> Servers;
  /// How many requests those of its servers that take work run at a time.
  std::uint32_t Slots = 0;
  bool operator==(const server_pool &) const = default;
};

/// The pools of one service, and whose turn it is. Plain state; not
/// thread-safe.
struct service_pools {
  std::vector<server_pool> Pools;
  /// How far the turns of the pools have gone, in [0, 1).
  double SequencePosition = 0;
};

/// \returns into how many pools \p ServerCount servers are split.
[[nodiscard]] std::uint32_t poolCount(std::size_t ServerCount);

/// Splits \p Servers, all of \p Service. A server stays in its pool while the
/// number of pools does. There is one pool at least.
[[nodiscard]] std::vector<server_pool>
splitIntoPools(const std::string &Service,
               const std::vector<backend_registration> &Servers);

/// \returns the pool for the next request, in proportion to the slots.
/// \pre there is a pool.
[[nodiscard]] const server_pool &nextPool(service_pools &Service);

} // namespace coriandertray
