#include "accounts/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coriandertray {

namespace {

constexpr std::size_t MaxGaps = 32;
// Half of the excess is for new buckets. An account may get two within a
// window, for example when its owner restarts twice.
constexpr double NewBucketShare = 0.25;
// Sums of fractions may be slightly below the whole number that they stand for.
constexpr double RoundingSlack = 1e-6;
// Grants within this part of the window are counted together, as of the latest.
constexpr int EntriesPerWindow = 16;
// Most callers wait for a fraction of a request's time limit at most, so a
// later time has no use unless tokens accrue more slowly.
constexpr duration UsualMaxRetryAfter = seconds(5);
constexpr duration LongestMaxRetryAfter = seconds(3600);
// Refused callers of a slow account that are told different times.
constexpr double SpacedReturns = 4;

double capacityOf(const account_quota &Quota) {
  return std::max(1.0, Quota.Burst);
}

void accrue(quota_bucket &Bucket, time_point Until) {
  if (Until <= Bucket.UpdatedAt)
    return;
  const double Capacity = capacityOf(Bucket.Quota);
  const double Gained =
      Bucket.Quota.RequestsPerSecond * toSeconds(Until - Bucket.UpdatedAt);
  Bucket.Accrued = std::min(Capacity, Bucket.Accrued + Gained);
  Bucket.Credit = std::min(Bucket.Credit, Capacity - Bucket.Accrued);
  Bucket.UpdatedAt = Until;
}

void limitLevel(quota_bucket &Bucket, double Level) {
  Bucket.Accrued = std::min(Bucket.Accrued, Level);
  Bucket.Credit = std::min(Bucket.Credit, Level - Bucket.Accrued);
}

void forgetLoweredBurst(quota_bucket &Bucket, duration Window) {
  if (!Bucket.LoweredAt || Bucket.UpdatedAt - *Bucket.LoweredAt < Window)
    return;
  Bucket.LoweredAt.reset();
  Bucket.FormerCapacity = 0;
  Bucket.Dropped = 0;
}

void lowerCapacity(quota_bucket &Bucket, double Before, double After) {
  const double Level = Bucket.Accrued + Bucket.Credit;
  Bucket.Dropped += std::max(0.0, Level - After);
  Bucket.FormerCapacity = std::max(Bucket.FormerCapacity, Before);
  Bucket.LoweredAt = Bucket.UpdatedAt;
  limitLevel(Bucket, After);
}

// The tokens of a burst that was in force in the last window were granted then,
// unless they were taken away unused.
void raiseCapacity(quota_bucket &Bucket, double Before, double After) {
  const double Former = std::max(Before, Bucket.FormerCapacity);
  const double Restored =
      std::min(Bucket.Dropped, std::min(After, Former) - Before);
  Bucket.Dropped -= Restored;
  Bucket.Accrued += Restored + std::max(0.0, After - Former);
  limitLevel(Bucket, After);
}

void renew(quota_bucket &Bucket, const quota_tolerance &Tolerance,
           time_point Since) {
  Bucket.Accrued = 0;
  Bucket.Credit =
      std::min(capacityOf(Bucket.Quota),
               NewBucketShare * toleratedExcess(Bucket.Quota, Tolerance));
  Bucket.UpdatedAt = Since;
}

// During a gap another owner has at most the tokens that accrue meanwhile, in
// addition to those of a new bucket. Both together must not hold more than the
// burst, so this host keeps the rest of the burst at most, and gains nothing.
// One token is kept, because an account whose burst is one token would be
// refused after each pause, although it sent nothing.
// After a gap of a window it is like any other new owner.
void applyGap(quota_bucket &Bucket, const ownership_gap &Gap,
              const quota_tolerance &Tolerance) {
  accrue(Bucket, Gap.Begin);
  if (Gap.Length >= Tolerance.Window) {
    renew(Bucket, Tolerance, Gap.End);
    return;
  }
  const double GrantedElsewhere =
      Bucket.Quota.RequestsPerSecond * toSeconds(Gap.Length);
  limitLevel(Bucket,
             std::max(1.0, capacityOf(Bucket.Quota) - GrantedElsewhere));
  Bucket.UpdatedAt = std::max(Bucket.UpdatedAt, Gap.End);
}

duration fromSeconds(double Value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Value));
}

// Takes from the accrued tokens first, as only these are cut by reports.
void subtract(quota_bucket &Bucket, double Count) {
  const double FromAccrued = std::min(Bucket.Accrued, Count);
  Bucket.Accrued -= FromAccrued;
  Bucket.Credit = std::max(0.0, Bucket.Credit - (Count - FromAccrued));
}

duration scheduleReturns(quota_bucket &Bucket, std::uint32_t Refused,
                         time_point Now) {
  const double Rate = Bucket.Quota.RequestsPerSecond;
  const duration MaxRetryAfter = maxRetryAfter(Bucket.Quota);
  const double Missing = std::max(0.0, 1 - Bucket.Accrued - Bucket.Credit);
  const time_point Latest = Now + MaxRetryAfter;
  const double MaxWait = toSeconds(MaxRetryAfter);
  const time_point NextToken =
      Now + fromSeconds(std::min(MaxWait, Missing / Rate));
  const time_point AfterLastReturn =
      Bucket.LastReturn + fromSeconds(std::min(MaxWait, 1 / Rate));
  const time_point First = std::min(
      Latest, Bucket.LastReturn > Now ? std::max(AfterLastReturn, NextToken)
                                      : NextToken);
  const double Others = std::min(MaxWait, (Refused - 1) / Rate);
  Bucket.LastReturn = std::min(Latest, First + fromSeconds(Others));
  return First - Now;
}

} // namespace

