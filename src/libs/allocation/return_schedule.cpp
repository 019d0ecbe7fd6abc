#include "allocation/return_schedule.h"

#include <algorithm>

namespace coriandertray {

namespace {

// Callers follow a Retry-After of up to this part of their remaining time.
constexpr int FollowedPart = 3;
// The times to return keep this part of the followed time for spreading, even
// if there is no room before its end.
constexpr int SpreadPart = 2;
// Requests are at least this far apart, which is the resolution of Retry-After.
constexpr duration MinInterval = milliseconds(1);

} // namespace

duration longestRetryAfter(const rejection &Rejected) {
  return std::max<duration>(MinRetryAfter, Rejected.Remaining / FollowedPart);
}

duration scheduleReturn(return_schedule &Schedule, const rejection &Rejected,
                        time_point Now) {
  const duration Interval = std::max(MinInterval, Rejected.ServiceInterval);
  const duration Wait = std::max<duration>(MinRetryAfter, Rejected.Wait);
  // No return within the remaining time would find a server.
  if (Rejected.ServersClosedFor >
      std::max(duration::zero(), Rejected.Remaining)) {
    Schedule.NextReturn = std::max(Schedule.NextReturn, Now + Wait) + Interval;
    return Schedule.NextReturn - Interval - Now;
  }
  const duration Longest = longestRetryAfter(Rejected);
  const duration Shortest =
      std::min(Wait, std::max<duration>(MinRetryAfter, Longest / SpreadPart));
  duration Return = std::max(Shortest, Schedule.NextReturn - Now);
  if (Return > Longest)
    Return =
        Shortest + (Return - Shortest) % (Longest - Shortest + MinInterval);
  Return = std::min(Return, Longest);
  Schedule.NextReturn = Now + Return + Interval;
  return Return;
}

} // namespace coriandertray
