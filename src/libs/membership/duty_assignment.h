/// \file
/// Which hosts have which duties. Every host works it out alike from the same
/// hosts and duties, without asking anyone; duties are spread evenly, and few
/// of them move when a host comes or goes.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// For each duty the hosts that may have it, the first one that can be reached
/// having it. Immutable values; safe to share between threads.
struct duty_assignment {
  std::map<std::string, std::vector<std::string>, std::less<>> Candidates;
  bool operator==(const duty_assignment &) const = default;
};

/// Assigns \p Duties to \p Hosts, \p RankCount of them to each. No host comes
/// first for more than its even share of the duties, rounded up.
[[nodiscard]] duty_assignment
assignDuties(const std::set<std::string> &Duties,
             const std::vector<std::string> &Hosts, std::size_t CandidateCount);

/// \returns the hosts for \p Duty, none if it isn't assigned.
[[nodiscard]] const std::vector<std::string> &
candidatesFor(const duty_assignment &Assignment, std::string_view Duty);

} // namespace coriandertray
