/// \file
/// The table that agents replicate among each other by anti-entropy. For each
/// key the entry with the highest version wins, regardless of the order in
/// which entries arrive and of the agents that they come from.
///
/// Not thread-safe.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// A key with its payload, and the version of that payload.
struct versioned_entry {
  std::string Key;
  std::uint64_t Version = 0;
  std::vector<std::uint8_t> Payload;
  auto operator<=>(const versioned_entry &) const = default;
};

/// The key and version of an entry, without its payload.
struct entry_version {
  std::string Key;
  std::uint64_t Version = 0;
  auto operator<=>(const entry_version &) const = default;
};

/// A map from keys to entries. put() never lowers the version of a key.
class versioned_table {
public:
  /// Stores \p Entry if it is newer than the entry held under its key. Of two
  /// entries with the same version, the one with the lexicographically greater
  /// payload wins, so that hosts that receive both keep the same one.
  /// \returns whether \p Entry was stored.
  bool put(const versioned_entry &Entry);

  /// \returns the entry under \p Key, or null.
  [[nodiscard]] const versioned_entry *find(std::string_view Key) const;

  /// \returns the keys and versions of all entries, sorted by key.
  [[nodiscard]] std::vector<entry_version> versions() const;

  /// \returns the entries that a peer with \p PeerVersions lacks or holds in an
  /// older version.
  [[nodiscard]] std::vector<versioned_entry>
  entriesNewerThan(const std::vector<entry_version> &PeerVersions) const;

  /// \returns the keys of \p PeerVersions that this table lacks or holds in an
  /// older version.
  [[nodiscard]] std::vector<std::string>
  keysOlderThan(const std::vector<entry_version> &PeerVersions) const;

  /// Removes \p Key, if present. No tombstone is kept: a later put() accepts
  /// any version.
  void erase(std::string_view Key);

  /// \returns a hash of all keys and versions, which is equal for tables with
  /// the same keys and versions. Payloads are not included.
  [[nodiscard]] std::uint64_t versionsHash() const;

private:
  std::map<std::string, versioned_entry, std::less<>> Entries;
};

} // namespace coriandertray
