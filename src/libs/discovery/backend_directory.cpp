#include "discovery/backend_directory.h"

#include <algorithm>
#include <ranges>

namespace coriandertray {

namespace {

// After an outage longer than this, the platform may have dropped the entries
// of live backend servers that could not renew them.
constexpr duration OutageThreshold = milliseconds(1600);
// How long servers may take to register again after an outage.
constexpr duration ReregistrationGrace = milliseconds(2000);

// Ignores how much of a warm-up remains, but not whether it is over.
bool isSameBackend(const backend_registration &Left,
                   const backend_registration &Right) {
  backend_registration Copy = Left;
  Copy.WarmUpRemaining = Right.WarmUpRemaining;
  const bool SameWarmUpState = (Left.WarmUpRemaining > milliseconds(0)) ==
                               (Right.WarmUpRemaining > milliseconds(0));
  return Copy == Right && SameWarmUpState;
}

bool isListed(const std::vector<backend_registration> &Listed,
              const std::string &Name) {
  return std::ranges::find(Listed, Name, &backend_registration::Name) !=
         Listed.end();
}

bool replaceList(backend_directory &Directory,
                 std::vector<backend_registration> Listed) {
  std::ranges::sort(Listed, {}, &backend_registration::Name);
  const bool IsUnchanged =
      std::ranges::equal(Directory.Backends, Listed, isSameBackend);
  Directory.Backends = std::move(Listed);
  return !IsUnchanged;
}

} // namespace

bool mergePlatformList(backend_directory &Directory,
                       std::vector<backend_registration> Listed,
                       time_point Now) {
  const bool AfterOutage =
      Directory.ReadAt && Now - *Directory.ReadAt > OutageThreshold;
  Directory.ReadAt = Now;
  std::vector<backend_registration> Kept;
  for (const backend_registration &Known : Directory.Backends) {
    if (isListed(Listed, Known.Name))
      continue;
    if (AfterOutage)
      Directory.PendingRemovals.emplace(Known.Name, Now + ReregistrationGrace);
    const auto Removal = Directory.PendingRemovals.find(Known.Name);
    if (Removal != Directory.PendingRemovals.end() && Now < Removal->second)
      Kept.push_back(Known);
  }
  std::erase_if(Directory.PendingRemovals, [&](const auto &Entry) {
    return isListed(Listed, Entry.first) || Now >= Entry.second;
  });
  if (Directory.PendingRemovals.empty())
    Directory.ConfirmedAt = Now;
  Listed.insert(Listed.end(), Kept.begin(), Kept.end());
  return replaceList(Directory, std::move(Listed));
}

bool replaceWithPeerList(backend_directory &Directory,
                         std::vector<backend_registration> Listed,
                         time_point ConfirmedAt) {
  Directory.ReadAt =
      std::max(Directory.ReadAt.value_or(ConfirmedAt), ConfirmedAt);
  Directory.ConfirmedAt = ConfirmedAt;
  Directory.PendingRemovals.clear();
  return replaceList(Directory, std::move(Listed));
}

} // namespace coriandertray
