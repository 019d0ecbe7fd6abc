#include "utils/clock.h"

#include <ctime>

namespace coriandertray {

duration steady_clock_source::uptime() const {
  timespec Time{};
  if (clock_gettime(CLOCK_BOOTTIME, &Time) != 0)
    return now().time_since_epoch();
  return seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec);
}

} // namespace coriandertray
