#include "outlier_detection/outlier_detector.h"

#include "outlier_detection/outlier_scores.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coriandertray {

namespace {

void addTo(decayed_counts &Sum, const outcome_counts &Counts) {
  Sum.Good += Counts.Succeeded;
  Sum.Failed += Counts.Failed;
  Sum.Late += Counts.Late;
  Sum.Slow += Counts.Slow;
}

void scale(decayed_counts &Counts, double Factor) {
  Counts.Good *= Factor;
  Counts.Failed *= Factor;
  Counts.Late *= Factor;
  Counts.Slow *= Factor;
}

void decayCounts(judge_state &State, const judge_policy &Policy,
                 time_point Now) {
  const double HalfLives = toMilliseconds(Now - State.DecayedAt) /
                           toMilliseconds(Policy.CountHalfLife);
  const double Factor = std::exp2(-std::max(0.0, HalfLives));
  State.DecayedAt = Now;
  for (auto &[Name, Backend] : State.Backends) {
    scale(Backend.Recent, Factor);
    for (auto &[Zone, Counts] : Backend.RecentByZone)
      scale(Counts, Factor);
  }
}

void changeStanding(judged_backend &Backend, standing Standing,
                    std::uint32_t WeightPercent, std::string Reason,
                    time_point Now) {
  Backend.Standing = Standing;
  Backend.WeightPercent = WeightPercent;
  Backend.Reason = std::move(Reason);
  Backend.ChangedAt = Now;
}

void clearScores(judged_backend &Backend) {
  Backend.Failures = {};
  Backend.Lates = {};
  Backend.SinceChange = {};
  Backend.BadReporters.clear();
}

duration holdAfter(const judge_policy &Policy, std::uint32_t Ejections) {
  constexpr std::uint32_t MaxDoublings = 10;
  const auto Doubled =
      Policy.BaseHold * (1U << std::min(Ejections, MaxDoublings));
  return std::min<duration>(Doubled, Policy.MaxHold);
}

// The zones that see the backend server fail while another zone has seen
// enough good answers to contradict them.
std::vector<std::string> faultyPaths(const judged_backend &Backend) {
  constexpr double FaultyShare = 0.3;
  constexpr double Contradiction = 0.02;
  constexpr double LeastGood = 3;
  const auto BadShare = [](const decayed_counts &Counts) {
    return std::max(failureShare(Counts), lateShare(Counts));
  };
  std::vector<std::string> Faulty;
  double WorstShare = 0;
  for (const auto &[Zone, Counts] : Backend.RecentByZone) {
    if (BadShare(Counts) < FaultyShare)
      continue;
    Faulty.push_back(Zone);
    WorstShare = std::max(WorstShare, BadShare(Counts));
  }
  const bool Contradicted =
      std::ranges::any_of(Backend.RecentByZone, [&](const auto &Entry) {
        const decayed_counts &Counts = Entry.second;
        const bool Clean = BadShare(Counts) < FaultyShare / 3;
        const double Chance = std::pow(1 - WorstShare, Counts.Good);
        return Clean && Counts.Good >= LeastGood && Chance < Contradiction;
      });
  if (!Contradicted)
    Faulty.clear();
  return Faulty;
}

bool isSick(const judge_state &State, std::string_view Name,
            const judge_policy &Policy) {
  const judged_backend &Backend = State.Backends.find(Name)->second;
  if (Backend.Standing == standing::Trial)
    return std::max(Backend.Failures.Value, Backend.Lates.Value) >=
           Policy.TrialThreshold;
  // Most are far from any threshold: their siblings need not be asked.
  if (Backend.Failures.Value < Policy.FailureThreshold &&
      Backend.Lates.Value < Policy.LateThreshold)
    return false;
  const relative_scores Scores = relativeScores(State, Name);
  return Scores.Failures >= Policy.FailureThreshold ||
         Scores.Lates >= Policy.LateThreshold;
}

double severity(const judged_backend &Backend) {
  return Backend.Failures.Value + Backend.Lates.Value;
}

std::uint32_t weightedSlots(const backend_server &Server, standing Standing,
                            std::uint32_t WeightPercent) {
  constexpr std::uint32_t Whole = 100;
  if (Standing == standing::Ejected || Standing == standing::Leaving)
    return 0;
  return Server.Slots * WeightPercent / Whole;
}

std::uint32_t slotsInService(const judge_state &State, const service &Service) {
  return std::accumulate(
      Service.BackendServers.begin(), Service.BackendServers.end(), 0U,
      [&State](std::uint32_t Sum, const backend_server &Server) {
        const judged_backend &Backend = State.Backends.at(Server.Name);
        return Sum +
               weightedSlots(Server, Backend.Standing, Backend.WeightPercent);
      });
}

void followManifest(judge_state &State, const service &Service,
                    time_point Now) {
  std::erase_if(State.Backends, [&Service](const auto &Entry) {
    return findBackendServer(Service, Entry.first) == nullptr;
  });
  for (const backend_server &Server : Service.BackendServers) {
    const auto [Place, IsNew] = State.Backends.try_emplace(Server.Name);
    if (IsNew)
      Place->second.ChangedAt = Now;
  }
}

void decideLeaving(judge_state &State, const judge_policy &Policy,
                   const std::set<std::string, std::less<>> &Leaving,
                   time_point Now) {
  for (auto &[Name, Backend] : State.Backends) {
    const bool Listed = Leaving.contains(Name);
    const bool Drains = Backend.Draining;
    if (Listed || Drains) {
      if (Backend.Standing != standing::Leaving)
        changeStanding(Backend, standing::Leaving, 0,
                       Drains ? "it said that it drains"
                              : "the platform lists it as leaving",
                       Now);
    } else if (Backend.Standing == standing::Leaving) {
      clearScores(Backend);
      changeStanding(Backend, standing::Trial, Policy.TrialWeightPercent,
                     "no longer leaving", Now);
    }
  }
}

void endTrials(judge_state &State, const judge_policy &Policy, time_point Now) {
  constexpr std::uint32_t FirstWeightPercent = 25;
  for (auto &[Name, Backend] : State.Backends) {
    if (Backend.Standing == standing::Ejected && Now >= Backend.HoldUntil) {
      clearScores(Backend);
      Backend.Recent = {};
      Backend.RecentByZone.clear();
      changeStanding(Backend, standing::Trial, Policy.TrialWeightPercent,
                     "hold ended", Now);
      continue;
    }
    if (Backend.Standing != standing::Trial || isSick(State, Name, Policy))
      continue;
    const bool Proven = Backend.SinceChange.Succeeded >= Policy.TrialSuccesses;
    const bool Silent = Backend.SinceChange == outcome_counts{} &&
                        Now - Backend.ChangedAt >= Policy.TrialSilence;
    if (Proven || Silent)
      changeStanding(Backend, standing::InService, FirstWeightPercent,
                     Proven ? "trial passed" : "trial saw no traffic", Now);
  }
}

void advanceSlowStart(judge_state &State, const judge_policy &Policy,
                      time_point Now) {
  constexpr std::uint32_t Whole = 100;
  for (auto &[Name, Backend] : State.Backends) {
    if (Backend.Standing != standing::InService)
      continue;
    const duration InService = Now - Backend.ChangedAt;
    if (Backend.WeightPercent < Whole && InService >= Policy.SlowStartStep)
      changeStanding(Backend, standing::InService,
                     std::min(Whole, Backend.WeightPercent * 2), Backend.Reason,
                     Now);
    else if (Backend.WeightPercent == Whole && InService >= Policy.Forgiveness)
      Backend.Ejections = 0;
  }
}

// A faulty path is avoided by the zones that have it; nobody ejects.
bool settleAsPathFault(judged_backend &Backend) {
  std::vector<std::string> Faulty = faultyPaths(Backend);
  if (Faulty.empty())
    return false;
  Backend.AvoidZones = std::move(Faulty);
  Backend.Reason = "faulty path from some availability zones only";
  Backend.Failures = {};
  Backend.Lates = {};
  return true;
}

void clearHealedPaths(judged_backend &Backend) {
  constexpr double SilentCount = 0.5;
  std::erase_if(Backend.AvoidZones, [&Backend](const std::string &Zone) {
    const auto Found = Backend.RecentByZone.find(Zone);
    return Found == Backend.RecentByZone.end() ||
           Found->second.Failed + Found->second.Late < SilentCount;
  });
}

void eject(judged_backend &Backend, const judge_policy &Policy,
           time_point Now) {
  const bool ByFailures = Backend.Failures.Value >= Backend.Lates.Value;
  Backend.HoldUntil = Now + holdAfter(Policy, Backend.Ejections);
  ++Backend.Ejections;
  changeStanding(Backend, standing::Ejected, 0,
                 ByFailures ? "fails more than its siblings"
                            : "slower than its siblings",
                 Now);
}

void ejectSick(judge_state &State, const judge_policy &Policy,
               const service &Service, time_point Now) {
  std::vector<const backend_server *> Sick;
  for (const backend_server &Server : Service.BackendServers) {
    judged_backend &Backend = State.Backends.at(Server.Name);
    const bool Judged = Backend.Standing == standing::InService ||
                        Backend.Standing == standing::Trial;
    if (!Judged || !isSick(State, Server.Name, Policy))
      continue;
    if (!settleAsPathFault(Backend))
      Sick.push_back(&Server);
  }
  std::ranges::sort(Sick, std::ranges::greater{},
                    [&State](const backend_server *Server) {
                      return severity(State.Backends.at(Server->Name));
                    });
  for (const backend_server *Server : Sick) {
    judged_backend &Backend = State.Backends.at(Server->Name);
    const std::uint32_t Freed =
        weightedSlots(*Server, Backend.Standing, Backend.WeightPercent);
    if (slotsInService(State, Service) >= Service.FloorSlots + Freed)
      eject(Backend, Policy, Now);
    else
      Backend.Reason = "sick, kept for the floor";
  }
}

// Leaving and removed backend servers take capacity away too; the ejected ones
// that look least sick come back until the floor holds again.
void restoreFloor(judge_state &State, const service &Service, time_point Now) {
  std::vector<judged_backend *> Ejected;
  for (auto &[Name, Backend] : State.Backends)
    if (Backend.Standing == standing::Ejected ||
        (Backend.Standing != standing::Leaving && Backend.WeightPercent < 100))
      Ejected.push_back(&Backend);
  std::ranges::sort(Ejected, {}, [](const judged_backend *Backend) {
    return severity(*Backend);
  });
  for (judged_backend *Backend : Ejected) {
    if (slotsInService(State, Service) >= Service.FloorSlots)
      return;
    changeStanding(*Backend, standing::InService, 100,
                   "returned early for the floor", Now);
  }
}

} // namespace

