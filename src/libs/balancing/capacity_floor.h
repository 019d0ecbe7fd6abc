/// \file
/// The capacity floor: the number of slots that a service keeps in use however
/// many of its backend servers look unhealthy.
#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace coriandertray {

/// The input of applyFloor() for one backend server.
struct floor_candidate {
  std::uint32_t Slots = 0;
  /// Whether it should be excluded from new work.
  bool Excluded = false;
  /// Whether it is leaving. It then never counts towards the floor.
  bool Leaving = false;
  /// How unhealthy it looks. The least severe return first.
  double Severity = 0;
  auto operator<=>(const floor_candidate &) const = default;
};

/// \returns for each candidate whether it stays excluded. Of those that should
/// be excluded, the least severe are returned to service until \p FloorSlots
/// slots are in service. A leaving candidate always stays excluded.
[[nodiscard]] std::vector<bool>
applyFloor(std::span<const floor_candidate> Candidates,
           std::uint32_t FloorSlots);

} // namespace coriandertray
