/// \file
/// Differences between two manifests.
#pragma once

#include "manifest/manifest.h"

#include <string>
#include <vector>

namespace coriandertray {

enum class change_kind { Added, Removed, Changed };

/// One difference between two manifests.
struct manifest_change {
  change_kind Kind;
  /// The path of the element that differs, such as
  /// "service/loopdocs/backend_server/l1".
  std::string Path;
  auto operator<=>(const manifest_change &) const = default;
};

/// \returns the differences, sorted by path.
[[nodiscard]] std::vector<manifest_change>
compareManifests(const manifest &Before, const manifest &After);

/// \returns '+' for Added, '-' for Removed and '~' for Changed.
[[nodiscard]] char changeSign(change_kind Kind);

} // namespace coriandertray
