#include "allocation/allocator_backends.h"

#include <algorithm>
#include <utility>

namespace coriandertray {

namespace {

// Bounds of the failure probability of a server without any evidence.
constexpr double MinPriorFailureProbability = 0.05;
constexpr double MaxPriorFailureProbability = 0.4;
// The gap between the two thresholds keeps a server from being logged as
// suspected and trusted in quick succession.
constexpr double SuspectAboveProbability = 0.5;
constexpr double TrustBelowProbability = 0.3;
// Failure probabilities change slowly between events and are refreshed at most
// this often.
constexpr duration EvaluationInterval = milliseconds(4);
// A lease that is never released expires this long after its deadline.
constexpr duration OrphanedLeaseGrace = milliseconds(1500);
// Request classes beyond this number share the first profile.
constexpr std::size_t MaxProfiles = 512;

// Estimates the share of failing servers from the suspected ones. The added
// counts pull the estimate towards PriorSuspected / PriorServers while there
// are few servers.
double estimatePriorLogOdds(const slot_allocator &State) {
  constexpr double PriorSuspected = 2;
  constexpr double PriorServers = 8;
  const auto Suspected = std::ranges::count_if(
      State.Backends, [](const auto &Entry) { return Entry.second.Suspected; });
  const double Share =
      (PriorSuspected + static_cast<double>(Suspected)) /
      (PriorServers + static_cast<double>(State.Backends.size()));
  return probabilityToLogOdds(std::clamp(Share, MinPriorFailureProbability,
                                         MaxPriorFailureProbability));
}

backend_record makeBackendRecord(const slot_allocator &State, time_point Now) {
  backend_record Record;
  Record.FailureEstimate = {State.PriorLogOdds, Now};
  Record.FailureProbability = logOddsToProbability(State.PriorLogOdds);
  Record.JoinedAt = Now;
  // Nothing is known of the use of the servers in the first list, which is that
  // of a new allocator, so they count as unused. Servers that join later get
  // their first request once they are warm.
  if (State.FirstBackendListAt)
    Record.LastGrantAt = Now;
  Record.RateLimiter.Share = State.RateLimitShare;
  // Older reports are about an earlier start of the server.
  if (State.FirstBackendListAt)
    Record.RateLimiter.ReportedAt = Now;
  Record.AwaitsFirstRequest = State.FirstBackendListAt.has_value();
  return Record;
}

bool isSameInstance(const backend_registration &Left,
                    const backend_registration &Right) {
  return Left.StartedAtUnixMs == Right.StartedAtUnixMs &&
         Left.Address == Right.Address;
}

} // namespace

std::size_t profileIndex(slot_allocator &State, const std::string &Work,
                         duration Target) {
  const auto Found = State.ProfileIndices.find(Work);
  if (Found != State.ProfileIndices.end())
    return Found->second;
  if (State.Profiles.size() >= MaxProfiles)
    return 0;
  State.Profiles.push_back(makeLatencyProfile(Target));
  State.ProfileIndices.emplace(Work, State.Profiles.size() - 1);
  return State.Profiles.size() - 1;
}

std::size_t profileIndex(slot_allocator &State, const slot_request &Request) {
  return profileIndex(State, Request.RequestClass,
                      Request.Target - Request.RequestedAt);
}

void refreshFailureProbability(const slot_allocator &State,
                               backend_record &Backend, time_point Now) {
  Backend.FailureProbability = logOddsToProbability(
      failureLogOdds(Backend, State.Profiles, State.PriorLogOdds, Now));
}

void refreshBackends(slot_allocator &State, time_point Now) {
  if (State.EvaluatedAt && Now - *State.EvaluatedAt < EvaluationInterval)
    return;
  State.EvaluatedAt = Now;
  State.PriorLogOdds = estimatePriorLogOdds(State);
  for (auto &[Name, Backend] : State.Backends) {
    std::erase_if(Backend.Leases, [Now](const slot_lease &Lease) {
      return Now > Lease.Deadline + OrphanedLeaseGrace;
    });
    refreshFailureProbability(State, Backend, Now);
  }
}

void applyKnownReports(slot_allocator &State, const slot_request &Request,
                       time_point Now) {
  for (const known_backend_report &Known : Request.KnownReports) {
    const auto Found = State.Backends.find(Known.Backend);
    if (Found == State.Backends.end())
      continue;
    backend_record &Backend = Found->second;
    if (Backend.Registration.StartedAtUnixMs != Known.StartedAtUnixMs)
      continue;
    applyReport(Backend.RateLimiter, Known.Limit, Known.LimitReportedAt, Now);
    Backend.Leaving = Backend.Leaving || Known.Leaving;
    holdOff(Backend, Request.Key.Host, Known.HeldUntil, Now);
  }
}

void setBackends(slot_allocator &State,
                 const std::vector<backend_registration> &Backends,
                 time_point Now) {
  State.PriorLogOdds = estimatePriorLogOdds(State);
  backend_records Next;
  for (const backend_registration &Registration : Backends) {
    const auto Known = State.Backends.find(Registration.Name);
    const bool IsKnown =
        Known != State.Backends.end() &&
        isSameInstance(Known->second.Registration, Registration);
    backend_record Record =
        IsKnown ? std::move(Known->second) : makeBackendRecord(State, Now);
    Record.Registration = Registration;
    Record.WarmedUpAt = Now + Registration.WarmUpRemaining;
    Next.emplace(Registration.Name, std::move(Record));
  }
  State.Backends = std::move(Next);
  if (!State.FirstBackendListAt)
    State.FirstBackendListAt = Now;
}

void setRole(slot_allocator &State, allocator_role Role, std::size_t HostCount,
             time_point Now) {
  // A host that allocates for itself uses its own share of the retry budget.
  State.RetryBudget.HostCount = Role == allocator_role::Local ? 1 : HostCount;
  const double Share = rateLimitShare(Role, HostCount);
  if (std::exchange(State.RateLimitShare, Share) == Share)
    return;
  for (auto &[Name, Backend] : State.Backends)
    setShare(Backend.RateLimiter, Share, Now);
}

void adoptLease(slot_allocator &State, const slot_lease_report &Report,
                time_point Now) {
  const auto Found = State.Backends.find(Report.Backend);
  if (Found == State.Backends.end() || Now > Report.Deadline)
    return;
  std::vector<slot_lease> &Leases = Found->second.Leases;
  if (std::ranges::find(Leases, Report.Key, &slot_lease::Key) != Leases.end())
    return;
  const std::size_t Profile =
      profileIndex(State, Report.RequestClass, Report.Deadline - Report.Start);
  Leases.push_back({Report.Key, Profile, Report.Start, Report.Deadline, false});
}

std::vector<suspicion_change> takeSuspicionChanges(slot_allocator &State,
                                                   time_point Now) {
  refreshBackends(State, Now);
  std::vector<suspicion_change> Changes;
  for (auto &[Name, Backend] : State.Backends) {
    const bool Next =
        Backend.Suspected
            ? Backend.FailureProbability >= TrustBelowProbability
            : Backend.FailureProbability > SuspectAboveProbability;
    if (Next == Backend.Suspected)
      continue;
    Backend.Suspected = Next;
    Changes.push_back(
        {Name, Next, Backend.FailureProbability, Backend.Leases.size()});
  }
  return Changes;
}

std::vector<rate_limit_change> takeRateLimitChanges(slot_allocator &State) {
  std::vector<rate_limit_change> Changes;
  for (auto &[Name, Backend] : State.Backends) {
    const rate_limit &Limit = Backend.RateLimiter.Limit;
    if (Limit == Backend.PublishedRateLimit)
      continue;
    Changes.push_back({Name, Backend.PublishedRateLimit, Limit});
    Backend.PublishedRateLimit = Limit;
  }
  return Changes;
}

} // namespace coriandertray
