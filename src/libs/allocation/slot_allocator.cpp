#include "allocation/slot_allocator.h"

#include "allocation/admission_order.h"
#include "allocation/allocator_backends.h"
#include "allocation/pool_capacity.h"
#include "allocation/queue_estimate.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace coriandertray {

namespace {

// A request is hedged when it takes longer than this quantile of its class.
constexpr double HedgeQuantile = 0.9;
// Share of the retry budget that hedges leave to retries after a failure.
constexpr double HedgeReservedShare = 0.3;
// A server that replaces those which are leaving is usually listed by then.
constexpr duration NoServerRetryAfter = milliseconds(500);

slot_answer grant(slot_allocator &State, backend_record &Backend,
                  const slot_request &Request, const virtual_interval &Share,
                  time_point Now) {
  const std::size_t Profile = profileIndex(State, Request);
  if (!isHedge(Request))
    recordService(State.Shares, shareKey(Request), Share, Now);
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

slot_answer refusal(const slot_request &Request, std::string_view Reason,
                    duration RetryAfter) {
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Reason = Reason;
  Answer.RetryAfter = RetryAfter;
  return Answer;
}

// Refuses \p Request, whose caller will find room after \p Wait.
slot_answer refuseUntil(slot_allocator &State, const slot_request &Request,
                        std::string_view Reason, rejection Rejected,
                        time_point Now) {
  // The caller of a hedge is still waiting for the first attempt.
  if (isHedge(Request))
    return refusal(Request, Reason, MinRetryAfter);
  Rejected.Remaining = Request.Deadline - Now;
  return refusal(Request, Reason, scheduleReturn(State.Returns, Rejected, Now));
}

// Grants a hedge only at a server that is likely to respond.
std::optional<slot_answer>
tryHedge(slot_allocator &State, const slot_request &Request, time_point Now) {
  const std::optional<placement_candidate> Best =
      findCheapestBackend(State.Backends, Request, State.Policy, Now);
  if (!Best || Best->Backend->FailureProbability >
                   State.Policy.HedgeMaxFailureProbability)
    return std::nullopt;
  if (!tryConsumeRetry(State.RetryBudget, State.RetryLimits, Request.Key.Host,
                       HedgeReservedShare, Now))
    return refusal(Request, RetryBudgetReason, MinRetryAfter);
  return grant(State, *Best->Backend, Request, {}, Now);
}

std::optional<slot_answer> tryGrant(slot_allocator &State,
                                    const slot_request &Request,
                                    const virtual_interval &Share,
                                    time_point Now) {
  if (isHedge(Request))
    return tryHedge(State, Request, Now);
  const std::optional<placement_candidate> Best =
      findCheapestBackend(State.Backends, Request, State.Policy, Now);
  if (!Best || Best->Cost - Best->ZoneCost >
                   maxAcceptableCost(Request, State.Policy, Now))
    return std::nullopt;
  return grant(State, *Best->Backend, Request, Share, Now);
}

slot_answer enqueue(slot_allocator &State, const slot_request &Request,
                    const queue_position &Position) {
  State.Counts.Delayed += Position.Ahead == 0 ? 0 : 1;
  State.Queue.push_back(Request);
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Verdict = slot_verdict::Queued;
  return Answer;
}

// Refuses \p Request if it would end after its deadline behind the requests
// that stay in the queue before it. A request that a free server could take is
// only waiting for a better one.
std::optional<slot_answer> refuseIfTooLate(slot_allocator &State,
                                           const slot_request &Request,
                                           const ranked_request &Entry,
                                           const queue_pass &Pass,
                                           duration HeldFor) {
  if (isHedge(Request) || State.Backends.empty())
    return std::nullopt;
  const duration Wait = queuedWait(Pass, HeldFor);
  if (Pass.Now + Wait + Entry.Median <= Request.Deadline)
    return std::nullopt;
  if (Pass.Startable > 0 && startableNow(State.Backends, Request, Pass.Now) > 0)
    return std::nullopt;
  return refuseUntil(State, Request, OverloadedReason,
                     {Wait, {}, HeldFor, Pass.ServiceInterval}, Pass.Now);
}

// Grants a slot to \p Request or refuses it; nothing if it stays in the queue.
std::optional<slot_answer> serveOrRefuse(slot_allocator &State,
                                         const slot_request &Request,
                                         const ranked_request &Entry,
                                         const queue_pass &Pass) {
  const time_point Now = Pass.Now;
  const std::optional<time_point> Earliest =
      earliestStartIn(Pass, State, Request);
  if (!Earliest && !State.Backends.empty() && !isHedge(Request))
    return refuseUntil(State, Request, NoServerReason,
                       {NoServerRetryAfter, {}, {}, Pass.ServiceInterval}, Now);
  const duration HeldFor = Earliest.value_or(Now) - Now;
  if (Now + HeldFor + Entry.Median > Request.Deadline)
    return refuseUntil(State, Request, DeadlineReason,
                       {HeldFor, {}, HeldFor, Pass.ServiceInterval}, Now);
  if (Pass.Startable > 0)
    if (std::optional<slot_answer> Answer =
            tryGrant(State, Request, Entry.Share, Now))
      return Answer;
  return refuseIfTooLate(State, Request, Entry, Pass, HeldFor);
}

void countRefusal(rejection_counts &Counts, const slot_answer &Answer) {
  if (Answer.Verdict != slot_verdict::Refused)
    return;
  Counts.Overloaded += Answer.Reason == OverloadedReason ? 1 : 0;
  Counts.Deadline += Answer.Reason == DeadlineReason ? 1 : 0;
  Counts.NoServer += Answer.Reason == NoServerReason ? 1 : 0;
  Counts.RetryBudget += Answer.Reason == RetryBudgetReason ? 1 : 0;
}

slot_answer decideOnArrival(slot_allocator &State, const slot_request &Request,
                            time_point Now) {
  if (Request.RetryReason == retry_reason::None)
    recordRequest(State.RetryBudget, State.RetryLimits, Request.Key.Host, Now);
  else if (!isHedge(Request) &&
           !tryConsumeRetry(State.RetryBudget, State.RetryLimits,
                            Request.Key.Host, 0, Now))
    return refusal(Request, RetryBudgetReason, MinRetryAfter);
  if (!isHedge(Request))
    recordArrival(State.Shares, shareKey(Request), Now);
  const queue_position Position = findPosition(State, Request, Now);
  if (Position.Ahead == 0)
    if (std::optional<slot_answer> Granted =
            tryGrant(State, Request, Position.Entry.Share, Now))
      return *Granted;
  if (isHedge(Request))
    return enqueue(State, Request, Position);
  const rejection Expected = expectedWait(State, Request, Position, Now);
  if (!earliestStart(State.Backends, Request, Now) && !State.Backends.empty())
    return refuseUntil(State, Request, NoServerReason,
                       {NoServerRetryAfter, {}, {}, Expected.ServiceInterval},
                       Now);
  if (Now + Expected.Wait + Position.Entry.Median > latestAdmittedEnd(Request))
    return refuseUntil(State, Request, OverloadedReason, Expected, Now);
  return enqueue(State, Request, Position);
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

} // namespace

slot_answer requestSlot(slot_allocator &State, const slot_request &Request,
                        time_point Now) {
  refreshBackends(State, Now);
  applyKnownReports(State, Request, Now);
  if (!Request.RecentAttempts.empty())
    adoptAttempts(State.RetryBudget, State.RetryLimits, Request.Key.Host,
                  Request.RecentAttempts, Now);
  slot_answer Answer = decideOnArrival(State, Request, Now);
  countRefusal(State.Counts.OnArrival, Answer);
  return Answer;
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

std::vector<slot_answer> processQueue(slot_allocator &State, time_point Now) {
  std::vector<slot_answer> Answers;
  if (State.Queue.empty())
    return Answers;
  refreshBackends(State, Now);
  const std::vector<ranked_request> Ordered = orderQueue(State, Now);
  queue_pass Pass = beginPass(State, Ordered, Now);
  std::vector<slot_request> Remaining;
  for (const ranked_request &Entry : Ordered) {
    slot_request &Request = State.Queue[Entry.Index];
    std::optional<slot_answer> Answer =
        serveOrRefuse(State, Request, Entry, Pass);
    if (!Answer) {
      Pass.WorkAhead += meanDuration(Entry.Median);
      Remaining.push_back(std::move(Request));
      continue;
    }
    Pass.Startable -= Answer->Verdict == slot_verdict::Granted ? 1 : 0;
    countRefusal(State.Counts.WhileQueued, *Answer);
    Answers.push_back(std::move(*Answer));
  }
  State.Queue = std::move(Remaining);
  return Answers;
}

} // namespace coriandertray
