/// \file
/// How a manifest is stored in the platform. Each version of a service and of a
/// batch of accounts is an immutable object, called a part. A root object lists
/// the parts in use; updating it puts the whole manifest into force at once.
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
/// The prefix of the platform keys of all parts.
inline constexpr std::string_view ConfigPartPrefix = "config/part/";
/// The maximum number of accounts in one part.
constexpr std::size_t MaxAccountsPerPart = 5000;

/// An immutable object that holds one service or one batch of accounts.
struct config_part {
  /// The platform key; contains a hash of Value.
  std::string Key;
  /// The content, as JSON.
  std::string Value;
  bool operator==(const config_part &) const = default;
};

/// The root object: the manifest in force, and who applied it.
struct config_root {
  /// Increases by one with each accepted change.
  std::uint64_t Version = 0;
  /// Identifies one apply. If the response to the update is lost, reading the
  /// root back shows whether this apply was accepted.
  std::string ApplyId;
  std::string Author;
  /// Seconds since 1970-01-01 UTC.
  std::int64_t AppliedAtSeconds = 0;
  /// The platform keys of the service parts, in the order of the manifest.
  std::vector<std::string> ServiceKeys;
  /// The platform keys of the account parts, in the order of the manifest.
  std::vector<std::string> AccountKeys;
  /// The manifest without its services and accounts, as JSON.
  std::string CommonFieldsJson;
  bool operator==(const config_root &) const = default;
};

/// \returns the parts of \p Manifest. Parts with equal content have equal keys.
[[nodiscard]] std::vector<config_part> splitManifest(const manifest &Manifest);

/// \returns the platform keys of all parts that \p Root lists.
[[nodiscard]] std::vector<std::string> configPartKeys(const config_root &Root);

/// \returns the root of \p Manifest. The caller sets its Version, ApplyId,
/// Author and AppliedAtSeconds.
[[nodiscard]] config_root makeConfigRoot(const manifest &Manifest);

/// \returns \p Root as JSON.
[[nodiscard]] std::string serializeConfigRoot(const config_root &Root);

/// Parses the result of serializeConfigRoot(). Fails with AnswerMalformed.
[[nodiscard]] result<config_root> parseConfigRoot(std::string_view Text);

/// Assembles a manifest from its root and the contents of its parts. Fails with
/// ObjectMissing when a part is not in \p PartsByKey, and with AnswerMalformed
/// when the root or a part is not valid JSON or the manifest is invalid.
[[nodiscard]] result<manifest>
joinManifest(const config_root &Root,
             const std::map<std::string, std::string> &PartsByKey);

/// \returns the size in bytes of the serialized root of \p Manifest.
[[nodiscard]] std::size_t configRootBytes(const manifest &Manifest);

} // namespace coriandertray
