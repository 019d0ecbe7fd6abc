/// \file
/// The backend servers as last read from the platform, across its outages.
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
  std::vector<backend_registration> Backends;
  /// Entries that the platform lost while it was away, with the time at which
  /// they are taken for gone.
  std::map<std::string, time_point> PendingRemovals;
  std::optional<time_point> ReadAt;
  /// The last read after which no entry was awaited back: how old the list is.
  std::optional<time_point> ConfirmedAt;
};

/// Takes a list that the platform gave at \p Now. Entries that are missing are
/// gone at once; but after an outage they stay for a while, as live servers
/// whose entries lapsed come back. \returns whether the backends changed, the
/// rest of a warm-up aside.
bool mergePlatformList(backend_directory &Directory,
                       std::vector<backend_registration> Listed,
                       time_point Now);

/// Replaces the list by that of another host, settled at \p SettledAt.
/// \returns whether the backends changed.
bool replaceWithPeerList(backend_directory &Directory,
                         std::vector<backend_registration> Listed,
                         time_point ConfirmedAt);

} // namespace coriandertray
