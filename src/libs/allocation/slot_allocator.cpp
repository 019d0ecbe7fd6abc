#include "allocation/slot_allocator.h"

#include <algorithm>
#include <ranges>

namespace coriandertray {

namespace {

// Bounds of the failure probability of a server without any evidence.
constexpr double MinPriorFailureProbability = 0.05;
constexpr double MaxPriorFailureProbability = 0.4;
// The gap between the two thresholds keeps a server from being logged as
// suspected and trusted in quick succession.
constexpr double SuspectAboveProbability = 0.5;
constexpr double TrustBelowProbability = 0.3;
// A request is hedged when it takes longer than this quantile of its class.
constexpr double HedgeQuantile = 0.9;
// Share of the retry budget that hedges leave to retries after a failure.
constexpr double HedgeReservedShare = 0.3;
// Failure probabilities change slowly between events and are refreshed at most
// this often.
constexpr duration EvaluationInterval = milliseconds(4);
// A lease that is never released expires this long after its deadline.
constexpr duration OrphanedLeaseGrace = milliseconds(1500);
// Request classes beyond this number share the first profile.
constexpr std::size_t MaxProfiles = 512;
// A request is admitted if it is expected to end within its target latency plus
// this share of the time from there to its deadline.
constexpr double AdmittedLatenessShare = 0.5;
constexpr duration MinRetryAfter = milliseconds(100);
// A server that replaces those which are leaving is usually listed by then.
constexpr duration NoServerRetryAfter = milliseconds(500);

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

duration expectedDuration(slot_allocator &State, const slot_request &Request) {
  return medianDuration(State.Profiles[profileIndex(State, Request)]);
}

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

void refreshFailureProbability(const slot_allocator &State,
                               backend_record &Backend, time_point Now) {
  Backend.FailureProbability = logOddsToProbability(
      failureLogOdds(Backend, State.Profiles, State.PriorLogOdds, Now));
}

// Drops expired leases and refreshes all failure probabilities.
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

slot_answer grant(slot_allocator &State, backend_record &Backend,
                  const slot_request &Request, time_point Now) {
  const std::size_t Profile = profileIndex(State, Request);
  Backend.Leases.push_back({Request.Key, Profile, Now, Request.Deadline,
                            Backend.AwaitsFirstRequest});
  Backend.LastGrantAt = Now;
  consumeToken(Backend.RateLimiter, Now);
  Backend.AwaitsFirstRequest = false;
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Verdict = slot_verdict::Granted;
  Answer.Backend = Backend.Registration.Name;
  Answer.Address = Backend.Registration.Address;
  Answer.StartedAtUnixMs = Backend.Registration.StartedAtUnixMs;
  Answer.HedgeAfter = durationQuantile(State.Profiles[Profile], HedgeQuantile);
  return Answer;
}

slot_answer refusal(const slot_request &Request, std::string Reason,
                    duration RetryAfter) {
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Reason = std::move(Reason);
  Answer.RetryAfter = std::max<duration>(RetryAfter, MinRetryAfter);
  return Answer;
}

bool isHedge(const slot_request &Request) {
  return Request.RetryReason == retry_reason::Hedge;
}

time_point latestAdmittedEnd(const slot_request &Request) {
  return Request.Target +
         std::chrono::duration_cast<duration>(
             (Request.Deadline - Request.Target) * AdmittedLatenessShare);
}

// \returns when the first server may take \p Request, whether or not it has a
// free slot then; nothing if none of the servers will.
std::optional<time_point> earliestStart(const slot_allocator &State,
                                        const slot_request &Request,
                                        time_point Now) {
  std::optional<time_point> Earliest;
  for (const auto &[Name, Backend] : State.Backends) {
    if (!mayServe(Backend, Request))
      continue;
    const time_point Start =
        std::max(Now, heldUntil(Backend, Request.Key.Host));
    Earliest = std::min(Earliest.value_or(Start), Start);
  }
  return Earliest;
}

// Estimates how long \p Request waits for a slot behind the queued requests of
// the same or a higher urgency.
duration expectedWait(slot_allocator &State, const slot_request &Request,
                      time_point Now) {
  constexpr double MeanOverMedian = 1.3;
  const duration Expected = expectedDuration(State, Request);
  const double MeanSeconds = toSeconds(Expected) * MeanOverMedian;
  double Slots = 0;
  // Bounds the estimate when all servers look unhealthy: one of them will do.
  double MinSlots = 1;
  std::ptrdiff_t Free = 0;
  for (const auto &[Name, Backend] : State.Backends) {
    if (canServe(Backend, Request, Now))
      Free += startableRequests(Backend, Now);
    if (!mayServe(Backend, Request) ||
        heldUntil(Backend, Request.Key.Host) > latestAdmittedEnd(Request))
      continue;
    // A rate limit keeps some of the slots empty.
    const double UsableSlots =
        std::min<double>(Backend.Registration.Slots,
                         sustainedRate(Backend.RateLimiter) * MeanSeconds);
    Slots += UsableSlots * (1 - Backend.FailureProbability);
    MinSlots = std::min(MinSlots, UsableSlots);
  }
  const auto Ahead =
      std::ranges::count_if(State.Queue, [&Request](const slot_request &Other) {
        return !isHedge(Other) && Other.Priority <= Request.Priority;
      });
  // Queued requests that wait for a better server accept an unproven one in
  // the end, so each free slot serves one of them.
  if (Ahead < Free)
    return duration::zero();
  const double ServiceRounds =
      static_cast<double>(Ahead + 1) / std::max(MinSlots, Slots);
  return std::chrono::duration_cast<duration>(Expected * MeanOverMedian *
                                              ServiceRounds);
}

// Grants a hedge only at a server that is likely to respond.
std::optional<slot_answer>
tryHedge(slot_allocator &State, const slot_request &Request, time_point Now) {
  const std::optional<placement_candidate> Best =
      findCheapestBackend(State.Backends, Request, State.Policy, Now);
  if (!Best || Best->Backend->FailureProbability >
                   State.Policy.HedgeMaxFailureProbability)
    return std::nullopt;
  if (!tryConsumeRetry(State.RetryWindow, State.RetryLimits, HedgeReservedShare,
                       Now))
    return refusal(Request, "retry-budget", {});
  return grant(State, *Best->Backend, Request, Now);
}

std::optional<slot_answer>
tryGrant(slot_allocator &State, const slot_request &Request, time_point Now) {
  if (isHedge(Request))
    return tryHedge(State, Request, Now);
  const std::optional<placement_candidate> Best =
      findCheapestBackend(State.Backends, Request, State.Policy, Now);
  if (!Best || Best->Cost - Best->ZoneCost >
                   maxAcceptableCost(Request, State.Policy, Now))
    return std::nullopt;
  return grant(State, *Best->Backend, Request, Now);
}

slot_answer enqueue(slot_allocator &State, const slot_request &Request) {
  State.Queue.push_back(Request);
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Verdict = slot_verdict::Queued;
  return Answer;
}

// Orders the queue: hedges last, then by priority, then by target.
bool precedes(const slot_request &Left, const slot_request &Right) {
  if (isHedge(Left) != isHedge(Right))
    return isHedge(Right);
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  return Left.Target < Right.Target;
}

bool isNextInQueue(const slot_allocator &State, const slot_request &Request) {
  return std::ranges::none_of(State.Queue,
                              [&Request](const slot_request &Other) {
                                return !precedes(Request, Other);
                              });
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

void applyBackendReport(backend_record &Backend, const slot_release &Release,
                        time_point Now) {
  if (!Release.Report)
    return;
  if (Release.Report->Limit)
    applyReport(Backend.RateLimiter, *Release.Report->Limit, Now, Now);
  Backend.Leaving = Backend.Leaving || Release.Report->Leaving;
  holdOff(Backend, Release.Key.Host, Now + Release.Report->HoldOff, Now);
}

bool isSameInstance(const backend_registration &Left,
                    const backend_registration &Right) {
  return Left.StartedAtUnixMs == Right.StartedAtUnixMs &&
         Left.Address == Right.Address;
}

} // namespace

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
  const double Share = rateLimitShare(Role, HostCount);
  if (std::exchange(State.RateLimitShare, Share) == Share)
    return;
  for (auto &[Name, Backend] : State.Backends)
    setShare(Backend.RateLimiter, Share, Now);
}

slot_answer requestSlot(slot_allocator &State, const slot_request &Request,
                        time_point Now) {
  refreshBackends(State, Now);
  applyKnownReports(State, Request, Now);
  if (Request.RetryReason == retry_reason::None)
    recordRequest(State.RetryWindow, State.RetryLimits, Now);
  else if (!isHedge(Request) &&
           !tryConsumeRetry(State.RetryWindow, State.RetryLimits, 0, Now))
    return refusal(Request, "retry-budget", {});
  if (isNextInQueue(State, Request))
    if (std::optional<slot_answer> Granted = tryGrant(State, Request, Now))
      return *Granted;
  if (isHedge(Request))
    return enqueue(State, Request);
  const std::optional<time_point> Earliest = earliestStart(State, Request, Now);
  if (!Earliest && !State.Backends.empty())
    return refusal(Request, std::string(NoServerReason), NoServerRetryAfter);
  const duration Wait =
      std::max(expectedWait(State, Request, Now), Earliest.value_or(Now) - Now);
  if (Now + Wait + expectedDuration(State, Request) >
      latestAdmittedEnd(Request))
    return refusal(Request, "overloaded", Wait);
  return enqueue(State, Request);
}

void releaseSlot(slot_allocator &State, const slot_release &Release,
                 time_point Now) {
  for (auto &[Name, Backend] : State.Backends) {
    const auto Found =
        std::ranges::find(Backend.Leases, Release.Key, &slot_lease::Key);
    if (Found == Backend.Leases.end())
      continue;
    const slot_lease Lease = *Found;
    Backend.Leases.erase(Found);
    latency_profile &Profile = State.Profiles[Lease.Profile];
    recordOutcome(Backend, Lease, Release, Profile, State.PriorLogOdds, Now);
    applyBackendReport(Backend, Release, Now);
    if (Release.Outcome == slot_outcome::Succeeded)
      recordDuration(Profile, Release.Elapsed, Now);
    refreshFailureProbability(State, Backend, Now);
    return;
  }
  std::erase_if(State.Queue, [&Release](const slot_request &Request) {
    return Request.Key == Release.Key;
  });
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

std::vector<slot_answer> processQueue(slot_allocator &State, time_point Now) {
  std::vector<slot_answer> Answers;
  if (State.Queue.empty())
    return Answers;
  refreshBackends(State, Now);
  std::ranges::stable_sort(State.Queue, precedes);
  std::vector<slot_request> Remaining;
  for (slot_request &Request : State.Queue) {
    const std::optional<time_point> Earliest =
        earliestStart(State, Request, Now);
    if (!Earliest && !State.Backends.empty() && !isHedge(Request))
      Answers.push_back(
          refusal(Request, std::string(NoServerReason), NoServerRetryAfter));
    else if (Earliest.value_or(Now) + expectedDuration(State, Request) >
             Request.Deadline)
      Answers.push_back(
          refusal(Request, "deadline", Earliest.value_or(Now) - Now));
    else if (std::optional<slot_answer> Answer = tryGrant(State, Request, Now))
      Answers.push_back(std::move(*Answer));
    else
      Remaining.push_back(std::move(Request));
  }
  State.Queue = std::move(Remaining);
  return Answers;
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
