/// \file
/// The list of registered backend servers, which tolerates platform outages.
#pragma once

#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// What is known of a backend server that is not listed any more.
struct removed_backend {
  std::uint64_t StartedAtUnixMs = 0;
  std::uint64_t Sequence = 0;
  /// The epoch of the store's history in which it was not listed any more.
  std::uint64_t Epoch = 0;
  time_point RemovedAt;
  auto operator<=>(const removed_backend &) const = default;
};

/// Plain state; not thread-safe.
struct backend_directory {
  /// Sorted by name.
  std::vector<backend_registration> Backends;
  /// Entries that were missing after a platform outage, by name, with the time
  /// at which they are removed unless the platform lists them again.
  std::map<std::string, time_point> PendingRemovals;
  /// By name. A store that was restored from an older copy lists them again.
  std::map<std::string, removed_backend> Removed;
  /// The epoch of the store's history that the list is from; zero if unknown.
  std::uint64_t Epoch = 0;
  /// When the list was last read from the platform, by any host, changed or
  /// not.
  std::optional<time_point> ReadAt;
  /// The last read that left no removal pending. The age of the list is counted
  /// from here.
  std::optional<time_point> ConfirmedAt;
};

/// Updates \p Directory from \p Listed, which was read at \p Now in \p Epoch of
/// the platform's store. Entries that are not listed are removed at once. After
/// a platform outage, or in a new epoch, they are kept for a grace period
/// instead, in which live servers whose entries expired or were lost register
/// again. Entries older than what is known of the same start of a server have
/// no effect, nor have those of servers that were removed in an earlier epoch.
/// \returns whether the backend servers
/// changed; a different remaining warm-up time alone is no change.
bool mergePlatformList(backend_directory &Directory,
                       std::vector<backend_registration> Listed,
                       std::uint64_t Epoch, time_point Now);

/// Makes a read at \p Now count as no read after an outage, however long the
/// pause since the last one: it was this host that was cut off, so the platform
/// dropped no entries of live servers.
void disregardPause(backend_directory &Directory, time_point Now);

/// Records that another host holds the same list, read it in \p Epoch and had
/// no removal pending at \p ConfirmedAt. Cancels the removals that are pending
/// here.
void confirmByPeer(backend_directory &Directory, std::uint64_t Epoch,
                   time_point ConfirmedAt);

/// Replaces the list with that of another host, which had read it in \p Epoch
/// and had no removal pending at \p ConfirmedAt. Cancels the removals that are
/// pending here. \returns whether the backend servers changed, as for
/// mergePlatformList().
bool replaceWithPeerList(backend_directory &Directory,
                         std::vector<backend_registration> Listed,
                         std::uint64_t Epoch, time_point ConfirmedAt);

} // namespace coriandertray
