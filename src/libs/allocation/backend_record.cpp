#include "allocation/backend_record.h"

#include <algorithm>

namespace coriandertray {

namespace {

// Multiplied by the number of consecutive rejections.
constexpr duration RejectionBackoffStep = milliseconds(60);
constexpr std::uint32_t MaxConsecutiveRejections = 5;
// A server that holds off this many hosts at a time is short of capacity for
// all of them.
constexpr std::size_t OverloadedMinHolds = 3;

// Returns a newly joined server to waiting for its first request if that
// request did not reach it.
void awaitFirstRequestAgain(backend_record &Backend, const slot_lease &Lease,
                            time_point Now) {
  if (!Lease.IsFirstRequest)
    return;
  Backend.AwaitsFirstRequest = true;
  Backend.JoinedAt = std::max(Backend.JoinedAt, Now - MaxFirstRequestDelay);
}

} // namespace

bool isServing(const backend_record &Backend) {
  return !Backend.Registration.Draining && !Backend.Leaving &&
         !Backend.Misdirected;
}

std::uint32_t freeSlots(const backend_record &Backend) {
  const auto Used = static_cast<std::uint32_t>(Backend.Leases.size());
  return Backend.Registration.Slots -
         std::min(Backend.Registration.Slots, Used);
}

std::uint32_t startableRequests(const backend_record &Backend, time_point Now) {
  const double Tokens =
      std::max(0.0, availableTokens(Backend.RateLimiter, Now));
  const std::uint32_t Free = freeSlots(Backend);
  return Tokens < Free ? static_cast<std::uint32_t>(Tokens) : Free;
}

time_point heldUntil(const backend_record &Backend, const std::string &Host) {
  const auto Found = std::ranges::find(Backend.Holds, Host, &host_hold::Host);
  return Found == Backend.Holds.end()
             ? Backend.BackoffUntil
             : std::max(Backend.BackoffUntil, Found->Until);
}

void holdOff(backend_record &Backend, const std::string &Host, time_point Until,
             time_point Now) {
  if (Until <= std::max(Now, heldUntil(Backend, Host)))
    return;
  std::erase_if(Backend.Holds, [&](const host_hold &Hold) {
    return Hold.Host == Host || Hold.Until <= Now;
  });
  Backend.Holds.push_back({Host, Until});
  if (Backend.Holds.size() < OverloadedMinHolds)
    return;
  const time_point FirstEnd =
      std::ranges::min(Backend.Holds, {}, &host_hold::Until).Until;
  Backend.BackoffUntil = std::max(Backend.BackoffUntil, FirstEnd);
}

double failureLogOdds(const backend_record &Backend,
                      const std::vector<latency_profile> &Profiles,
                      double PriorLogOdds, time_point Now) {
  double LogOdds = decayedLogOdds(Backend.FailureEstimate, PriorLogOdds, Now);
  for (const slot_lease &Lease : Backend.Leases)
    LogOdds += noResponseWeight(
        survivalAt(Profiles[Lease.Profile], Now - Lease.Start));
  return LogOdds;
}

void recordOutcome(backend_record &Backend, const slot_lease &Lease,
                   const slot_release &Release, const latency_profile &Profile,
                   double PriorLogOdds, time_point Now) {
  const double Survival = survivalAt(Profile, Release.Elapsed);
  const auto Add = [&](double Weight) {
    addEvidence(Backend.FailureEstimate, Weight, Backend.Registration.Slots,
                PriorLogOdds, Now);
  };
  switch (Release.Outcome) {
  case slot_outcome::Succeeded:
    Backend.ConsecutiveRejections = 0;
    Add(successWeight(Survival));
    return;
  case slot_outcome::Failed:
    Backend.LastFailureAt = Now;
    Add(evidence_weight::Failure);
    return;
  case slot_outcome::Silent:
    Backend.LastFailureAt = Now;
    Add(noResponseWeight(Survival));
    return;
  case slot_outcome::Unreachable:
    returnToken(Backend.RateLimiter, Now);
    Add(evidence_weight::Unreachable);
    awaitFirstRequestAgain(Backend, Lease, Now);
    return;
  case slot_outcome::Full:
    Backend.ConsecutiveRejections =
        std::min(Backend.ConsecutiveRejections + 1, MaxConsecutiveRejections);
    Backend.BackoffUntil =
        std::max(Backend.BackoffUntil,
                 Now + RejectionBackoffStep * Backend.ConsecutiveRejections);
    Add(evidence_weight::Full);
    return;
  case slot_outcome::Misdirected:
    Backend.Misdirected = true;
    return;
  case slot_outcome::NotUsed:
    returnToken(Backend.RateLimiter, Now);
    awaitFirstRequestAgain(Backend, Lease, Now);
    return;
  }
}

} // namespace coriandertray
