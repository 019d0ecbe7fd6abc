/// \file
/// When the callers of rejected requests should return, so that they find room
/// and do not return together.
#pragma once

#include "utils/clock.h"

#include <compare>

namespace coriandertray {

/// No caller is asked to return sooner than this.
inline constexpr duration MinRetryAfter = milliseconds(100);

/// A rejected request.
struct rejection {
  /// Until there is expected to be room for it.
  duration Wait{0};
  /// From its rejection to its deadline.
  duration Remaining{0};
  /// Until the servers themselves take a request again, however empty the
  /// queue is.
  duration ServersClosedFor{0};
  /// The time in which the pool serves one request.
  duration ServiceInterval{0};
  auto operator<=>(const rejection &) const = default;
};

/// Plain state; not thread-safe.
struct return_schedule {
  /// The earliest time for the next caller.
  time_point NextReturn;
  auto operator<=>(const return_schedule &) const = default;
};

/// \returns the longest time after which the caller of \p Rejected returns: a
/// third of the remaining time, and at least MinRetryAfter.
[[nodiscard]] duration longestRetryAfter(const rejection &Rejected);

/// Assigns a time to return. It is at least MinRetryAfter and at most
/// longestRetryAfter(), unless the servers take no request before the deadline;
/// then it is the time when they do. Each further request gets a time that is
/// later by a service interval, and starts over when the longest time is
/// reached.
[[nodiscard]] duration scheduleReturn(return_schedule &Schedule,
                                      const rejection &Rejected,
                                      time_point Now);

} // namespace coriandertray