void addEvidence(judge_state &State, const judge_policy &Policy,
                 const service &Service, std::string_view Host,
                 std::string_view Zone, const service_evidence &Evidence,
                 time_point Now) {
  followManifest(State, Service, Now);
  decayCounts(State, Policy, Now);
  for (const auto &[Name, Item] : Evidence) {
    const auto Found = State.Backends.find(Name);
    if (Found == State.Backends.end())
      continue;
    judged_backend &Backend = Found->second;
    const outcome_counts &Counts = Item.Counts;
    Backend.Draining = Backend.Draining || Item.Draining;
    addScores(State, Name, Counts);
    addTo(Backend.Recent, Counts);
    addTo(Backend.RecentByZone[std::string(Zone)], Counts);
    Backend.SinceChange = Backend.SinceChange + Counts;
    if (Counts.Failed + Counts.Late > 0)
      Backend.BadReporters.emplace(Host);
  }
}

void noteProbe(judge_state &State, std::string_view BackendServer,
               bool Draining) {
  const auto Found = State.Backends.find(BackendServer);
  if (Found != State.Backends.end())
    Found->second.Draining = Draining;
}

std::vector<std::string> drainingBackends(const judge_state &State) {
  std::vector<std::string> Names;
  for (const auto &[Name, Backend] : State.Backends)
    if (Backend.Draining)
      Names.push_back(Name);
  return Names;
}

