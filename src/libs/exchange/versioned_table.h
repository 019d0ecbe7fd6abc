/// \file
/// What agents pass on to each other: entries of which the highest version
/// wins, wherever and in whatever order they arrive.
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

struct versioned_entry {
  std::string Key;
  std::uint64_t Version = 0;
  std::vector<std::uint8_t> Payload;
  auto operator<=>(const versioned_entry &) const = default;
};

struct entry_version {
  std::string Key;
  std::uint64_t Version = 0;
  auto operator<=>(const entry_version &) const = default;
};

/// A map whose versions never go down.
class versioned_table {
public:
  /// Takes \p Entry if it is newer than what is held under its key. Of two
  /// entries with the same version the one with the greater payload wins, so
  /// that all hosts settle on the same one. \returns whether it was taken.
  bool put(const versioned_entry &Entry);

  /// \returns the entry under \p Key, or null.
  [[nodiscard]] const versioned_entry *find(std::string_view Key) const;

  /// \returns the keys and versions held, in order.
  [[nodiscard]] std::vector<entry_version> versions() const;

  /// \returns the entries that a holder of \p PeerVersions lacks or has older.
  [[nodiscard]] std::vector<versioned_entry>
  entriesNewerThan(const std::vector<entry_version> &PeerVersions) const;

  /// \returns the keys of \p PeerVersions that are lacking here or older.
  [[nodiscard]] std::vector<std::string>
  keysOlderThan(const std::vector<entry_version> &PeerVersions) const;

  /// Drops \p Key.
  void erase(std::string_view Key);

  /// \returns a hash that is equal for equal keys and versions.
  [[nodiscard]] std::uint64_t versionsHash() const;

private:
  std::map<std::string, versioned_entry, std::less<>> Entries;
};

} // namespace coriandertray
