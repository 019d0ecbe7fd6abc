/// \file
/// Operators' commands on manifests: validate, apply, diff and history.
#pragma once

#include "utils/address.h"
#include "utils/process.h"

#include <string>

namespace coriandertray {

/// Checks the manifest at \p Path and prints every fault.
exit_code validateManifest(const std::string &Path);

struct apply_options {
  std::string Path;
  socket_address Platform;
  std::string Author;
  /// The version that the change was made for; -1 means whatever is there.
  std::int64_t ExpectedVersion = -1;
  bool operator==(const apply_options &) const = default;
};

/// Puts a manifest in force. Prints the new version, or the conflict with the
/// winner's version.
exit_code applyManifest(const apply_options &Options);

/// Prints what the manifest at \p Path would change.
exit_code diffManifest(const std::string &Path, const socket_address &Platform);

/// Prints the accepted versions, the newest first.
exit_code printHistory(const socket_address &Platform);

} // namespace coriandertray
