#include "utils/run_history.h"

#include <algorithm>
#include <utility>

namespace coriandertray {

void recordRun(run_history &History, const event_loop_run &Run) {
  History.Previous = std::exchange(History.Latest, Run);
}

duration timeBetween(const event_loop_run &First,
                     const event_loop_run &Second) {
  return std::max(Second.At - First.At, Second.Uptime - First.Uptime);
}

duration maxSignalDelay(const run_history &History, const event_loop_run &Run) {
  // The latest run and the signal may be handled in the same turn of the loop,
  // in any order.
  const std::optional<event_loop_run> &Earliest =
      History.Previous ? History.Previous : History.Latest;
  return Earliest ? timeBetween(*Earliest, Run) : duration::zero();
}

} // namespace coriandertray
