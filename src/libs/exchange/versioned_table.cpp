#include "exchange/versioned_table.h"

#include "utils/hash.h"

#include <algorithm>

namespace coriandertray {

bool versioned_table::put(const versioned_entry &Entry) {
  const auto Found = Entries.find(Entry.Key);
  if (Found == Entries.end()) {
    Entries.emplace(Entry.Key, Entry);
    return true;
  }
  const bool IsNewer = std::pair(Entry.Version, Entry.Payload) >
                       std::pair(Found->second.Version, Found->second.Payload);
  if (IsNewer)
    Found->second = Entry;
  return IsNewer;
}

const versioned_entry *versioned_table::find(std::string_view Key) const {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

std::vector<entry_version> versioned_table::versions() const {
  std::vector<entry_version> Versions;
  for (const auto &[Key, Entry] : Entries)
    Versions.push_back({Key, Entry.Version});
  return Versions;
}

std::vector<versioned_entry> versioned_table::entriesNewerThan(
    const std::vector<entry_version> &PeerVersions) const {
  std::map<std::string_view, std::uint64_t> PeerVersionByKey;
  for (const entry_version &Entry : PeerVersions)
    PeerVersionByKey.emplace(Entry.Key, Entry.Version);
  std::vector<versioned_entry> Newer;
  for (const auto &[Key, Entry] : Entries) {
    const auto Found = PeerVersionByKey.find(Key);
    if (Found == PeerVersionByKey.end() || Found->second < Entry.Version)
      Newer.push_back(Entry);
  }
  return Newer;
}

std::vector<std::string> versioned_table::keysOlderThan(
    const std::vector<entry_version> &PeerVersions) const {
  std::vector<std::string> Keys;
  for (const entry_version &Entry : PeerVersions) {
    const versioned_entry *Local = find(Entry.Key);
    if (!Local || Local->Version < Entry.Version)
      Keys.push_back(Entry.Key);
  }
  return Keys;
}

void versioned_table::erase(std::string_view Key) {
  const auto Found = Entries.find(Key);
  if (Found != Entries.end())
    Entries.erase(Found);
}

std::uint64_t versioned_table::versionsHash() const {
  std::uint64_t Sum = 0;
  for (const auto &[Key, Entry] : Entries)
    Sum += stableHash(Key, Entry.Version);
  return Sum;
}

} // namespace coriandertray
