#include "allocation/retry_window.h"

namespace coriandertray {

namespace {

constexpr int SlicesPerWindow = 20;
// An allocator that has just taken over does not know how many retries its
// predecessor allowed, and both may be active for a while. Each therefore uses
// only a part of the budget.
constexpr double TakeoverSafetyShare = 0.5;

retry_window::slice &currentSlice(retry_window &Window,
                                  const retry_limits &Limits, time_point Now) {
  while (!Window.Slices.empty() &&
         Now - Window.Slices.front().Start > Limits.Window)
    Window.Slices.pop_front();
  const duration Length = Limits.Window / SlicesPerWindow;
  if (Window.Slices.empty() || Now - Window.Slices.back().Start >= Length)
    Window.Slices.push_back({Now, 0, 0});
  return Window.Slices.back();
}

} // namespace

retry_limits divideRetryLimits(const retry_limits &Limits, std::size_t Parts) {
  retry_limits Part = Limits;
  Part.Slack /= static_cast<double>(Parts);
  return Part;
}

void recordRequest(retry_window &Window, const retry_limits &Limits,
                   time_point Now) {
  ++currentSlice(Window, Limits, Now).Requests;
}

bool tryConsumeRetry(retry_window &Window, const retry_limits &Limits,
                     double ReservedShare, time_point Now) {
  retry_window::slice &Current = currentSlice(Window, Limits, Now);
  double Requests = 0;
  double Retries = 0;
  for (const retry_window::slice &Slice : Window.Slices) {
    Requests += Slice.Requests;
    Retries += Slice.Retries;
  }
  const double Allowed =
      TakeoverSafetyShare * Limits.Slack +
      Limits.Ratio * Requests * (1 - TakeoverSafetyShare / 4);
  if (Retries + 1 > Allowed * (1 - ReservedShare))
    return false;
  ++Current.Retries;
  return true;
}

} // namespace coriandertray
