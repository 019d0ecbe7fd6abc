#include "discovery/backend_list_history.h"

#include "utils/hash.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr std::size_t MaxVersions = 16;

std::uint64_t entryHash(const backend_registration &Backend) {
  std::uint64_t Hash = stableHash(Backend.Name, 1);
  Hash = stableHash(Backend.Service, Hash);
  Hash = stableHash(toString(Backend.Address), Hash);
  Hash = stableHash(Backend.Zone, Hash);
  const bool IsWarm = Backend.WarmUpRemaining == milliseconds(0);
  return stableHash(std::to_string(Backend.StartedAtUnixMs) + "/" +
                        std::to_string(Backend.Slots) +
                        (Backend.Draining ? "d" : "r") + (IsWarm ? "w" : "c"),
                    Hash);
}

bool isSameEntry(const backend_registration &Left,
                 const backend_registration &Right) {
  return Left.Name == Right.Name && entryHash(Left) == entryHash(Right);
}

const backend_registration *
findEntry(const std::vector<backend_registration> &Backends,
          const std::string &Name) {
  const auto Found =
      std::ranges::lower_bound(Backends, Name, {}, &backend_registration::Name);
  return Found != Backends.end() && Found->Name == Name ? &*Found : nullptr;
}

} // namespace

std::uint64_t listVersion(const std::vector<backend_registration> &Backends) {
  // A sum does not depend on the order of the entries. Zero is reserved for "no
  // version".
  std::uint64_t Sum = 1;
  for (const backend_registration &Backend : Backends)
    Sum += entryHash(Backend);
  return Sum == 0 ? 1 : Sum;
}

void addVersion(backend_list_history &History,
                const std::vector<backend_registration> &Backends) {
  const std::uint64_t Version = listVersion(Backends);
  std::erase_if(History.Versions, [Version](const backend_list_version &Known) {
    return Known.Version == Version;
  });
  History.Versions.push_back({Version, Backends});
  if (History.Versions.size() > MaxVersions)
    History.Versions.pop_front();
}

std::uint64_t newestVersion(const backend_list_history &History) {
  return History.Versions.empty() ? 0 : History.Versions.back().Version;
}

backend_list_change changeSince(const backend_list_history &History,
                                std::uint64_t BaseVersion) {
  const backend_list_version &Newest = History.Versions.back();
  const auto Known = std::ranges::find(History.Versions, BaseVersion,
                                       &backend_list_version::Version);
  if (Known == History.Versions.end())
    return {0, Newest.Version, Newest.Backends, {}};
  backend_list_change Change;
  Change.BaseVersion = BaseVersion;
  Change.Version = Newest.Version;
  for (const backend_registration &Backend : Newest.Backends) {
    const auto *Before = findEntry(Known->Backends, Backend.Name);
    if (!Before || !isSameEntry(*Before, Backend))
      Change.Changed.push_back(Backend);
  }
  for (const backend_registration &Backend : Known->Backends)
    if (!findEntry(Newest.Backends, Backend.Name))
      Change.Removed.push_back(Backend.Name);
  return Change;
}

std::optional<std::vector<backend_registration>>
applyChange(const backend_list_history &History,
            const backend_list_change &Change) {
  if (Change.BaseVersion == 0)
    return Change.Changed;
  if (Change.BaseVersion != newestVersion(History))
    return std::nullopt;
  std::vector<backend_registration> Backends = History.Versions.back().Backends;
  std::erase_if(Backends, [&Change](const backend_registration &Backend) {
    const bool IsChanged =
        std::ranges::find(Change.Changed, Backend.Name,
                          &backend_registration::Name) != Change.Changed.end();
    return IsChanged || std::ranges::find(Change.Removed, Backend.Name) !=
                            Change.Removed.end();
  });
  Backends.insert(Backends.end(), Change.Changed.begin(), Change.Changed.end());
  std::ranges::sort(Backends, {}, &backend_registration::Name);
  return Backends;
}

} // namespace coriandertray
