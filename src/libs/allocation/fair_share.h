/// \file
/// Start-time fair queueing among client accounts: each request gets a virtual
/// start, and those with the lowest one are served first.
///
/// The virtual finish of an account grows by the cost of each request that is
/// served for it, divided by its weight. An account that was idle resumes at
/// the virtual time, which is the highest virtual start served so far, so it
/// collects no credit.
///
/// An account that sends far more than its share would be served rarely by its
/// weight alone. It is owed service as soon as it is served less than about a
/// quarter as often as all, measured by the share of requests that are served.
#pragma once

#include "utils/clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace coriandertray {

/// The requests among which accounts share capacity.
struct priority_class {
  std::uint32_t AccountPriority = 0;
  std::uint32_t Priority = 0;
  auto operator<=>(const priority_class &) const = default;
};

/// An account within a priority class. The empty name stands for all requests
/// without an account.
struct share_key {
  priority_class Class;
  std::string Account;
  auto operator<=>(const share_key &) const = default;
};

/// The virtual start and finish of one request, in seconds of work per unit of
/// weight.
struct virtual_interval {
  double Start = 0;
  double Finish = 0;
  auto operator<=>(const virtual_interval &) const = default;
};

/// The recent requests of an account or of a whole class.
struct service_record {
  /// The virtual finish of the account, or the virtual time of the class.
  double VirtualTime = 0;
  /// Numbers of requests, with an exponential decay.
  double Arrived = 0;
  double Served = 0;
  time_point UpdatedAt;
  auto operator<=>(const service_record &) const = default;
};

/// The service that accounts have received. Plain state; not thread-safe. It
/// holds at most MaxFairShareEntries accounts and classes each.
struct fair_share {
  std::map<priority_class, service_record> Classes;
  /// Accounts that are not listed are at the virtual time of their class.
  std::map<share_key, service_record> Accounts;
};

inline constexpr std::size_t MaxFairShareEntries = 4096;

/// \returns the virtual time of \p Class.
[[nodiscard]] double virtualTime(const fair_share &Shares,
                                 const priority_class &Class);

/// \returns the virtual start of the next request of \p Key.
[[nodiscard]] double nextStart(const fair_share &Shares, const share_key &Key);

/// \returns whether \p Key was recently served so rarely that its next request
/// goes before those of the other accounts.
[[nodiscard]] bool isOwedService(const fair_share &Shares,
                                 const share_key &Key);

/// \returns the interval of a request that starts at \p Start and takes
/// \p Seconds of work. \p Weight is raised to a small positive number.
[[nodiscard]] virtual_interval intervalFrom(double Start, double Seconds,
                                            double Weight);

/// Records that a request of \p Key arrived. If there are too many entries,
/// those that make no difference are dropped, and otherwise all.
void recordArrival(fair_share &Shares, const share_key &Key, time_point Now);

/// Records that a request of \p Key was served.
void recordService(fair_share &Shares, const share_key &Key,
                   const virtual_interval &Interval, time_point Now);

} // namespace coriandertray
