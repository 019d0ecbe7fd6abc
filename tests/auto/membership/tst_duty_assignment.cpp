#include "membership/duty_assignment.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace coriandertray;

namespace {

std::set<std::string> makeDuties(int Count) {
  std::set<std::string> Duties;
  for (int Number = 0; Number < Count; ++Number)
    Duties.insert("duty-" + std::to_string(Number));
  return Duties;
}

std::vector<std::string> makeHosts(int Count) {
  std::vector<std::string> Hosts;
  for (int Number = 0; Number < Count; ++Number)
    Hosts.push_back("host-" + std::to_string(Number));
  return Hosts;
}

} // namespace

TEST_CASE("no host is first candidate for more than its even share of duties") {
  const bool Holds = rc::check("for any numbers of duties and hosts", [] {
    const int DutyCount = *rc::gen::inRange(1, 40);
    const int HostCount = *rc::gen::inRange(1, 40);
    const duty_assignment Assignment =
        assignDuties(makeDuties(DutyCount), makeHosts(HostCount), 4);
    std::map<std::string, int> PrimariesPerHost;
    RC_ASSERT(Assignment.Candidates.size() ==
              static_cast<std::size_t>(DutyCount));
    for (const auto &[Duty, Candidates] : Assignment.Candidates) {
      RC_ASSERT(Candidates.size() ==
                static_cast<std::size_t>(std::min(4, HostCount)));
      RC_ASSERT(
          std::set<std::string>(Candidates.begin(), Candidates.end()).size() ==
          Candidates.size());
      ++PrimariesPerHost[Candidates.front()];
    }
    const int Share = (DutyCount + HostCount - 1) / HostCount;
    for (const auto &[Host, Count] : PrimariesPerHost)
      RC_ASSERT(Count <= Share);
  });
  CHECK(Holds);
}

TEST_CASE("few duties of the remaining hosts move when a host leaves") {
  constexpr int DutyCount = 15;
  constexpr int HostCount = 6;
  const std::vector<std::string> Hosts = makeHosts(HostCount);
  const duty_assignment Before = assignDuties(makeDuties(DutyCount), Hosts, 4);
  int Moved = 0;
  for (const std::string &Leaver : Hosts) {
    std::vector<std::string> Remaining = Hosts;
    std::erase(Remaining, Leaver);
    const duty_assignment After =
        assignDuties(makeDuties(DutyCount), Remaining, 4);
    for (const auto &[Duty, Candidates] : Before.Candidates)
      Moved += Candidates.front() != Leaver &&
                       Candidates.front() != candidatesFor(After, Duty).front()
                   ? 1
                   : 0;
  }
  // Apart from the duties of the host that left, at most a quarter may move.
  CHECK(Moved <= DutyCount * HostCount / 4);
}

TEST_CASE("a duty that isn't assigned has no candidates") {
  CHECK(candidatesFor(assignDuties(makeDuties(2), {}, 4), "duty-0").empty());
  CHECK(
      candidatesFor(assignDuties(makeDuties(2), makeHosts(3), 4), "x").empty());
}

// Guards against one host that allocates for most pools, because other hosts
// have many duties of another kind.
TEST_CASE("each group of duties is spread evenly by itself") {
  constexpr std::size_t HostCount = 6;
  constexpr std::size_t PoolCount = 11;
  std::vector<std::string> Hosts;
  for (std::size_t Number = 0; Number < HostCount; ++Number)
    Hosts.push_back("host-" + std::to_string(Number));
  duty_groups Groups;
  for (std::size_t Number = 0; Number < PoolCount; ++Number)
    Groups["slots"].insert("slots/" + std::to_string(Number));
  for (int Number = 0; Number < 16; ++Number)
    Groups["quota"].insert("quota/" + std::to_string(Number));
  const duty_assignment Assignment = assignDutyGroups(Groups, Hosts, 3);
  std::map<std::string, std::size_t> Pools;
  for (const std::string &Duty : Groups["slots"])
    ++Pools[candidatesFor(Assignment, Duty).front()];
  for (const auto &[Host, Count] : Pools)
    CHECK(Count <= (PoolCount + HostCount - 1) / HostCount);
  CHECK(Assignment.Candidates.size() == PoolCount + 16);
}
