#include "balancing/admission_queue.h"

#include <algorithm>

namespace coriandertray {

namespace {

// A new interval enters the moving average with a weight of one divided by
// this.
constexpr int SmoothingDivisor = 8;
// A longer queue does not raise the throughput, and takes longer to recover
// from overload.
constexpr duration MaxQueueWait = milliseconds(500);
// The actual wait may exceed the estimated one by this factor.
constexpr double WaitSafetyFactor = 1.5;

} // namespace

bool admission_queue::canMeetDeadline(time_point Deadline,
                                      const throughput_estimate &Estimate,
                                      time_point Now) const {
  const duration Interval = AcceptInterval.value_or(Estimate.SlotInterval);
  const duration Wait = Interval * static_cast<std::int64_t>(ById.size());
  const auto PaddedWait =
      std::chrono::duration_cast<duration>(Wait * WaitSafetyFactor);
  return Wait <= MaxQueueWait &&
         Now + PaddedWait + Estimate.ServiceTime <= Deadline;
}

void admission_queue::push(const waiting_request &Request) {
  ById.emplace(Request.Id, Request);
  account_queue &Account = Accounts[Request.Account];
  // An account must not catch up on the share that it left unused while it had
  // no requests.
  if (Account.Waiting.empty())
    Account.Dispatched = std::max(Account.Dispatched, VirtualTime);
  Account.Waiting.emplace(Request.Deadline, Request.Id);
}

std::optional<std::uint64_t> admission_queue::front() const {
  if (Accounts.empty())
    return std::nullopt;
  const auto Next =
      std::ranges::min_element(Accounts, {}, [](const auto &Entry) {
        const account_queue &Account = Entry.second;
        return std::pair(Account.Dispatched, Account.Waiting.begin()->first);
      });
  return Next->second.Waiting.begin()->second;
}

void admission_queue::dispatch(std::uint64_t Id) {
  const auto Found = ById.find(Id);
  if (Found == ById.end())
    return;
  account_queue &Account = Accounts[Found->second.Account];
  VirtualTime = std::max(VirtualTime, Account.Dispatched);
  ++Account.Dispatched;
  remove(Id);
}

void admission_queue::recordAccepted(const throughput_estimate &Estimate,
                                     time_point Now) {
  const duration Interval = Now - LastAcceptedAt;
  LastAcceptedAt = Now;
  if (ById.empty()) {
    // The next backlog may be served at a different rate.
    AcceptInterval.reset();
    return;
  }
  if (!AcceptInterval) {
    AcceptInterval = Estimate.SlotInterval;
    return;
  }
  *AcceptInterval += (Interval - *AcceptInterval) / SmoothingDivisor;
}

void admission_queue::recordRefused(std::string_view Account) {
  const auto Found = Accounts.find(Account);
  if (Found != Accounts.end() && Found->second.Dispatched > 0)
    --Found->second.Dispatched;
}

void admission_queue::remove(std::uint64_t Id) {
  const auto Found = ById.find(Id);
  if (Found == ById.end())
    return;
  const auto Account = Accounts.find(Found->second.Account);
  Account->second.Waiting.erase({Found->second.Deadline, Id});
  if (Account->second.Waiting.empty())
    Accounts.erase(Account);
  ById.erase(Found);
}

std::vector<std::uint64_t> admission_queue::expired(duration ServiceTime,
                                                    time_point Now) const {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Request] : ById)
    if (Now + ServiceTime > Request.Deadline)
      Ids.push_back(Id);
  return Ids;
}

} // namespace coriandertray
