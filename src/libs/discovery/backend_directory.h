/// \file
/// The list of registered backend servers, which tolerates platform outages.
#pragma once

#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// Plain state; not thread-safe.
struct backend_directory {
  /// Sorted by name.
  std::vector<backend_registration> Backends;
  /// Entries that were missing after a platform outage, by name, with the time
  /// at which they are removed unless the platform lists them again.
  std::map<std::string, time_point> PendingRemovals;
  /// When the list was last read from the platform, by any host.
  std::optional<time_point> ReadAt;
  /// The last read that left no removal pending. The age of the list is counted
  /// from here.
  std::optional<time_point> ConfirmedAt;
};

/// Updates \p Directory from \p Listed, which was read from the platform at
/// \p Now. Entries that are not listed are removed at once. After a platform
/// outage they are kept for a grace period instead, in which live servers whose
/// entries expired register again. \returns whether the backend servers
/// changed; a different remaining warm-up time alone is no change.
bool mergePlatformList(backend_directory &Directory,
                       std::vector<backend_registration> Listed,
                       time_point Now);

/// Replaces the list with that of another host, which had no removal pending at
/// \p ConfirmedAt. Cancels the removals that are pending here. \returns whether
/// the backend servers changed, as for mergePlatformList().
bool replaceWithPeerList(backend_directory &Directory,
                         std::vector<backend_registration> Listed,
                         time_point ConfirmedAt);

} // namespace coriandertray
