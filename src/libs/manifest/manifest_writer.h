/// \file
/// Converts manifests to JSON that readManifest() reads back unchanged.
#pragma once

#include "manifest/manifest.h"
#include "utils/json.h"

#include <span>

namespace coriandertray {

[[nodiscard]] json::object toJson(const service &Service);
[[nodiscard]] json::object toJson(const manifest &Manifest);

/// \returns \p Accounts as the array that a manifest holds.
[[nodiscard]] json::array accountsToJson(std::span<const account> Accounts);

/// \returns the fields of \p Manifest other than its services and accounts.
[[nodiscard]] json::object commonFieldsToJson(const manifest &Manifest);

} // namespace coriandertray
