/// \file
/// Chooses the hosts that pass on the view of the platform in a large fleet.
///
/// In a small fleet the reader sends its view to every host itself. In a large
/// one that would take its whole link at each start of the fleet, so it sends
/// the view to a few relays in each availability zone, which pass it on there.
#pragma once

#include "discovery/backend_registration.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace coriandertray {

/// Immutable value; safe to share between threads.
struct relay_policy {
  /// Smaller fleets have no relays.
  std::size_t MinHosts = 64;
  /// Hosts of an availability zone for each relay in it.
  std::size_t HostsPerRelay = 32;
  auto operator<=>(const relay_policy &) const = default;
};

/// \returns the relays that \p Self may subscribe to, in order of preference.
/// Empty if it subscribes to the reader, as relays do. \p EligibleHosts are the
/// hosts with enough capacity for duties. All hosts that know the same
/// \p Members agree on who is a relay.
[[nodiscard]] std::vector<std::string>
relaysFor(const fleet_member &Self, const std::vector<fleet_member> &Members,
          const std::set<std::string> &EligibleHosts,
          const relay_policy &Policy);

} // namespace coriandertray
