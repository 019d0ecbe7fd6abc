#include "accounts/quota_owner.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace coriandertray {

namespace {

constexpr double StandInShare = 0.25;
constexpr double IsolatedShare = 0.25;
// Bounds the memory for accounts that other hosts name.
constexpr std::size_t MaxBuckets = 1U << 14U;
constexpr duration IdleTime = seconds(60);
// For requests that are refused because of what they ask for or because there
// are too many accounts.
constexpr duration UndecidedRetryAfter = seconds(5);

quota_grant grantAsOwner(quota_owner &State, const std::string &Duty,
                         const token_request &Request, time_point Now) {
  setOwned(State, Duty, true, Now);
  const ownership &Record = State.Ownerships[Duty];
  if (!State.Buckets.contains(Request.Account) &&
      State.Buckets.size() >= MaxBuckets)
    return {0, UndecidedRetryAfter};
  quota_bucket &Bucket =
      State.Buckets
          .try_emplace(Request.Account,
                       makeBucket(Request.Quota, Request.ConfigVersion,
                                  State.Tolerance, Record.Since))
          .first->second;
  advanceBucket(Bucket, Record, State.Tolerance, Now);
  updateQuota(Bucket, Request.Quota, Request.ConfigVersion,
              State.Tolerance.Window);
  if (!isLimited(Bucket.Quota))
    return {Request.Count, duration::zero()};
  if (Request.GrantedElsewhere)
    limitToAccrualOf(Bucket, *Request.GrantedElsewhere);
  return takeTokens(Bucket, Request.Count, Now);
}

quota_grant grantAsStandIn(quota_owner &State, const token_request &Request,
                           time_point Now) {
  const double Limit =
      StandInShare * toleratedExcess(Request.Quota, State.Tolerance);
  return takeWithin(State.StandInGrants[Request.Account], Request.Count, Limit,
                    State.Tolerance.Window, Now);
}

quota_grant grantAsIsolated(quota_owner &State, const token_request &Request,
                            time_point Now) {
  const double HostCount =
      static_cast<double>(std::max<std::size_t>(1, State.HostCount));
  const double Limit = IsolatedShare *
                       toleratedExcess(Request.Quota, State.Tolerance) /
                       HostCount;
  return takeWithin(State.IsolatedGrants[Request.Account], Request.Count, Limit,
                    State.Tolerance.Window, Now);
}

bool isOver(const windowed_grants &Grants, duration Window, time_point Now) {
  return Grants.Entries.empty() || Now - Grants.Entries.back().Latest >= Window;
}

} // namespace

std::string_view nameOf(quota_role Role) {
  switch (Role) {
  case quota_role::Owner:
    return "owner";
  case quota_role::StandIn:
    return "stand-in";
  case quota_role::Isolated:
    return "own-share";
  }
  return "unknown";
}

duration recordRunning(quota_owner &State, time_point Now, duration Uptime,
                       duration MaxPause) {
  const std::optional<time_point> Last = std::exchange(State.LastRun, Now);
  const duration UptimeStep = Uptime - std::exchange(State.LastUptime, Uptime);
  if (!Last)
    return duration::zero();
  const duration Pause = std::max(Now - *Last, UptimeStep);
  if (Pause < MaxPause)
    return duration::zero();
  for (auto &[Duty, Record] : State.Ownerships)
    if (!Record.LostAt)
      addGap(Record, {*Last, Now, Pause});
  return Pause;
}

void stopRecordingRuns(quota_owner &State) { State.LastRun.reset(); }

bool setOwned(quota_owner &State, const std::string &Duty, bool Owned,
              time_point Now) {
  const auto Found = State.Ownerships.find(Duty);
  if (Found == State.Ownerships.end()) {
    if (Owned)
      State.Ownerships[Duty].Since = Now;
    return Owned;
  }
  ownership &Record = Found->second;
  if (Owned != Record.LostAt.has_value())
    return false;
  if (Owned)
    regainOwnership(Record, Now);
  else
    loseOwnership(Record, Now);
  return true;
}

void removeDuties(quota_owner &State,
                  const std::function<bool(const std::string &)> &IsDuty) {
  std::erase_if(State.Ownerships,
                [&IsDuty](const auto &Entry) { return !IsDuty(Entry.first); });
}

void updateQuota(quota_owner &State, const std::string &Duty,
                 const std::string &Account, const account_quota &Quota,
                 std::uint64_t ConfigVersion, time_point Now) {
  const auto Found = State.Buckets.find(Account);
  const auto Record = State.Ownerships.find(Duty);
  if (Found == State.Buckets.end() || !isValid(Quota))
    return;
  if (Record != State.Ownerships.end() && !Record->second.LostAt)
    advanceBucket(Found->second, Record->second, State.Tolerance, Now);
  updateQuota(Found->second, Quota, ConfigVersion, State.Tolerance.Window);
}

quota_grant decide(quota_owner &State, const std::string &Duty,
                   const token_request &Request, quota_role Role,
                   time_point Now) {
  if (Role != quota_role::Owner)
    setOwned(State, Duty, false, Now);
  if (!isValid(Request.Quota))
    return {0, UndecidedRetryAfter};
  if (!isLimited(Request.Quota) && Role != quota_role::Owner)
    return {Request.Count, duration::zero()};
  switch (Role) {
  case quota_role::Owner:
    return grantAsOwner(State, Duty, Request, Now);
  case quota_role::StandIn:
    return grantAsStandIn(State, Request, Now);
  case quota_role::Isolated:
    return grantAsIsolated(State, Request, Now);
  }
  return {};
}

void dropIdle(quota_owner &State,
              const std::function<std::string(const std::string &)> &DutyOf,
              time_point Now) {
  // A bucket that is not owned is of no use after a window: then it begins like
  // a new one.
  const auto HasNoEffect = [&](const std::string &Account,
                               quota_bucket &Bucket) {
    const auto Record = State.Ownerships.find(DutyOf(Account));
    if (Record == State.Ownerships.end())
      return Now - Bucket.UpdatedAt >= State.Tolerance.Window;
    if (Record->second.LostAt)
      return Now - *Record->second.LostAt >= State.Tolerance.Window;
    advanceBucket(Bucket, Record->second, State.Tolerance, Now);
    return isIdle(Bucket, IdleTime, Now);
  };
  for (auto At = State.Buckets.begin(); At != State.Buckets.end();)
    At = HasNoEffect(At->first, At->second) ? State.Buckets.erase(At)
                                            : std::next(At);
  const auto IsOver = [&State, Now](const auto &Entry) {
    return isOver(Entry.second, State.Tolerance.Window, Now);
  };
  std::erase_if(State.StandInGrants, IsOver);
  std::erase_if(State.IsolatedGrants, IsOver);
}

std::vector<bucket_level> largestBuckets(const quota_owner &State,
                                         std::size_t Count) {
  std::vector<bucket_level> Levels;
  for (const auto &[Account, Bucket] : State.Buckets)
    Levels.push_back({Account, Bucket.Accrued + Bucket.Credit, Bucket.Quota,
                      Bucket.ConfigVersion});
  std::ranges::stable_sort(
      Levels, std::ranges::greater(),
      [](const bucket_level &Level) { return Level.Quota.RequestsPerSecond; });
  Levels.resize(std::min(Levels.size(), Count));
  return Levels;
}

} // namespace coriandertray
