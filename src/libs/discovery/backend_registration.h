/// \file
/// The entries that the platform lists: backend servers and entry hosts.
#pragma once

#include "utils/address.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// A backend server as it registered with the platform.
struct backend_registration {
  std::string Name;
  std::string Service;
  socket_address Address;
  std::string Zone;
  /// The number of requests that it executes concurrently.
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// How much longer the server warms up, that is, responds slowly after its
  /// start.
  milliseconds WarmUpRemaining{0};
  /// When the server started. An entry with the same name but another start
  /// time is another backend server. Zero if the server didn't report it.
  std::uint64_t StartedAtUnixMs = 0;
  /// Counts what the server has reported since its start. Zero if unknown.
  std::uint64_t Sequence = 0;
  auto operator<=>(const backend_registration &) const = default;
};

/// An entry host of the fleet, as registered with the platform.
struct fleet_member {
  std::string Host;
  std::string Zone;
  /// Where the host accepts connections from other hosts.
  socket_address Address;
  /// The CPU capacity of the host, in thousandths of a core.
  std::uint32_t CapacityMillicores = 0;
  auto operator<=>(const fleet_member &) const = default;
};

} // namespace coriandertray
