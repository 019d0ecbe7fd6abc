/// \file
/// When the event loop of a process ran. A process that is stopped, suspended
/// or short of CPU time doesn't run, and handles signals late.
#pragma once

#include "utils/clock.h"

#include <compare>
#include <optional>

namespace coriandertray {

/// One turn of the event loop, by the steady clock and by clock_source's
/// uptime().
struct event_loop_run {
  time_point At;
  duration Uptime{0};
  auto operator<=>(const event_loop_run &) const = default;
};

/// The last two recorded runs. Plain state; not thread-safe.
struct run_history {
  std::optional<event_loop_run> Latest;
  std::optional<event_loop_run> Previous;
  auto operator<=>(const run_history &) const = default;
};

/// Records that the event loop runs. To be called at short intervals from a
/// timer of the loop. \pre \p Run is not before the latest one.
void recordRun(run_history &History, const event_loop_run &Run);

/// \returns the time between \p First and \p Second, including the time for
/// which the system was suspended. \pre \p Second is not before \p First.
[[nodiscard]] duration timeBetween(const event_loop_run &First,
                                   const event_loop_run &Second);

/// \returns the longest time for which a signal that is handled in \p Run may
/// have waited; zero if no run was recorded. A signal that was sent before the
/// latest but one recorded run would have been handled by the latest one.
[[nodiscard]] duration maxSignalDelay(const run_history &History,
                                      const event_loop_run &Run);

} // namespace coriandertray
