/// \file
/// What would change from one manifest to the next.
#pragma once

#include "manifest/manifest.h"

#include <string>
#include <vector>

namespace coriandertray {

enum class change_kind { Added, Removed, Changed };

/// One difference between two manifests.
struct manifest_change {
  change_kind Kind;
  /// What differs: a path such as "service/loopdocs/backend_server/l1".
  std::string Path;
  auto operator<=>(const manifest_change &) const = default;
};

/// \returns the differences, in the order of their subjects.
[[nodiscard]] std::vector<manifest_change>
compareManifests(const manifest &Before, const manifest &After);

/// \returns "+", "-" or "~".
[[nodiscard]] char changeSign(change_kind Kind);

} // namespace coriandertray
