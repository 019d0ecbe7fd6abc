#include "allocation/retry_budget.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace coriandertray {

namespace {

// Two allocators may be active for a while, each unknown to the other. Each
// therefore uses only a part of the budget.
constexpr double TakeoverSafetyShare = 0.5;

// Begins anew if the allocator was not asked for a whole window, because the
// hosts may have asked another one.
void noteUse(retry_budget &Budget, const retry_limits &Limits, time_point Now) {
  if (Budget.Since && Now - Budget.LastUse <= Limits.Window) {
    Budget.LastUse = Now;
    return;
  }
  Budget.Hosts.clear();
  Budget.Since = Now;
  Budget.LastUse = Now;
}

// The sums of all hosts; drops those without attempts in the last window.
retry_window totalAttempts(retry_budget &Budget, const retry_limits &Limits,
                           time_point Now) {
  retry_window Total;
  for (auto &[Host, Attempts] : Budget.Hosts) {
    dropExpired(Attempts.Window, Limits.Window, Now);
    Total.Requests += Attempts.Window.Requests;
    Total.Retries += Attempts.Window.Retries;
  }
  std::erase_if(Budget.Hosts, [](const auto &Entry) {
    return Entry.second.Window.Slices.empty();
  });
  return Total;
}

} // namespace

void recordRequest(retry_budget &Budget, const retry_limits &Limits,
                   const std::string &Host, time_point Now) {
  noteUse(Budget, Limits, Now);
  recordRequest(Budget.Hosts[Host].Window, Limits.Window, Now);
}

void adoptAttempts(retry_budget &Budget, const retry_limits &Limits,
                   const std::string &Host, std::vector<attempt_slice> Sent,
                   time_point Now) {
  noteUse(Budget, Limits, Now);
  host_attempts &Known = Budget.Hosts[Host];
  Known.HasReported = true;
  dropExpired(Known.Window, Limits.Window, Now);
  retry_window Reported = makeRetryWindow(std::move(Sent));
  dropExpired(Reported, Limits.Window, Now);
  if (Reported.Retries >= Known.Window.Retries)
    Known.Window = std::move(Reported);
}

double knownShare(const retry_budget &Budget, const retry_limits &Limits,
                  time_point Now) {
  const bool AllIsKnown = Budget.HostCount == 0 || !Budget.Since ||
                          Now - *Budget.Since > Limits.Window;
  if (AllIsKnown)
    return 1;
  const auto Reported = std::ranges::count_if(Budget.Hosts | std::views::values,
                                              &host_attempts::HasReported);
  return std::min(1.0, static_cast<double>(Reported) /
                           static_cast<double>(Budget.HostCount));
}

bool tryConsumeRetry(retry_budget &Budget, const retry_limits &Limits,
                     const std::string &Host, double ReservedShare,
                     time_point Now) {
  noteUse(Budget, Limits, Now);
  const retry_window Total = totalAttempts(Budget, Limits, Now);
  const double Allowed =
      TakeoverSafetyShare * knownShare(Budget, Limits, Now) * Limits.Slack +
      Limits.Ratio * Total.Requests * (1 - TakeoverSafetyShare / 4);
  if (Total.Retries + 1 > Allowed * (1 - ReservedShare))
    return false;
  recordRetry(Budget.Hosts[Host].Window, Limits.Window, Now);
  return true;
}

} // namespace coriandertray
