/// \file
/// Reading and checking manifests: every fault at once, nothing in part.
#pragma once

#include "manifest/manifest.h"
#include "utils/error.h"
#include "utils/json.h"

#include <string_view>
#include <vector>

namespace coriandertray {

/// One fault of a manifest.
struct manifest_error {
  /// Where: a JSON pointer (RFC 6901).
  std::string Pointer;
  error_code Code;
  /// One sentence for a person.
  std::string Message;
  bool operator==(const manifest_error &) const = default;
};

using manifest_result = tl::expected<manifest, std::vector<manifest_error>>;

/// Reads and checks \p Text. \returns the manifest, or all of its faults in
/// the order of the text.
[[nodiscard]] manifest_result readManifest(std::string_view Text);

/// Reads and checks an already parsed manifest.
[[nodiscard]] manifest_result readManifest(const json::value &Value);

} // namespace coriandertray
