/// \file
/// Recent versions of the list of backend servers. A host that has one of them
/// is sent only the changes since that version.
#pragma once

#include "discovery/backend_registration.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// The difference between two versions of the list.
struct backend_list_change {
  /// The version that the change applies to; zero if Changed holds the complete
  /// list.
  std::uint64_t BaseVersion = 0;
  std::uint64_t Version = 0;
  /// Servers that are new or whose registration differs.
  std::vector<backend_registration> Changed;
  /// The names of the servers that are no longer listed.
  std::vector<std::string> Removed;
  bool operator==(const backend_list_change &) const = default;
};

/// One version of the list, sorted by name.
struct backend_list_version {
  std::uint64_t Version = 0;
  std::vector<backend_registration> Backends;
  bool operator==(const backend_list_version &) const = default;
};

/// Plain state; not thread-safe.
struct backend_list_history {
  /// Oldest first.
  std::deque<backend_list_version> Versions;
};

/// \returns a hash of \p Backends that serves as its version, equal for equal
/// lists on all hosts and never zero. Of a warm-up, only whether it is over
/// counts, not the time that remains.
[[nodiscard]] std::uint64_t
listVersion(const std::vector<backend_registration> &Backends);

/// Adds \p Backends, sorted by name, as the newest version. Drops the oldest
/// version if there are too many.
void addVersion(backend_list_history &History,
                const std::vector<backend_registration> &Backends);

/// \returns the newest version, or zero if there is none.
[[nodiscard]] std::uint64_t newestVersion(const backend_list_history &History);

/// \returns the change from \p BaseVersion to the newest version, or the
/// complete newest list if \p BaseVersion is not in the history. \pre \p
/// History is not empty.
[[nodiscard]] backend_list_change
changeSince(const backend_list_history &History, std::uint64_t BaseVersion);

/// \returns the list after \p Change, or nothing if \p Change applies to
/// another version than the newest of \p History.
[[nodiscard]] std::optional<std::vector<backend_registration>>
applyChange(const backend_list_history &History,
            const backend_list_change &Change);

} // namespace coriandertray
