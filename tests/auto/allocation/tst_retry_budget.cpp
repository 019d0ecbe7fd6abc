#include "allocation/retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace coriandertray;

namespace {

const retry_limits Limits = {0.2, seconds(10), 60};

std::string hostName(std::size_t Number) {
  return "host-" + std::to_string(Number);
}

/// Hosts that send to the pools of one service, through allocators that a test
/// replaces.
struct service_load {
  explicit service_load(std::size_t HostCount)
      : HostCount(HostCount), Sent(HostCount) {
    replaceAllocators(1);
  }

  /// Starts \p Count pools with allocators that know nothing.
  void replaceAllocators(std::size_t Count) {
    Pools.assign(Count, {});
    for (retry_budget &Budget : Pools)
      Budget.HostCount = HostCount;
    Introduced.clear();
  }

  /// A request of \p Host that the first server rejects. \returns whether it
  /// was repeated at another one.
  bool sendRejectedRequest(std::size_t Host) {
    const std::size_t Pool = NextPool++ % Pools.size();
    const retry_limits Part = divideRetryLimits(Limits, Pools.size());
    retry_budget &Budget = Pools[Pool];
    const std::string Name = hostName(Host);
    if (!std::exchange(Introduced[{Host, Pool}], true))
      adoptAttempts(
          Budget, Part, Name,
          divideAttempts(Sent[Host], Pools.size(), Limits.Window, Now), Now);
    recordRequest(Budget, Part, Name, Now);
    recordRequest(Sent[Host], Limits.Window, Now);
    Requests.push_back(Now);
    if (!tryConsumeRetry(Budget, Part, Name, 0, Now))
      return false;
    recordRetry(Sent[Host], Limits.Window, Now);
    Retries.push_back(Now);
    return true;
  }

  [[nodiscard]] double inWindow(const std::vector<time_point> &Times) const {
    return static_cast<double>(
        std::ranges::count_if(Times, [this](time_point Time) {
          return Now - Time <= Limits.Window;
        }));
  }

  [[nodiscard]] bool isWithinBudget() const {
    return inWindow(Retries) <=
           Limits.Ratio * inWindow(Requests) + Limits.Slack;
  }

  time_point Now{std::chrono::hours(1)};
  std::size_t HostCount;
  std::vector<retry_budget> Pools;
  std::vector<retry_window> Sent;
  std::map<std::pair<std::size_t, std::size_t>, bool> Introduced;
  std::size_t NextPool = 0;
  std::vector<time_point> Requests;
  std::vector<time_point> Retries;
};

} // namespace

// Guards against: each time a service gets another number of pools, their new
// allocators hand out the retry budget of the whole service once more.
TEST_CASE("allocators that are replaced again and again share one budget") {
  constexpr std::size_t HostCount = 6;
  service_load Load(HostCount);
  std::size_t RetriesAfterReplacement = 0;
  for (int Round = 0; Round < 6; ++Round) {
    Load.replaceAllocators(Round % 2 == 0 ? 1 : 2);
    RetriesAfterReplacement = Load.Retries.size();
    for (std::size_t Number = 0; Number < 80; ++Number) {
      Load.Now += milliseconds(20);
      Load.sendRejectedRequest(Number % HostCount);
      CHECK(Load.isWithinBudget());
    }
  }
  // The budget is not withheld either.
  CHECK(Load.Retries.size() > RetriesAfterReplacement);
}

TEST_CASE("replaced allocators keep the budget of any load") {
  const bool Holds = rc::check("for random hosts, pools and times", [] {
    service_load Load(*rc::gen::inRange<std::size_t>(1, 9));
    for (int Step = 0; Step < 400; ++Step) {
      Load.Now += milliseconds(*rc::gen::inRange(0, 60));
      if (*rc::gen::inRange(0, 50) == 0)
        Load.replaceAllocators(*rc::gen::inRange<std::size_t>(1, 5));
      Load.sendRejectedRequest(
          *rc::gen::inRange<std::size_t>(0, Load.HostCount));
      RC_ASSERT(Load.isWithinBudget());
    }
  });
  CHECK(Holds);
}

// Guards against: an allocator that takes over hands out the budget before it
// knows what the hosts have used of it.
TEST_CASE("the slack of hosts that have not reported is held back") {
  constexpr std::size_t HostCount = 4;
  const time_point Now{std::chrono::hours(1)};
  retry_budget Budget;
  Budget.HostCount = HostCount;
  adoptAttempts(Budget, Limits, "host-0", {{Now, 0, 0}}, Now);
  CHECK(knownShare(Budget, Limits, Now) == 0.25);
  // A host that sends without a report may have used its part.
  recordRequest(Budget, Limits, "host-1", Now);
  CHECK(knownShare(Budget, Limits, Now) == 0.25);
  for (std::size_t Host = 1; Host < HostCount; ++Host)
    adoptAttempts(Budget, Limits, hostName(Host), {{Now, 0, 0}}, Now);
  CHECK(knownShare(Budget, Limits, Now) == 1);
}

TEST_CASE("hosts that stay silent hold nothing back after a window") {
  const time_point Start{std::chrono::hours(1)};
  retry_budget Budget;
  Budget.HostCount = 4;
  time_point Now = Start;
  while (Now - Start <= Limits.Window) {
    recordRequest(Budget, Limits, "host-0", Now);
    CHECK(knownShare(Budget, Limits, Now) == 0);
    Now += milliseconds(500);
  }
  recordRequest(Budget, Limits, "host-0", Now);
  CHECK(knownShare(Budget, Limits, Now) == 1);
  SUBCASE("but an allocator that was not asked for a window begins anew") {
    Now += Limits.Window + milliseconds(1);
    recordRequest(Budget, Limits, "host-0", Now);
    CHECK(knownShare(Budget, Limits, Now) == 0);
  }
}

// Guards against: a host that restarted reports that it sent nothing, and what
// it sent before is forgotten.
TEST_CASE("a report of less than is known changes nothing") {
  const time_point Now{std::chrono::hours(1)};
  retry_budget Budget;
  adoptAttempts(Budget, Limits, "host", {{Now, 50, 30}}, Now);
  adoptAttempts(Budget, Limits, "host", {{Now, 0, 0}}, Now);
  CHECK(Budget.Hosts.at("host").Window.Retries == 30);
  adoptAttempts(Budget, Limits, "host", {{Now, 60, 35}}, Now);
  CHECK(Budget.Hosts.at("host").Window.Retries == 35);
}

TEST_CASE("attempts that are older than the window don't count") {
  const time_point Now{std::chrono::hours(1)};
  const time_point Old = Now - Limits.Window - milliseconds(1);
  retry_budget Budget;
  adoptAttempts(Budget, Limits, "host", {{Now, 4, 2}, {Old, 50, 30}}, Now);
  CHECK(Budget.Hosts.at("host").Window.Retries == 2);
  CHECK(Budget.Hosts.at("host").Window.Requests == 4);
}
