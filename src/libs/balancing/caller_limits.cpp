#include "balancing/caller_limits.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr duration IdleEvictionInterval = seconds(30);

} // namespace

void caller_limits::configure(const manifest &Manifest) {
  DefaultLimits = Manifest.DefaultLimits;
  Limits.clear();
  for (const account &Account : Manifest.Accounts)
    Limits.emplace(Account.Name, Account.Limits);
}

const account_limits &
caller_limits::limitsOf(const std::string &Account) const {
  const auto Found = Limits.find(Account);
  return Found == Limits.end() ? DefaultLimits : Found->second;
}

admission_result caller_limits::admit(std::string_view Account,
                                      time_point Now) {
  evictIdle(Now);
  const std::string Name(Account);
  const account_limits &AccountLimits = limitsOf(Name);
  const auto [Position, IsNew] = States.try_emplace(Name);
  account_state &State = Position->second;
  if (State.InFlight >= AccountLimits.MaxInFlight)
    return admission_result::TooManyInFlight;
  if (AccountLimits.RequestsPerSecond > 0) {
    const double Burst = AccountLimits.RequestsPerSecond;
    const double Refill =
        toSeconds(Now - State.RefilledAt) * AccountLimits.RequestsPerSecond;
    State.Tokens = IsNew ? Burst : std::min(Burst, State.Tokens + Refill);
    State.RefilledAt = Now;
    if (State.Tokens < 1)
      return admission_result::RateExceeded;
    State.Tokens -= 1;
  }
  ++State.InFlight;
  return admission_result::Admitted;
}

void caller_limits::release(std::string_view Account) {
  const auto Found = States.find(std::string(Account));
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

std::uint32_t caller_limits::inFlight(std::string_view Account) const {
  const auto Found = States.find(std::string(Account));
  return Found == States.end() ? 0 : Found->second.InFlight;
}

void caller_limits::evictIdle(time_point Now) {
  if (Now - LastEvictionAt < IdleEvictionInterval)
    return;
  LastEvictionAt = Now;
  std::erase_if(States, [Now](const auto &Entry) {
    const account_state &State = Entry.second;
    return State.InFlight == 0 && Now - State.RefilledAt > IdleEvictionInterval;
  });
}

} // namespace coriandertray
