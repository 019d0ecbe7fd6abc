/// \file
/// How a manifest lies in the platform: one immutable object for each version
/// of a service and of a batch of accounts, under one root object whose update
/// accepts the whole.
#pragma once

#include "manifest/manifest.h"
#include "manifest/manifest_reader.h"
#include "utils/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriandertray {

/// The platform key of the root object.
inline constexpr std::string_view ConfigRootKey = "config/root";
/// The prefix of the platform keys of service and account objects.
inline constexpr std::string_view ConfigPartPrefix = "config/part/";
/// The most accounts in one object.
constexpr std::size_t MaxAccountsPerPart = 5000;

/// One object to be stored.
struct config_part {
  std::string Key;
  std::string Value;
  bool operator==(const config_part &) const = default;
};

/// The root object: what is in force, and who made it so.
struct config_root {
  /// Grows by one with each accepted change.
  std::uint64_t Version = 0;
  /// Names one apply, so that its lost answer can be settled by reading back.
  std::string ApplyId;
  std::string Author;
  /// Seconds since 1970-01-01 UTC.
  std::int64_t AppliedAtSeconds = 0;
  /// The platform keys of the service objects, in the manifest's order.
  std::vector<std::string> ServiceKeys;
  /// The platform keys of the account objects, in the manifest's order.
  std::vector<std::string> AccountKeys;
  /// The manifest without its services and accounts, as JSON.
  std::string CommonFieldsJson;
  bool operator==(const config_root &) const = default;
};

/// \returns the objects of \p Manifest but the root; equal content gives equal
/// keys.
[[nodiscard]] std::vector<config_part> splitManifest(const manifest &Manifest);

/// \returns the keys of all objects that \p Root needs.
[[nodiscard]] std::vector<std::string> configPartKeys(const config_root &Root);

/// \returns the root of \p Manifest; the caller fills in version and origin.
[[nodiscard]] config_root makeConfigRoot(const manifest &Manifest);

[[nodiscard]] std::string serializeConfigRoot(const config_root &Root);

/// Reads a root object. Fails with AnswerMalformed.
[[nodiscard]] result<config_root> parseConfigRoot(std::string_view Text);

/// Puts a manifest together. Fails with ObjectMissing when an object is
/// not in \p PartsByKey, with AnswerMalformed when the whole does not check.
[[nodiscard]] result<manifest>
joinManifest(const config_root &Root,
             const std::map<std::string, std::string> &PartsByKey);

/// \returns the size in bytes of the root object of \p Manifest.
[[nodiscard]] std::size_t configRootBytes(const manifest &Manifest);

} // namespace coriandertray
