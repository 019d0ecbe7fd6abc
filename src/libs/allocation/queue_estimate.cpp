#include "allocation/queue_estimate.h"

#include "allocation/allocator_backends.h"

#include <algorithm>
#include <cstdint>

namespace coriandertray {

namespace {

// A request is admitted if it is expected to end within its target latency plus
// this share of the time from there to its deadline.
constexpr double AdmittedLatenessShare = 0.5;
// A request is expected to end within this quantile of its class when it is
// judged whether it can still meet its target.
constexpr double LikelyQuantile = 0.8;

admission_candidate candidateFor(slot_allocator &State,
                                 const slot_request &Request) {
  const latency_profile &Profile = State.Profiles[profileIndex(State, Request)];
  return {&Request, medianDuration(Profile),
          durationQuantile(Profile, LikelyQuantile)};
}

// Orders the queue, followed by \p Arriving unless it is null.
std::vector<ranked_request>
orderWith(slot_allocator &State, const slot_request *Arriving, time_point Now) {
  std::vector<admission_candidate> Candidates;
  Candidates.reserve(State.Queue.size() + 1);
  for (const slot_request &Request : State.Queue)
    Candidates.push_back(candidateFor(State, Request));
  if (Arriving)
    Candidates.push_back(candidateFor(State, *Arriving));
  return orderRequests(Candidates, State.Shares, Now);
}

} // namespace

time_point latestAdmittedEnd(const slot_request &Request) {
  return Request.Target +
         std::chrono::duration_cast<duration>(
             (Request.Deadline - Request.Target) * AdmittedLatenessShare);
}

std::vector<ranked_request> orderQueue(slot_allocator &State, time_point Now) {
  return orderWith(State, nullptr, Now);
}

queue_position findPosition(slot_allocator &State, const slot_request &Request,
                            time_point Now) {
  queue_position Position;
  for (const ranked_request &Entry : orderWith(State, &Request, Now)) {
    Position.Entry = Entry;
    if (Entry.Index == State.Queue.size())
      break;
    ++Position.Ahead;
    Position.WorkAhead += meanDuration(Entry.Median);
  }
  return Position;
}

rejection expectedWait(const slot_allocator &State, const slot_request &Request,
                       const queue_position &Position, time_point Now) {
  const duration Mean = meanDuration(Position.Entry.Median);
  const pool_capacity Capacity =
      capacityFor(State.Backends, Request, Mean, latestAdmittedEnd(Request));
  const duration HeldFor =
      earliestStart(State.Backends, Request, Now).value_or(Now) - Now;
  rejection Expected;
  Expected.ServiceInterval = timeToServe(Capacity, Mean);
  Expected.ServersClosedFor = std::max(HeldFor, Expected.ServiceInterval);
  // Queued requests that wait for a better server accept an unproven one in
  // the end, so each free slot serves one of them.
  const bool FindsFreeSlot =
      Position.Ahead < startableNow(State.Backends, Request, Now);
  Expected.Wait =
      FindsFreeSlot
          ? HeldFor
          : std::max(HeldFor, timeToServe(Capacity, Position.WorkAhead + Mean));
  return Expected;
}

queue_pass beginPass(const slot_allocator &State,
                     const std::vector<ranked_request> &Ordered,
                     time_point Now) {
  queue_pass Pass;
  Pass.Now = Now;
  duration Work{0};
  for (const ranked_request &Entry : Ordered)
    Work += meanDuration(Entry.Median);
  const duration Mean = Work / static_cast<std::int64_t>(Ordered.size());
  const time_point LatestDeadline =
      std::ranges::max(State.Queue, {}, &slot_request::Deadline).Deadline;
  Pass.Capacity = capacityForAll(State.Backends, Mean, LatestDeadline);
  Pass.ServiceInterval = timeToServe(Pass.Capacity, Mean);
  Pass.CommonStart = earliestStart(State.Backends, {}, Now);
  for (const auto &[Name, Backend] : State.Backends) {
    Pass.HasHolds = Pass.HasHolds || !Backend.Holds.empty();
    if (isServing(Backend))
      Pass.Startable += startableRequests(Backend, Now);
  }
  return Pass;
}

std::optional<time_point> earliestStartIn(const queue_pass &Pass,
                                          const slot_allocator &State,
                                          const slot_request &Request) {
  const bool IsCommon =
      !Pass.HasHolds && Request.Tried.empty() && Request.Unreachable.empty();
  return IsCommon ? Pass.CommonStart
                  : earliestStart(State.Backends, Request, Pass.Now);
}

duration queuedWait(const queue_pass &Pass, duration HeldFor) {
  return std::max(HeldFor, timeToServe(Pass.Capacity, Pass.WorkAhead));
}

} // namespace coriandertray
