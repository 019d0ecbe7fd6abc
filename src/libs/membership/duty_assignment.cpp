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
                             std::size_t RankCount) {
  duty_assignment Assignment;
  if (Hosts.empty())
    return Assignment;
  const std::size_t MostFirsts = evenShare(Duties.size(), Hosts.size());
  std::map<std::string, std::size_t> Firsts;
  for (const std::string &Duty : Duties) {
    std::vector<std::string> Ranks = ownersOf(Duty, Hosts, Hosts.size());
    const auto First =
        std::ranges::find_if(Ranks, [&](const std::string &Host) {
          return Firsts[Host] < MostFirsts;
        });
    std::rotate(Ranks.begin(), First, std::next(First));
    ++Firsts[Ranks.front()];
    Ranks.resize(std::min(RankCount, Ranks.size()));
    Assignment.Ranks.emplace(Duty, std::move(Ranks));
  }
  return Assignment;
}

const std::vector<std::string> &ranksOf(const duty_assignment &Assignment,
                                        std::string_view Duty) {
  static const std::vector<std::string> Nobody;
  const auto Found = Assignment.Ranks.find(Duty);
  return Found == Assignment.Ranks.end() ? Nobody : Found->second;
}

} // namespace coriandertray
