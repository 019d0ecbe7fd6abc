#include "membership/view_relays.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace coriandertray;

namespace {

constexpr relay_policy Policy;

struct fleet {
  std::vector<fleet_member> Members;
  std::set<std::string> Eligible;
};

/// Makes a fleet with \p Large eligible and \p Small other hosts in each of the
/// zones "a", "b" and "c".
fleet makeFleet(int Large, int Small) {
  fleet Fleet;
  for (const std::string Zone : {"a", "b", "c"})
    for (int Number = 0; Number < Large + Small; ++Number) {
      const std::string Host = Zone + "-" + std::to_string(Number);
      Fleet.Members.push_back({Host, Zone, {"10.0.0.1", 7540}, 100});
      if (Number < Large)
        Fleet.Eligible.insert(Host);
    }
  return Fleet;
}

std::vector<std::string> relaysOf(const fleet &Fleet,
                                  const fleet_member &Member) {
  return relaysFor(Member, Fleet.Members, Fleet.Eligible, Policy);
}

} // namespace

TEST_CASE("a small fleet has no relays") {
  const fleet Fleet = makeFleet(16, 5);
  for (const fleet_member &Member : Fleet.Members)
    CHECK(relaysOf(Fleet, Member).empty());
}

TEST_CASE("the relays of a host are eligible, in its zone, and get the view "
          "from the reader") {
  for (const auto &[Large, Small] :
       {std::pair(3, 90), std::pair(100, 0), std::pair(1, 60)}) {
    const fleet Fleet = makeFleet(Large, Small);
    std::set<std::string> Relays;
    std::map<std::string, int> Load;
    for (const fleet_member &Member : Fleet.Members) {
      const std::vector<std::string> Sources = relaysOf(Fleet, Member);
      Relays.insert(Sources.begin(), Sources.end());
      if (!Sources.empty())
        ++Load[Sources.front()];
      for (const std::string &Source : Sources) {
        CHECK(Fleet.Eligible.contains(Source));
        CHECK(Source.front() == Member.Host.front());
      }
    }
    for (const fleet_member &Member : Fleet.Members)
      CHECK(relaysOf(Fleet, Member).empty() == Relays.contains(Member.Host));
    const std::size_t ZoneHosts = Fleet.Members.size() / 3;
    const std::size_t RelaysInZone = std::min<std::size_t>(
        Fleet.Eligible.size() / 3,
        (ZoneHosts + Policy.HostsPerRelay - 1) / Policy.HostsPerRelay);
    CHECK(Relays.size() == 3 * RelaysInZone);
    // The load is spread by a hash.
    constexpr double MaxOverMean = 1.6;
    const double Mean =
        static_cast<double>(ZoneHosts) / static_cast<double>(RelaysInZone);
    for (const auto &[Relay, Subscribers] : Load)
      CHECK(Subscribers <= MaxOverMean * Mean);
  }
}

TEST_CASE("a zone without eligible hosts gets the view from the reader") {
  fleet Fleet = makeFleet(3, 90);
  std::erase_if(Fleet.Eligible,
                [](const std::string &Host) { return Host.front() == 'b'; });
  for (const fleet_member &Member : Fleet.Members)
    if (Member.Zone == "b")
      CHECK(relaysOf(Fleet, Member).empty());
}

TEST_CASE("few hosts change their relay when one relay is lost") {
  const fleet Before = makeFleet(4, 90);
  fleet After = Before;
  const std::string Lost = relaysOf(Before, Before.Members.back()).front();
  std::erase_if(After.Members, [&Lost](const fleet_member &Member) {
    return Member.Host == Lost;
  });
  After.Eligible.erase(Lost);
  for (const fleet_member &Member : After.Members) {
    const auto Old = relaysOf(Before, Member);
    const auto New = relaysOf(After, Member);
    if (Member.Zone != Before.Members.back().Zone)
      CHECK(Old == New);
    else if (!Old.empty() && !New.empty() && Old.front() != Lost)
      CHECK((New.front() == Old.front() ||
             std::ranges::find(Old, New.front()) == Old.end()));
  }
}
