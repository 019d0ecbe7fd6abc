/// \file
/// When a leaving host stops serving and exits. The platform kills it at the
/// end of the grace period, which begins when the platform sends the signal,
/// not when the host handles it.
#pragma once

#include "utils/clock.h"
#include "utils/run_history.h"

#include <compare>

namespace coriandertray {

/// Plain values; not thread-safe.
struct leave_schedule {
  /// When the signal was handled.
  event_loop_run Start;
  /// For how long the signal may have waited before that.
  duration MaxSignalDelay{0};
  duration GracePeriod{0};
  auto operator<=>(const leave_schedule &) const = default;
};

/// \returns when the host stops serving, as seen in \p Now: before the earliest
/// moment at which the platform may kill it.
[[nodiscard]] time_point serviceEnd(const leave_schedule &Schedule,
                                    const event_loop_run &Now);

/// \returns how long responses that are not written at the end of service may
/// take, as seen in \p Now: until shortly before the last moment at which the
/// platform may kill the host.
[[nodiscard]] time_point lastExit(const leave_schedule &Schedule,
                                  const event_loop_run &Now);

} // namespace coriandertray
