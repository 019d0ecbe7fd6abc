/// \file
/// The last versions of the list of backend servers, so that a host that has
/// one of them is only told what changed since.
#pragma once

#include "discovery/backend_registration.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// From one version of a list to another.
struct backend_list_change {
  /// The version that it changes; zero if it holds the whole list.
  std::uint64_t BaseVersion = 0;
  std::uint64_t Version = 0;
  /// Servers that are new, or registered otherwise than before.
  std::vector<backend_registration> Changed;
  std::vector<std::string> Removed;
  bool operator==(const backend_list_change &) const = default;
};

/// One version of the list, in order of the names.
struct backend_list_version {
  std::uint64_t Version = 0;
  std::vector<backend_registration> Backends;
  bool operator==(const backend_list_version &) const = default;
};

/// Plain state; not thread-safe.
struct backend_list_history {
  /// The newest last.
  std::deque<backend_list_version> Versions;
};

/// \returns the version of \p Backends: equal lists have equal ones on all
/// hosts; what is left of a warm-up doesn't count, only whether there is.
[[nodiscard]] std::uint64_t
listVersion(const std::vector<backend_registration> &Backends);

/// Adds \p Backends, in order of the names, as the newest version.
void addVersion(backend_list_history &History,
                const std::vector<backend_registration> &Backends);

/// \returns the newest version, zero before any.
[[nodiscard]] std::uint64_t newestVersion(const backend_list_history &History);

/// \returns how the newest version differs from \p Base, or the whole of it if
/// \p Base isn't remembered. \pre there is a version.
[[nodiscard]] backend_list_change
changeSince(const backend_list_history &History, std::uint64_t BaseVersion);

/// \returns the list after \p Change, or nothing if \p Change is based on
/// another version than the newest of \p History.
[[nodiscard]] std::optional<std::vector<backend_registration>>
applyChange(const backend_list_history &History,
            const backend_list_change &Change);

} // namespace coriandertray
