#include "membership/duty_assignment.h"

#include "membership/rendezvous.h"

#include <algorithm>

namespace coriandertray {

namespace {

std::size_t evenShare(std::size_t Duties, std::size_t Hosts) {
  return (Duties + Hosts - 1) / Hosts;
}

} // namespace

duty_assignment assignDuties(const std::set<std::string> &Duties,
                             const std::vector<std::string> &Hosts,
                             std::size_t CandidateCount) {
  duty_assignment Assignment;
  if (Hosts.empty())
    return Assignment;
  const std::size_t MaxPrimariesPerHost =
      evenShare(Duties.size(), Hosts.size());
  std::map<std::string, std::size_t> PrimariesPerHost;
  for (const std::string &Duty : Duties) {
    std::vector<std::string> Candidates = ownersOf(Duty, Hosts, Hosts.size());
    // The first candidate is the best scored host that has room for another
    // duty; the other hosts follow in the order of their scores.
    const auto Primary =
        std::ranges::find_if(Candidates, [&](const std::string &Host) {
          return PrimariesPerHost[Host] < MaxPrimariesPerHost;
        });
    std::rotate(Candidates.begin(), Primary, std::next(Primary));
    ++PrimariesPerHost[Candidates.front()];
    Candidates.resize(std::min(CandidateCount, Candidates.size()));
    Assignment.Candidates.emplace(Duty, std::move(Candidates));
  }
  return Assignment;
}

duty_assignment assignDutyGroups(const duty_groups &Groups,
                                 const std::vector<std::string> &Hosts,
                                 std::size_t CandidateCount) {
  duty_assignment Assignment;
  for (const auto &[Group, Duties] : Groups)
    Assignment.Candidates.merge(
        assignDuties(Duties, Hosts, CandidateCount).Candidates);
  return Assignment;
}

const std::vector<std::string> &candidatesFor(const duty_assignment &Assignment,
                                              std::string_view Duty) {
  static const std::vector<std::string> NoCandidates;
  const auto Found = Assignment.Candidates.find(Duty);
  return Found == Assignment.Candidates.end() ? NoCandidates : Found->second;
}

} // namespace coriandertray
