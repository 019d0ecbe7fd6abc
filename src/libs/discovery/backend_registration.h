/// \file
/// A backend server as it registered itself.
#pragma once

#include "utils/address.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

struct backend_registration {
  std::string Name;
  std::string Service;
  socket_address Address;
  std::string Zone;
  /// Requests it runs at the same time.
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// How much longer it is slow after its start.
  milliseconds WarmUpRemaining{0};
  /// When it started, in Unix milliseconds: the same name with another start is
  /// another backend server. Zero if it didn't say.
  std::uint64_t StartedAtUnixMs = 0;
  auto operator<=>(const backend_registration &) const = default;
};

/// An entry host of this fleet.
struct fleet_member {
  std::string Host;
  std::string Zone;
  /// Where other hosts reach it.
  socket_address Address;
  /// Thousandths of a core that it may use.
  std::uint32_t CapacityMillicores = 0;
  auto operator<=>(const fleet_member &) const = default;
};

} // namespace coriandertray
