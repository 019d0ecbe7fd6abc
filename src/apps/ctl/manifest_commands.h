/// \file
/// Commands on manifests: validate, apply, diff and history.
#pragma once

#include "utils/address.h"
#include "utils/process.h"

#include <string>

namespace coriandertray {

/// Validates the manifest at \p Path and prints every fault.
exit_code validateManifest(const std::string &Path);

struct apply_options {
  std::string Path;
  socket_address Platform;
  std::string Author;
  /// The version that must be in force for the change to be applied; -1 accepts
  /// any version.
  std::int64_t ExpectedVersion = -1;
  bool operator==(const apply_options &) const = default;
};

/// Puts a manifest in force by a conditional update. Prints the new version or,
/// after a conflict, the version that is in force and its author.
exit_code applyManifest(const apply_options &Options);

/// Prints the differences between the manifest in force and the one at \p Path.
exit_code diffManifest(const std::string &Path, const socket_address &Platform);

/// Prints the accepted versions, newest first.
exit_code printHistory(const socket_address &Platform);

} // namespace coriandertray
