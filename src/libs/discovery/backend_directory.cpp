#include "discovery/backend_directory.h"

#include <algorithm>
#include <ranges>

namespace coriandertray {

namespace {

// Without an answer for this long, the platform may have dropped entries of
// servers that could not reach it.
constexpr duration OutageAfter = milliseconds(1600);
// How long lapsed entries may take to come back after an outage.
constexpr duration ReturnGrace = milliseconds(2000);

bool sameBackend(const backend_registration &Left,
                 const backend_registration &Right) {
  backend_registration Copy = Left;
  Copy.WarmUp = Right.WarmUp;
  const bool SameWarmth =
      (Left.WarmUp > milliseconds(0)) == (Right.WarmUp > milliseconds(0));
  return Copy == Right && SameWarmth;
}

bool isListed(const std::vector<backend_registration> &Listed,
              const std::string &Name) {
  return std::ranges::find(Listed, Name, &backend_registration::Name) !=
         Listed.end();
}

bool replaceList(backend_directory &Directory,
                 std::vector<backend_registration> Listed) {
  std::ranges::sort(Listed, {}, &backend_registration::Name);
  const bool Same = std::ranges::equal(Directory.Backends, Listed, sameBackend);
  Directory.Backends = std::move(Listed);
  return !Same;
}

} // namespace

bool takeList(backend_directory &Directory,
              std::vector<backend_registration> Listed, time_point Now) {
  const bool AfterOutage =
      Directory.ReadAt && Now - *Directory.ReadAt > OutageAfter;
  Directory.ReadAt = Now;
  std::vector<backend_registration> Kept;
  for (const backend_registration &Known : Directory.Backends) {
    if (isListed(Listed, Known.Name))
      continue;
    if (AfterOutage)
      Directory.Missing.emplace(Known.Name, Now + ReturnGrace);
    const auto Grace = Directory.Missing.find(Known.Name);
    if (Grace != Directory.Missing.end() && Now < Grace->second)
      Kept.push_back(Known);
  }
  std::erase_if(Directory.Missing, [&](const auto &Entry) {
    return isListed(Listed, Entry.first) || Now >= Entry.second;
  });
  if (Directory.Missing.empty())
    Directory.SettledAt = Now;
  Listed.insert(Listed.end(), Kept.begin(), Kept.end());
  return replaceList(Directory, std::move(Listed));
}

bool takeSettledList(backend_directory &Directory,
                     std::vector<backend_registration> Listed,
                     time_point SettledAt) {
  Directory.ReadAt = std::max(Directory.ReadAt.value_or(SettledAt), SettledAt);
  Directory.SettledAt = SettledAt;
  Directory.Missing.clear();
  return replaceList(Directory, std::move(Listed));
}

} // namespace coriandertray
