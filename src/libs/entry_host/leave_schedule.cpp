#include "entry_host/leave_schedule.h"

#include <algorithm>

namespace coriandertray {

namespace {

// A leaving host stops serving this long before the platform kills it.
constexpr duration ServiceEndMargin = milliseconds(600);
// Responses that are not written at the end of service may still be, until this
// long before the platform kills the host.
constexpr duration ExitMargin = milliseconds(250);
// The two clocks are read one after the other; shorter differences are not
// suspensions.
constexpr auto SuspensionStep = milliseconds(10);

// The time since \p Start that the steady clock did not count.
duration suspendedSince(const event_loop_run &Start,
                        const event_loop_run &Now) {
  const duration Suspended = (Now.Uptime - Start.Uptime) - (Now.At - Start.At);
  return std::max(duration::zero(),
                  Suspended / SuspensionStep * duration(SuspensionStep));
}

time_point graceEnd(const leave_schedule &Schedule, const event_loop_run &Now) {
  return Schedule.Start.At + Schedule.GracePeriod -
         suspendedSince(Schedule.Start, Now);
}

} // namespace

time_point serviceEnd(const leave_schedule &Schedule,
                      const event_loop_run &Now) {
  return graceEnd(Schedule, Now) - Schedule.MaxSignalDelay - ServiceEndMargin;
}

time_point lastExit(const leave_schedule &Schedule, const event_loop_run &Now) {
  return graceEnd(Schedule, Now) - ExitMargin;
}

} // namespace coriandertray
