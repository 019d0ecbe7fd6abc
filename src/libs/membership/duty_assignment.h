/// \file
/// Assigns duties to hosts. A duty is a task that one host performs for the
/// whole fleet, such as allocating the slots of a pool.
///
/// Every host computes the same assignment from the same hosts and duties,
/// without coordination. Duties are spread evenly, and few of them move when a
/// host joins or leaves.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// Immutable values; safe to share between threads.
struct duty_assignment {
  /// The hosts that may perform each duty, in order of preference. The first
  /// one that is reachable performs it.
  std::map<std::string, std::vector<std::string>, std::less<>> Candidates;
  bool operator==(const duty_assignment &) const = default;
};

/// Assigns up to \p CandidateCount of \p Hosts to each of \p Duties. No host is
/// the first candidate for more than its even share of the duties, rounded up.
[[nodiscard]] duty_assignment
assignDuties(const std::set<std::string> &Duties,
             const std::vector<std::string> &Hosts, std::size_t CandidateCount);

/// Duties of one kind, by the name of the kind.
using duty_groups = std::map<std::string, std::set<std::string>>;

/// Like assignDuties(), with the duties of each group spread evenly by
/// themselves: a host with several light duties must not get several heavy ones
/// as well. \pre a duty is in one group only.
[[nodiscard]] duty_assignment
assignDutyGroups(const duty_groups &Groups,
                 const std::vector<std::string> &Hosts,
                 std::size_t CandidateCount);

/// \returns the candidates for \p Duty, or an empty list if it isn't assigned.
[[nodiscard]] const std::vector<std::string> &
candidatesFor(const duty_assignment &Assignment, std::string_view Duty);

} // namespace coriandertray
