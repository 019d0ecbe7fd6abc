#include "allocation/retry_window.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace coriandertray {

namespace {

constexpr int SlicesPerWindow = 20;

attempt_slice &currentSlice(retry_window &Window, duration Length,
                            time_point Now) {
  dropExpired(Window, Length, Now);
  const duration SliceLength = Length / SlicesPerWindow;
  if (Window.Slices.empty() || Now - Window.Slices.back().Start >= SliceLength)
    Window.Slices.push_back({Now, 0, 0});
  return Window.Slices.back();
}

} // namespace

retry_limits divideRetryLimits(const retry_limits &Limits, std::size_t Parts) {
  retry_limits Part = Limits;
  Part.Slack /= static_cast<double>(Parts);
  return Part;
}

void dropExpired(retry_window &Window, duration Length, time_point Now) {
  while (!Window.Slices.empty() && Now - Window.Slices.front().Start > Length) {
    Window.Requests -= Window.Slices.front().Requests;
    Window.Retries -= Window.Slices.front().Retries;
    Window.Slices.pop_front();
  }
  // Nothing of the sums' rounding errors stays.
  if (Window.Slices.empty())
    Window = {};
}

void recordRequest(retry_window &Window, duration Length, time_point Now) {
  ++currentSlice(Window, Length, Now).Requests;
  ++Window.Requests;
}

void recordRetry(retry_window &Window, duration Length, time_point Now) {
  ++currentSlice(Window, Length, Now).Retries;
  ++Window.Retries;
}

std::vector<attempt_slice> divideAttempts(retry_window &Window,
                                          std::size_t Parts, duration Length,
                                          time_point Now) {
  (void)currentSlice(Window, Length, Now);
  const auto Divisor = static_cast<double>(Parts);
  std::vector<attempt_slice> Part;
  for (const attempt_slice &Slice : Window.Slices)
    Part.push_back(
        {Slice.Start, Slice.Requests / Divisor, Slice.Retries / Divisor});
  return Part;
}

retry_window makeRetryWindow(std::vector<attempt_slice> Slices) {
  std::ranges::sort(Slices, {}, &attempt_slice::Start);
  retry_window Window;
  for (const attempt_slice &Slice : Slices) {
    Window.Slices.push_back(Slice);
    Window.Requests += Slice.Requests;
    Window.Retries += Slice.Retries;
  }
  return Window;
}

} // namespace coriandertray