void addGap(ownership &Record, const ownership_gap &Gap) {
  if (Record.Gaps.size() >= MaxGaps) {
    Record.Since = Record.Gaps.front().End;
    Record.Gaps.erase(Record.Gaps.begin());
  }
  Record.Gaps.push_back(Gap);
}

void loseOwnership(ownership &Record, time_point Now) {
  if (!Record.LostAt)
    Record.LostAt = Now;
}

void regainOwnership(ownership &Record, time_point Now) {
  if (!Record.LostAt)
    return;
  addGap(Record, {*Record.LostAt, Now, Now - *Record.LostAt});
  Record.LostAt.reset();
}

bool isLimited(const account_quota &Quota) {
  return Quota.RequestsPerSecond > 0;
}

bool isValid(const account_quota &Quota) {
  return std::isfinite(Quota.RequestsPerSecond) && std::isfinite(Quota.Burst) &&
         Quota.RequestsPerSecond >= 0 && Quota.Burst >= 0;
}

duration maxRetryAfter(const account_quota &Quota) {
  const double Spaced = std::min(toSeconds(LongestMaxRetryAfter),
                                 SpacedReturns / Quota.RequestsPerSecond);
  return std::max(UsualMaxRetryAfter, fromSeconds(Spaced));
}

double toleratedExcess(const account_quota &Quota,
                       const quota_tolerance &Tolerance) {
  const double Allowed =
      Quota.RequestsPerSecond * toSeconds(Tolerance.Window) + Quota.Burst;
  return Tolerance.Overshoot * Allowed + Tolerance.Slack;
}

quota_bucket makeBucket(const account_quota &Quota, std::uint64_t ConfigVersion,
                        const quota_tolerance &Tolerance, time_point Since) {
  quota_bucket Bucket;
  Bucket.Quota = Quota;
  Bucket.ConfigVersion = ConfigVersion;
  renew(Bucket, Tolerance, Since);
  return Bucket;
}

void advanceBucket(quota_bucket &Bucket, const ownership &Record,
                   const quota_tolerance &Tolerance, time_point Now) {
  if (Bucket.UpdatedAt < Record.Since)
    renew(Bucket, Tolerance, Record.Since);
  for (const ownership_gap &Gap : Record.Gaps)
    if (Gap.End > Bucket.UpdatedAt)
      applyGap(Bucket, Gap, Tolerance);
  accrue(Bucket, Now);
}

void updateQuota(quota_bucket &Bucket, const account_quota &Quota,
                 std::uint64_t ConfigVersion, duration Window) {
  if (ConfigVersion <= Bucket.ConfigVersion)
    return;
  forgetLoweredBurst(Bucket, Window);
  const double Before = capacityOf(Bucket.Quota);
  const double After = capacityOf(Quota);
  Bucket.Quota = Quota;
  Bucket.ConfigVersion = ConfigVersion;
  if (After > Before)
    raiseCapacity(Bucket, Before, After);
  else if (After < Before)
    lowerCapacity(Bucket, Before, After);
}

void limitToAccrualOf(quota_bucket &Bucket, duration Time) {
  const double Accruable = Bucket.Quota.RequestsPerSecond * toSeconds(Time);
  Bucket.Accrued = std::min(Bucket.Accrued, std::max(0.0, Accruable));
}

quota_grant takeTokens(quota_bucket &Bucket, std::uint32_t Count,
                       time_point Now) {
  Bucket.UsedAt = Now;
  const double Whole =
      std::floor(Bucket.Accrued + Bucket.Credit + RoundingSlack);
  const auto Granted =
      static_cast<std::uint32_t>(std::min<double>(Count, Whole));
  subtract(Bucket, Granted);
  if (Granted == Count)
    return {Granted, duration::zero()};
  return {Granted, scheduleReturns(Bucket, Count - Granted, Now)};
}

bool isIdle(const quota_bucket &Bucket, duration Time, time_point Now) {
  return Now - Bucket.UsedAt >= Time &&
         Bucket.Accrued + RoundingSlack >= capacityOf(Bucket.Quota);
}

quota_grant takeWithin(windowed_grants &Grants, std::uint32_t Count,
                       double Limit, duration Window, time_point Now) {
  auto &Entries = Grants.Entries;
  while (!Entries.empty() && Now - Entries.front().Latest >= Window)
    Entries.pop_front();
  const double Used = std::accumulate(
      Entries.begin(), Entries.end(), 0.0,
      [](double Sum, const auto &Entry) { return Sum + Entry.Count; });
  const double Left = std::max(0.0, std::floor(Limit + RoundingSlack) - Used);
  const auto Granted =
      static_cast<std::uint32_t>(std::min<double>(Count, Left));
  const bool Joins = !Entries.empty() &&
                     Now - Entries.back().Earliest < Window / EntriesPerWindow;
  if (Granted > 0 && Joins)
    Entries.back() = {Entries.back().Earliest, Now,
                      Entries.back().Count + Granted};
  else if (Granted > 0)
    Entries.push_back({Now, Now, Granted});
  if (Granted == Count)
    return {Granted, duration::zero()};
  const duration RetryAfter =
      Entries.empty() ? Window : Entries.front().Latest + Window - Now;
  return {Granted, RetryAfter};
}

} // namespace coriandertray
