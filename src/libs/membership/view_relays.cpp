#include "membership/view_relays.h"

#include "membership/rendezvous.h"

#include <algorithm>

namespace coriandertray {

std::vector<std::string> relaysFor(const fleet_member &Self,
                                   const std::vector<fleet_member> &Members,
                                   const std::set<std::string> &EligibleHosts,
                                   const relay_policy &Policy) {
  if (Members.size() < Policy.MinHosts)
    return {};
  std::size_t HostsInZone = 0;
  std::vector<std::string> EligibleInZone;
  for (const fleet_member &Member : Members) {
    if (Member.Zone != Self.Zone)
      continue;
    ++HostsInZone;
    if (EligibleHosts.contains(Member.Host))
      EligibleInZone.push_back(Member.Host);
  }
  const std::size_t RelayCount =
      (HostsInZone + Policy.HostsPerRelay - 1) / Policy.HostsPerRelay;
  const std::vector<std::string> Relays =
      ownersOf("relay/" + Self.Zone, EligibleInZone, RelayCount);
  if (std::ranges::find(Relays, Self.Host) != Relays.end())
    return {};
  return ownersOf(Self.Host, Relays, Relays.size());
}

} // namespace coriandertray
