/// \file
/// Parses and validates manifests. All errors are reported at once, and an
/// invalid manifest is rejected as a whole.
#pragma once

#include "manifest/manifest.h"
#include "utils/error.h"
#include "utils/json.h"

#include <string_view>
#include <vector>

namespace coriandertray {

/// A validation error in a manifest.
struct manifest_error {
  /// The location of the error as a JSON pointer (RFC 6901).
  std::string Pointer;
  error_code Code;
  /// One sentence for the operator.
  std::string Message;
  bool operator==(const manifest_error &) const = default;
};

using manifest_result = tl::expected<manifest, std::vector<manifest_error>>;

/// Parses and validates \p Text. \returns the manifest, or all errors in it in
/// the order in which the checks find them.
[[nodiscard]] manifest_result readManifest(std::string_view Text);

/// Validates a manifest that is already parsed as JSON.
[[nodiscard]] manifest_result readManifest(const json::value &Value);

} // namespace coriandertray
