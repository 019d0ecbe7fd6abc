#include "discovery/backend_directory.h"

#include <algorithm>
#include <ranges>

namespace coriandertray {

namespace {

// The platform drops an entry that was not renewed for three of the intervals,
// of 1.5 s each, at which servers renew theirs. A live server renewed its entry
// about one interval before an outage of the platform began, so only an outage
// of nearly two intervals can cost it its entry.
constexpr duration OutageThreshold = milliseconds(2500);
// How long servers may take to register again after an outage.
constexpr duration ReregistrationGrace = milliseconds(2000);
// A restored store lists the servers of a copy that is seconds old.
constexpr duration RemovedBackendRetention = seconds(60);

// Ignores how much of a warm-up remains, but not whether it is over.
bool isSameBackend(const backend_registration &Left,
                   const backend_registration &Right) {
  backend_registration Copy = Left;
  Copy.WarmUpRemaining = Right.WarmUpRemaining;
  Copy.Sequence = Right.Sequence;
  const bool SameWarmUpState = (Left.WarmUpRemaining > milliseconds(0)) ==
                               (Right.WarmUpRemaining > milliseconds(0));
  return Copy == Right && SameWarmUpState;
}

void sortByName(std::vector<backend_registration> &Backends) {
  std::ranges::sort(Backends, {}, &backend_registration::Name);
}

// Returns the entry called \p Name in \p Backends, which are sorted, or null.
const backend_registration *
findEntry(const std::vector<backend_registration> &Backends,
          const std::string &Name) {
  const auto Found =
      std::ranges::lower_bound(Backends, Name, {}, &backend_registration::Name);
  return Found != Backends.end() && Found->Name == Name ? &*Found : nullptr;
}

// Returns whether both entries are known to be about the same start of a
// server.
bool isSameStart(std::uint64_t LeftStart, std::uint64_t RightStart) {
  return LeftStart != 0 && LeftStart == RightStart;
}

// Returns whether \p Listed, read in \p Epoch, is the entry of a server that
// was removed in an earlier epoch: the store was restored from an older copy.
bool isRestoredRemoval(const backend_directory &Directory,
                       const backend_registration &Listed,
                       std::uint64_t Epoch) {
  const auto Found = Directory.Removed.find(Listed.Name);
  if (Found == Directory.Removed.end() || Found->second.Epoch >= Epoch)
    return false;
  return isSameStart(Listed.StartedAtUnixMs, Found->second.StartedAtUnixMs) &&
         Listed.Sequence <= Found->second.Sequence;
}

// Replaces \p Listed by what is known of the same start of the server, if that
// was reported later.
void keepNewerEntry(const backend_directory &Directory,
                    backend_registration &Listed) {
  const backend_registration *Known =
      findEntry(Directory.Backends, Listed.Name);
  if (Known && isSameStart(Listed.StartedAtUnixMs, Known->StartedAtUnixMs) &&
      Listed.Sequence < Known->Sequence)
    Listed = *Known;
}

void noteRemovals(backend_directory &Directory,
                  const std::vector<backend_registration> &Next,
                  time_point Now) {
  std::erase_if(Directory.Removed, [&](const auto &Entry) {
    return findEntry(Next, Entry.first) ||
           Now - Entry.second.RemovedAt > RemovedBackendRetention;
  });
  for (const backend_registration &Known : Directory.Backends)
    if (!findEntry(Next, Known.Name))
      Directory.Removed[Known.Name] = {Known.StartedAtUnixMs, Known.Sequence,
                                       Directory.Epoch, Now};
}

bool replaceList(backend_directory &Directory,
                 std::vector<backend_registration> Listed, time_point Now) {
  sortByName(Listed);
  noteRemovals(Directory, Listed, Now);
  const bool IsUnchanged =
      std::ranges::equal(Directory.Backends, Listed, isSameBackend);
  Directory.Backends = std::move(Listed);
  return !IsUnchanged;
}

} // namespace

bool mergePlatformList(backend_directory &Directory,
                       std::vector<backend_registration> Listed,
                       std::uint64_t Epoch, time_point Now) {
  const bool AfterOutage =
      Directory.ReadAt && Now - *Directory.ReadAt > OutageThreshold;
  const bool Restored = Directory.Epoch != 0 && Epoch > Directory.Epoch;
  Directory.ReadAt = Now;
  Directory.Epoch = Epoch;
  std::erase_if(Listed, [&](const backend_registration &Entry) {
    return isRestoredRemoval(Directory, Entry, Epoch);
  });
  for (backend_registration &Entry : Listed)
    keepNewerEntry(Directory, Entry);
  sortByName(Listed);
  std::vector<backend_registration> Kept;
  for (const backend_registration &Known : Directory.Backends) {
    if (findEntry(Listed, Known.Name))
      continue;
    if (AfterOutage || Restored)
      Directory.PendingRemovals.insert_or_assign(Known.Name,
                                                 Now + ReregistrationGrace);
    const auto Removal = Directory.PendingRemovals.find(Known.Name);
    if (Removal != Directory.PendingRemovals.end() && Now < Removal->second)
      Kept.push_back(Known);
  }
  std::erase_if(Directory.PendingRemovals, [&](const auto &Entry) {
    return findEntry(Listed, Entry.first) || Now >= Entry.second;
  });
  if (Directory.PendingRemovals.empty())
    Directory.ConfirmedAt = Now;
  Listed.insert(Listed.end(), Kept.begin(), Kept.end());
  return replaceList(Directory, std::move(Listed), Now);
}

void disregardPause(backend_directory &Directory, time_point Now) {
  if (Directory.ReadAt)
    Directory.ReadAt = std::max(*Directory.ReadAt, Now);
}

void confirmByPeer(backend_directory &Directory, std::uint64_t Epoch,
                   time_point ConfirmedAt) {
  Directory.ReadAt =
      std::max(Directory.ReadAt.value_or(ConfirmedAt), ConfirmedAt);
  Directory.ConfirmedAt = ConfirmedAt;
  Directory.Epoch = std::max(Directory.Epoch, Epoch);
  Directory.PendingRemovals.clear();
}

bool replaceWithPeerList(backend_directory &Directory,
                         std::vector<backend_registration> Listed,
                         std::uint64_t Epoch, time_point ConfirmedAt) {
  confirmByPeer(Directory, Epoch, ConfirmedAt);
  return replaceList(Directory, std::move(Listed), ConfirmedAt);
}

} // namespace coriandertray
