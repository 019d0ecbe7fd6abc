/// \file
/// The list of entry hosts, which tolerates registrations that the platform has
/// lost.
#pragma once

#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace coriandertray {

/// A host that was listed before.
struct unlisted_member {
  fleet_member Member;
  time_point KeptUntil;
  auto operator<=>(const unlisted_member &) const = default;
};

/// Plain state; not thread-safe.
struct member_directory {
  /// As listed by the platform, sorted.
  std::vector<fleet_member> Listed;
  /// By host.
  std::map<std::string, unlisted_member> Unlisted;
};

/// Replaces the list. Hosts that are not listed any more are kept for a grace
/// period, in which live hosts whose registrations were lost register again:
/// without them the hosts would disagree on the duties.
void replaceMembers(member_directory &Directory,
                    std::vector<fleet_member> Listed, time_point Now);

/// \returns the hosts that are listed or kept at \p Now, sorted.
[[nodiscard]] std::vector<fleet_member>
currentMembers(const member_directory &Directory, time_point Now);

} // namespace coriandertray