void adoptVerdicts(judge_state &State, const judge_policy &Policy,
                   const verdict_set &Verdicts, time_point Now) {
  for (const backend_verdict &Verdict : Verdicts.Verdicts) {
    judged_backend &Backend = State.Backends[Verdict.BackendServer];
    changeStanding(Backend, Verdict.Standing, Verdict.WeightPercent,
                   Verdict.Reason, Now);
    Backend.AvoidZones = Verdict.AvoidZones;
    if (Verdict.Standing == standing::Ejected) {
      Backend.Ejections = 1;
      Backend.HoldUntil = Now + Policy.BaseHold;
    }
    Backend.Draining = Verdict.Standing == standing::Leaving;
  }
}

bool decide(judge_state &State, const judge_policy &Policy,
            const service &Service,
            const std::set<std::string, std::less<>> &Leaving, time_point Now) {
  followManifest(State, Service, Now);
  decayCounts(State, Policy, Now);
  const std::vector<backend_verdict> Before = currentVerdicts(State, Service);
  decideLeaving(State, Policy, Leaving, Now);
  endTrials(State, Policy, Now);
  advanceSlowStart(State, Policy, Now);
  ejectSick(State, Policy, Service, Now);
  restoreFloor(State, Service, Now);
  for (auto &[Name, Backend] : State.Backends)
    clearHealedPaths(Backend);
  const std::vector<backend_verdict> After = currentVerdicts(State, Service);
  const auto SameDecision = [](const backend_verdict &Left,
                               const backend_verdict &Right) {
    return Left.BackendServer == Right.BackendServer &&
           Left.Standing == Right.Standing &&
           Left.WeightPercent == Right.WeightPercent &&
           Left.AvoidZones == Right.AvoidZones;
  };
  return !std::ranges::equal(Before, After, SameDecision);
}

std::vector<backend_verdict> currentVerdicts(const judge_state &State,
                                             const service &Service) {
  std::vector<backend_verdict> Verdicts;
  for (const backend_server &Server : Service.BackendServers) {
    const auto Found = State.Backends.find(Server.Name);
    if (Found == State.Backends.end())
      continue;
    const judged_backend &Backend = Found->second;
    Verdicts.push_back({Server.Name, Backend.Standing, Backend.WeightPercent,
                        Backend.Reason, Backend.SinceChange,
                        static_cast<std::uint32_t>(Backend.BadReporters.size()),
                        Backend.AvoidZones});
  }
  return Verdicts;
}

std::uint32_t slotsInService(const service &Service,
                             const std::vector<backend_verdict> &Verdicts) {
  return std::accumulate(
      Service.BackendServers.begin(), Service.BackendServers.end(), 0U,
      [&Verdicts](std::uint32_t Sum, const backend_server &Server) {
        const auto Found = std::ranges::find(Verdicts, Server.Name,
                                             &backend_verdict::BackendServer);
        if (Found == Verdicts.end())
          return Sum + Server.Slots;
        return Sum +
               weightedSlots(Server, Found->Standing, Found->WeightPercent);
      });
}

} // namespace coriandertray
