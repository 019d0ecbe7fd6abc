#include "allocation/placement.h"

#include <algorithm>

namespace coriandertray {

namespace {

// Outweighs all other costs together.
constexpr double CoverageBonus = 1.0;
// A newly joined server is due its first request this long after it joined,
// even if it is still warming up.
constexpr duration MaxWarmUpWait = milliseconds(2500);

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

// A newly joined server is tested by a first request. Until
// MaxFirstRequestDelay has passed, only an idempotent request is risked.
bool needsFirstRequest(const backend_record &Backend,
                       const slot_request &Request, time_point Now) {
  if (!Backend.AwaitsFirstRequest || !Backend.Leases.empty())
    return false;
  const time_point Ready =
      std::min(std::max(Backend.JoinedAt, Backend.WarmedUpAt),
               Backend.JoinedAt + MaxWarmUpWait);
  return Now >= Ready &&
         (Request.Idempotent || Now >= Ready + MaxFirstRequestDelay);
}

// A server that may be healthy should get some requests all the time.
bool isCoverageCandidate(const backend_record &Backend,
                         const placement_policy &Policy, time_point Now) {
  // A server whose limit allows less than one request per window can't be
  // covered.
  const bool MayBeCovered =
      sustainedRate(Backend.RateLimiter) * toSeconds(Policy.CoverageWindow) >=
      1;
  return isServing(Backend) && MayBeCovered &&
         Backend.FailureProbability < Policy.CoverageMaxFailureProbability &&
         Now - Backend.LastFailureAt > Policy.RecentFailureWindow;
}

bool isCovered(const backend_record &Backend, const placement_policy &Policy,
               time_point Now) {
  return Now - Backend.LastGrantAt <= Policy.CoverageWindow;
}

// Whether a server that is probably healthy has been without requests for so
// long that \p Request should go there. It may hold slots: those of a host that
// was lost stay in use until their deadline.
bool isDue(const backend_record &Backend, const slot_request &Request,
           const placement_policy &Policy, time_point Now) {
  const duration MaxUnused = Backend.Registration.Zone == Request.Zone
                                 ? Policy.MaxUnusedInZone
                                 : Policy.MaxUnused;
  return Backend.FailureProbability <= Policy.DueMaxFailureProbability &&
         Now - Backend.LastGrantAt > MaxUnused;
}

double zoneCost(const backend_record &Backend, const slot_request &Request,
                const placement_policy &Policy) {
  if (Backend.Registration.Zone == Request.Zone)
    return 0;
  constexpr double BytesPerKilobyte = 1024;
  const double Kilobytes =
      static_cast<double>(Request.BodyBytes) / BytesPerKilobyte;
  return std::min(Policy.CrossZoneCost +
                      Policy.CrossZoneCostPerKilobyte * Kilobytes,
                  Policy.MaxCrossZoneCost);
}

double placementCost(const backend_record &Backend, const slot_request &Request,
                     const placement_policy &Policy, bool BelowCoverageTarget,
                     time_point Now) {
  const double Loss = Request.Idempotent ? Policy.IdempotentLossCost
                                         : Policy.NonIdempotentLossCost;
  const auto InFlight = static_cast<double>(Backend.Leases.size());
  double Cost = Backend.FailureProbability * Loss +
                Policy.UtilizationCost * InFlight / Backend.Registration.Slots;
  if (Backend.FailureProbability > Policy.ProvenMaxFailureProbability)
    Cost += Policy.UnprovenInFlightCost * InFlight;
  if (Now < Backend.WarmedUpAt)
    Cost += Policy.WarmUpCost;
  const bool IsUncovered = BelowCoverageTarget && Backend.Leases.empty() &&
                           !isCovered(Backend, Policy, Now);
  const bool ImprovesCoverage =
      isCoverageCandidate(Backend, Policy, Now) &&
      (IsUncovered || isDue(Backend, Request, Policy, Now));
  if (ImprovesCoverage || needsFirstRequest(Backend, Request, Now))
    Cost -= CoverageBonus;
  return Cost;
}

} // namespace

bool mayServe(const backend_record &Backend, const slot_request &Request) {
  return isServing(Backend) &&
         !contains(Request.Tried, Backend.Registration.Name) &&
         !contains(Request.Unreachable, Backend.Registration.Name);
}

bool canServe(const backend_record &Backend, const slot_request &Request,
              time_point Now) {
  // A server that is short of capacity should not get work twice.
  const bool HedgesAtLimitedServer =
      Request.RetryReason == retry_reason::Hedge &&
      Backend.RateLimiter.Limit.RequestsPerSecond;
  return !HedgesAtLimitedServer &&
         Now >= heldUntil(Backend, Request.Key.Host) &&
         startableRequests(Backend, Now) > 0 && mayServe(Backend, Request);
}

coverage_state measureCoverage(const backend_records &Backends,
                               const placement_policy &Policy, time_point Now) {
  coverage_state Coverage;
  for (const auto &[Name, Backend] : Backends) {
    if (!isCoverageCandidate(Backend, Policy, Now))
      continue;
    Coverage.Candidates += 1;
    Coverage.Covered += isCovered(Backend, Policy, Now) ? 1 : 0;
  }
  return Coverage;
}

std::optional<placement_candidate>
findCheapestBackend(backend_records &Backends, const slot_request &Request,
                    const placement_policy &Policy, time_point Now) {
  const coverage_state Coverage = measureCoverage(Backends, Policy, Now);
  const double CoverageTarget = Request.Idempotent
                                    ? Policy.IdempotentCoverageTarget
                                    : Policy.NonIdempotentCoverageTarget;
  const bool BelowCoverageTarget =
      Coverage.Covered < CoverageTarget * Coverage.Candidates;
  std::optional<placement_candidate> Best;
  for (auto &[Name, Backend] : Backends) {
    if (!canServe(Backend, Request, Now))
      continue;
    const double ZoneCost = zoneCost(Backend, Request, Policy);
    const double Cost = ZoneCost + placementCost(Backend, Request, Policy,
                                                 BelowCoverageTarget, Now);
    if (!Best || Cost < Best->Cost)
      Best = {&Backend, Cost, ZoneCost};
  }
  return Best;
}

double maxAcceptableCost(const slot_request &Request,
                         const placement_policy &Policy, time_point Now) {
  const double Time =
      std::max(1.0, toMilliseconds(Request.Target - Request.RequestedAt));
  const double Waited =
      std::max(0.0, toMilliseconds(Now - Request.RequestedAt)) / Time;
  // The limit rises slowly at first, because a slot at a proven server is
  // likely to become free soon.
  const double WaitedShare = Waited / Policy.AcceptAnyAfterShare;
  return Policy.InitialMaxCost + WaitedShare * WaitedShare;
}

} // namespace coriandertray
