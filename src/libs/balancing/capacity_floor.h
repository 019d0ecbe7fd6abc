/// \file
/// The capacity floor: how many backend servers may be kept from work at once.
#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace coriandertray {

/// One backend server, as the floor sees it.
struct floor_candidate {
  std::uint32_t Slots = 0;
  /// Somebody wants it kept from work.
  bool Excluded = false;
  /// It is leaving: it can't count towards the floor.
  bool Leaving = false;
  /// How sick it looks; the least sick return first.
  double Severity = 0;
  auto operator<=>(const floor_candidate &) const = default;
};

/// \returns for each candidate whether it stays excluded: of those that are to
/// be excluded, the least severe are kept in until the rest has \p FloorSlots.
/// A leaving candidate always stays excluded.
[[nodiscard]] std::vector<bool>
applyFloor(std::span<const floor_candidate> Candidates,
           std::uint32_t FloorSlots);

} // namespace coriandertray
