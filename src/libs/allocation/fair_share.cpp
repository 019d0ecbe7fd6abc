#include "allocation/fair_share.h"

#include <algorithm>
#include <cmath>

namespace coriandertray {

namespace {

// Keeps the virtual finish finite if a message states a weight of zero.
constexpr double MinWeight = 1e-3;
// No account is to be served less than a quarter as often as all. The rest is a
// margin, because an account is owed service only once it is below this.
constexpr double OwedBelowShare = 0.3;
// Fewer requests than this say little about how often an account is served.
constexpr double MinArrived = 4;
// An overload of a few seconds must count, and an earlier one must not.
constexpr duration HalfLife = seconds(5);
// After this, almost nothing is left of an idle account's numbers.
constexpr duration ForgottenAfter = seconds(30);

void decay(service_record &Record, time_point Now) {
  const duration Elapsed = std::max(duration::zero(), Now - Record.UpdatedAt);
  const double Factor = std::exp2(-toSeconds(Elapsed) / toSeconds(HalfLife));
  Record.Arrived *= Factor;
  Record.Served *= Factor;
  Record.UpdatedAt = Now;
}

double servedShare(const service_record &Record) {
  return Record.Arrived > 0 ? Record.Served / Record.Arrived : 1;
}

// An idle account at or below the virtual time of its class is as good as
// unknown.
void limitEntries(fair_share &Shares, time_point Now) {
  if (Shares.Accounts.size() < MaxFairShareEntries &&
      Shares.Classes.size() < MaxFairShareEntries)
    return;
  std::erase_if(Shares.Accounts, [&](const auto &Entry) {
    return Entry.second.VirtualTime <= virtualTime(Shares, Entry.first.Class) &&
           Now - Entry.second.UpdatedAt > ForgottenAfter;
  });
  // Amortizes the cost of dropping entries over many requests.
  if (Shares.Accounts.size() < MaxFairShareEntries / 2 &&
      Shares.Classes.size() < MaxFairShareEntries)
    return;
  Shares = {};
}

} // namespace

double virtualTime(const fair_share &Shares, const priority_class &Class) {
  const auto Found = Shares.Classes.find(Class);
  return Found == Shares.Classes.end() ? 0 : Found->second.VirtualTime;
}

double nextStart(const fair_share &Shares, const share_key &Key) {
  const double Time = virtualTime(Shares, Key.Class);
  const auto Found = Shares.Accounts.find(Key);
  return Found == Shares.Accounts.end()
             ? Time
             : std::max(Time, Found->second.VirtualTime);
}

bool isOwedService(const fair_share &Shares, const share_key &Key) {
  const auto Account = Shares.Accounts.find(Key);
  const auto Class = Shares.Classes.find(Key.Class);
  return Account != Shares.Accounts.end() && Class != Shares.Classes.end() &&
         Account->second.Arrived >= MinArrived &&
         servedShare(Account->second) <
             OwedBelowShare * servedShare(Class->second);
}

virtual_interval intervalFrom(double Start, double Seconds, double Weight) {
  return {Start, Start + Seconds / std::max(Weight, MinWeight)};
}

void recordArrival(fair_share &Shares, const share_key &Key, time_point Now) {
  limitEntries(Shares, Now);
  for (service_record *Record :
       {&Shares.Classes[Key.Class], &Shares.Accounts[Key]}) {
    decay(*Record, Now);
    Record->Arrived += 1;
  }
}

void recordService(fair_share &Shares, const share_key &Key,
                   const virtual_interval &Interval, time_point Now) {
  limitEntries(Shares, Now);
  service_record &Class = Shares.Classes[Key.Class];
  service_record &Account = Shares.Accounts[Key];
  for (service_record *Record : {&Class, &Account}) {
    decay(*Record, Now);
    Record->Served += 1;
  }
  Class.VirtualTime = std::max(Class.VirtualTime, Interval.Start);
  Account.VirtualTime = std::max(Account.VirtualTime, Interval.Finish);
}

} // namespace coriandertray
