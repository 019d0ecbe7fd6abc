/// \file
/// Remembers which requests a connection has carried. A server may send a copy
/// of a response later, where the response to another request is due. Only the
/// request id tells them apart, and only if each id is sent once on a
/// connection. Performs no I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace coriandertray {

/// The requests that one connection has carried, as hashes of their ids. Not
/// thread-safe.
struct carried_ids {
  std::vector<std::uint64_t> Hashes;
  auto operator<=>(const carried_ids &) const = default;
};

/// Limits what is remembered of a connection to 4 KiB.
inline constexpr std::size_t MaxCarriedIds = 512;

/// \returns whether a connection that has carried \p Carried may carry a
/// request with the id \p Id. May return false for an id that is new.
[[nodiscard]] bool mayCarry(const carried_ids &Carried, std::string_view Id);

/// Records that a request with the id \p Id is sent. \pre mayCarry() returned
/// true for it.
void addCarried(carried_ids &Carried, std::string_view Id);

/// \returns whether it holds MaxCarriedIds, so that no other may be added.
[[nodiscard]] bool isFull(const carried_ids &Carried);

} // namespace coriandertray
