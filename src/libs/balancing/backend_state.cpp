#include "balancing/backend_state.h"

#include "balancing/capacity_floor.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr failure_rate_hypotheses LocalHypotheses = {0.01, 0.3};
constexpr double SuspicionThreshold = 6;
constexpr duration BaseSuspicionTime = seconds(1);
constexpr std::uint32_t MaxSuspicionDoublings = 5;
constexpr duration UnreachableRetryDelay = milliseconds(200);
constexpr duration FullRetryDelay = milliseconds(4);
constexpr double EjectedSeverity = 1000;
constexpr double AvoidPathSeverity = 100;

void recordOutcome(backend_state &State, bool Good, time_point Now) {
  State.FailureScore = addOutcomes(State.FailureScore, LocalHypotheses,
                                   Good ? 1 : 0, Good ? 0 : 1);
  if (State.FailureScore.Value < SuspicionThreshold)
    return;
  State.FailureScore = {};
  const std::uint32_t Doublings =
      std::min(State.SuspicionCount, MaxSuspicionDoublings);
  State.SuspectUntil = Now + BaseSuspicionTime * (1U << Doublings);
  ++State.SuspicionCount;
}

void resetSuspicionCount(backend_state &State, time_point Now) {
  constexpr duration SuspicionResetTime = seconds(60);
  if (Now - State.SuspectUntil > SuspicionResetTime)
    State.SuspicionCount = 0;
}

floor_candidate toCandidate(const backend_state &State, time_point Now) {
  floor_candidate Candidate;
  Candidate.Slots = State.Server.Slots;
  Candidate.Leaving = State.Status == backend_status::Leaving || State.Draining;
  const bool Ejected = State.Status == backend_status::Ejected;
  const bool Suspect = Now < State.SuspectUntil;
  const bool Unreachable = Now < State.UnreachableUntil;
  Candidate.Excluded = Ejected || Suspect || Unreachable || State.AvoidPath;
  Candidate.Severity = State.FailureScore.Value +
                       (Ejected ? EjectedSeverity : 0) +
                       (State.AvoidPath ? AvoidPathSeverity : 0) +
                       (Unreachable ? 2 * EjectedSeverity : 0);
  return Candidate;
}

} // namespace

attempt_outcome outcomeForHealth(attempt_outcome Outcome, bool TimedOut,
                                 duration Elapsed,
                                 std::optional<duration> HungThreshold) {
  const bool CutOffEarly =
      TimedOut && HungThreshold && Elapsed < *HungThreshold;
  return CutOffEarly ? attempt_outcome::Cancelled : Outcome;
}

void beginAttempt(backend_state &State) { ++State.InFlight; }

void endAttempt(backend_state &State, attempt_outcome Outcome, double Jitter,
                time_point Now) {
  if (State.InFlight > 0)
    --State.InFlight;
  resetSuspicionCount(State, Now);
  const bool Responded = Outcome == attempt_outcome::Succeeded ||
                         Outcome == attempt_outcome::Refused;
  State.LastResponseAt = Responded ? Now : State.LastResponseAt;
  switch (Outcome) {
  case attempt_outcome::Succeeded:
    recordOutcome(State, true, Now);
    return;
  case attempt_outcome::Failed:
    recordOutcome(State, false, Now);
    return;
  case attempt_outcome::Refused:
    State.FullUntil = Now + std::chrono::duration_cast<duration>(
                                FullRetryDelay * (0.5 + Jitter));
    return;
  case attempt_outcome::Draining:
    recordDraining(State, true, Now);
    return;
  case attempt_outcome::Unreachable:
    recordOutcome(State, false, Now);
    State.UnreachableUntil = Now + UnreachableRetryDelay;
    return;
  case attempt_outcome::Cancelled:
    return;
  }
}

void recordLoad(backend_state &State, std::uint32_t Load, time_point Now) {
  State.ReportedLoad = Load;
  State.ReportedAt = Now;
}

void recordDraining(backend_state &State, bool Draining, time_point Now) {
  State.Draining = Draining;
  State.LastResponseAt = Now;
}

bool needsDrainProbe(const backend_state &State, bool WithoutAgent,
                     time_point Now) {
  constexpr duration MaxSilence = seconds(1);
  return State.Draining ||
         (WithoutAgent && Now - State.LastResponseAt >= MaxSilence);
}

void applyVerdicts(std::vector<backend_state> &States,
                   const std::vector<backend_verdict> &Verdicts,
                   std::string_view Zone) {
  for (backend_state &State : States) {
    const auto Found = std::ranges::find(Verdicts, State.Server.Name,
                                         &backend_verdict::BackendServer);
    const backend_verdict Verdict =
        Found == Verdicts.end() ? backend_verdict{} : *Found;
    State.Status = Verdict.Status;
    State.WeightPercent = Verdict.WeightPercent;
    State.AvoidPath =
        std::ranges::find(Verdict.AvoidZones, Zone) != Verdict.AvoidZones.end();
  }
}

std::vector<backend_state> reconfigure(const std::vector<backend_state> &States,
                                       const service &Service) {
  std::vector<backend_state> Next;
  for (const backend_server &Server : Service.BackendServers) {
    const auto Found =
        std::ranges::find_if(States, [&Server](const backend_state &State) {
          return State.Server.Name == Server.Name &&
                 State.Server.Address == Server.Address;
        });
    backend_state State = Found == States.end() ? backend_state{} : *Found;
    State.Server = Server;
    Next.push_back(std::move(State));
  }
  return Next;
}

std::vector<bool> usableBackends(const std::vector<backend_state> &States,
                                 std::uint32_t FloorSlots, time_point Now) {
  std::vector<floor_candidate> Candidates;
  std::ranges::transform(
      States, std::back_inserter(Candidates),
      [Now](const backend_state &State) { return toCandidate(State, Now); });
  std::vector<bool> Usable = applyFloor(Candidates, FloorSlots);
  Usable.flip();
  return Usable;
}

} // namespace coriandertray
