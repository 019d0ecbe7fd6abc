#include "discovery/member_directory.h"

#include <algorithm>

namespace coriandertray {

namespace {

// How long the hosts of a fleet take to notice that they are not listed, to
// register and to read the list again.
constexpr duration UnlistedGrace = seconds(6);

bool isListed(const std::vector<fleet_member> &Listed,
              const std::string &Host) {
  return std::ranges::find(Listed, Host, &fleet_member::Host) != Listed.end();
}

} // namespace

void replaceMembers(member_directory &Directory,
                    std::vector<fleet_member> Listed, time_point Now) {
  for (const fleet_member &Known : Directory.Listed)
    if (!isListed(Listed, Known.Host))
      Directory.Unlisted[Known.Host] = {Known, Now + UnlistedGrace};
  std::erase_if(Directory.Unlisted, [&](const auto &Entry) {
    return isListed(Listed, Entry.first) || Now >= Entry.second.KeptUntil;
  });
  std::ranges::sort(Listed);
  Directory.Listed = std::move(Listed);
}

std::vector<fleet_member> currentMembers(const member_directory &Directory,
                                         time_point Now) {
  std::vector<fleet_member> Members = Directory.Listed;
  for (const auto &[Host, Unlisted] : Directory.Unlisted)
    if (Now < Unlisted.KeptUntil)
      Members.push_back(Unlisted.Member);
  std::ranges::sort(Members);
  return Members;
}

} // namespace coriandertray
