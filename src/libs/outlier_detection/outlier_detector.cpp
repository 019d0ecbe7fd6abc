#include "outlier_detection/outlier_detector.h"

#include "outlier_detection/outlier_scores.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coriandertray {

namespace {

void addCounts(decayed_counts &Sum, const outcome_counts &Counts) {
  Sum.Succeeded += Counts.Succeeded;
  Sum.Failed += Counts.Failed;
  Sum.Late += Counts.Late;
  Sum.Slow += Counts.Slow;
}

void scaleCounts(decayed_counts &Counts, double Factor) {
  Counts.Succeeded *= Factor;
  Counts.Failed *= Factor;
  Counts.Late *= Factor;
  Counts.Slow *= Factor;
}

void decayCounts(outlier_detection_state &State,
                 const outlier_detection_policy &Policy, time_point Now) {
  const double HalfLives = toMilliseconds(Now - State.DecayedAt) /
                           toMilliseconds(Policy.CountHalfLife);
  const double Factor = std::exp2(-std::max(0.0, HalfLives));
  State.DecayedAt = Now;
  for (auto &[Name, Backend] : State.Backends) {
    scaleCounts(Backend.RecentCounts, Factor);
    for (auto &[Zone, Counts] : Backend.RecentCountsByZone)
      scaleCounts(Counts, Factor);
  }
}

void setStatus(backend_health &Backend, backend_status Status,
               std::uint32_t WeightPercent, std::string Reason,
               time_point Now) {
  Backend.Status = Status;
  Backend.WeightPercent = WeightPercent;
  Backend.Reason = std::move(Reason);
  Backend.ChangedAt = Now;
}

void resetScores(backend_health &Backend) {
  Backend.FailureScore = {};
  Backend.LatencyScore = {};
  Backend.CountsSinceTrialStart = {};
  Backend.BadReporters.clear();
}

duration ejectionTime(const outlier_detection_policy &Policy,
                      std::uint32_t Ejections) {
  constexpr std::uint32_t MaxDoublings = 10;
  const auto Doubled =
      Policy.BaseEjectionTime * (1U << std::min(Ejections, MaxDoublings));
  return std::min<duration>(Doubled, Policy.MaxEjectionTime);
}

// \returns the zones in which the backend server fails while requests from
// another zone succeed. The other zone must have seen so many successes that
// they are unlikely to be chance if the backend server itself were at fault.
std::vector<std::string> zonesWithFaultyPath(const backend_health &Backend) {
  constexpr double FaultyPathBadRate = 0.3;
  constexpr double SignificanceLevel = 0.02;
  constexpr double MinSucceeded = 3;
  const auto BadRate = [](const decayed_counts &Counts) {
    return std::max(failureRate(Counts), lateRate(Counts));
  };
  std::vector<std::string> FaultyZones;
  double WorstBadRate = 0;
  for (const auto &[Zone, Counts] : Backend.RecentCountsByZone) {
    if (BadRate(Counts) < FaultyPathBadRate)
      continue;
    FaultyZones.push_back(Zone);
    WorstBadRate = std::max(WorstBadRate, BadRate(Counts));
  }
  const bool HealthyElsewhere =
      std::ranges::any_of(Backend.RecentCountsByZone, [&](const auto &Entry) {
        const decayed_counts &Counts = Entry.second;
        const bool Healthy = BadRate(Counts) < FaultyPathBadRate / 3;
        const double ChanceProbability =
            std::pow(1 - WorstBadRate, Counts.Succeeded);
        return Healthy && Counts.Succeeded >= MinSucceeded &&
               ChanceProbability < SignificanceLevel;
      });
  if (!HealthyElsewhere)
    FaultyZones.clear();
  return FaultyZones;
}

bool isUnhealthy(const outlier_detection_state &State, std::string_view Name,
                 const outlier_detection_policy &Policy) {
  const backend_health &Backend = State.Backends.find(Name)->second;
  if (Backend.Status == backend_status::Trial)
    return std::max(Backend.FailureScore.Value, Backend.LatencyScore.Value) >=
           Policy.TrialThreshold;
  // Most backend servers are far below both thresholds; skip the more expensive
  // comparison with their siblings.
  if (Backend.FailureScore.Value < Policy.FailureThreshold &&
      Backend.LatencyScore.Value < Policy.LatencyThreshold)
    return false;
  const relative_scores Scores = relativeScores(State, Name);
  return Scores.Failure >= Policy.FailureThreshold ||
         Scores.Latency >= Policy.LatencyThreshold;
}

double severity(const backend_health &Backend) {
  return Backend.FailureScore.Value + Backend.LatencyScore.Value;
}

std::uint32_t weightedSlots(const backend_server &Server, backend_status Status,
                            std::uint32_t WeightPercent) {
  constexpr std::uint32_t FullWeightPercent = 100;
  if (Status == backend_status::Ejected || Status == backend_status::Leaving)
    return 0;
  return Server.Slots * WeightPercent / FullWeightPercent;
}

std::uint32_t slotsInService(const outlier_detection_state &State,
                             const service &Service) {
  return std::accumulate(
      Service.BackendServers.begin(), Service.BackendServers.end(), 0U,
      [&State](std::uint32_t Sum, const backend_server &Server) {
        const backend_health &Backend = State.Backends.at(Server.Name);
        return Sum +
               weightedSlots(Server, Backend.Status, Backend.WeightPercent);
      });
}

void syncWithManifest(outlier_detection_state &State, const service &Service,
                      time_point Now) {
  std::erase_if(State.Backends, [&Service](const auto &Entry) {
    return findBackendServer(Service, Entry.first) == nullptr;
  });
  for (const backend_server &Server : Service.BackendServers) {
    const auto [Position, IsNew] = State.Backends.try_emplace(Server.Name);
    if (IsNew)
      Position->second.ChangedAt = Now;
  }
}

void updateLeaving(outlier_detection_state &State,
                   const outlier_detection_policy &Policy,
                   const std::set<std::string, std::less<>> &Leaving,
                   time_point Now) {
  for (auto &[Name, Backend] : State.Backends) {
    const bool Listed = Leaving.contains(Name);
    const bool Drains = Backend.Draining;
    if (Listed || Drains) {
      if (Backend.Status != backend_status::Leaving)
        setStatus(Backend, backend_status::Leaving, 0,
                  Drains ? "it said that it drains"
                         : "the platform lists it as leaving",
                  Now);
    } else if (Backend.Status == backend_status::Leaving) {
      resetScores(Backend);
      setStatus(Backend, backend_status::Trial, Policy.TrialWeightPercent,
                "no longer leaving", Now);
    }
  }
}

void updateTrials(outlier_detection_state &State,
                  const outlier_detection_policy &Policy, time_point Now) {
  constexpr std::uint32_t InitialWeightPercent = 25;
  for (auto &[Name, Backend] : State.Backends) {
    if (Backend.Status == backend_status::Ejected &&
        Now >= Backend.EjectedUntil) {
      resetScores(Backend);
      Backend.RecentCounts = {};
      Backend.RecentCountsByZone.clear();
      setStatus(Backend, backend_status::Trial, Policy.TrialWeightPercent,
                "hold ended", Now);
      continue;
    }
    if (Backend.Status != backend_status::Trial ||
        isUnhealthy(State, Name, Policy))
      continue;
    const bool Passed =
        Backend.CountsSinceTrialStart.Succeeded >= Policy.TrialSuccesses;
    const bool Idle = Backend.CountsSinceTrialStart == outcome_counts{} &&
                      Now - Backend.ChangedAt >= Policy.TrialIdleTimeout;
    if (Passed || Idle)
      setStatus(Backend, backend_status::InService, InitialWeightPercent,
                Passed ? "trial passed" : "trial saw no traffic", Now);
  }
}

void advanceSlowStart(outlier_detection_state &State,
                      const outlier_detection_policy &Policy, time_point Now) {
  constexpr std::uint32_t FullWeightPercent = 100;
  for (auto &[Name, Backend] : State.Backends) {
    if (Backend.Status != backend_status::InService)
      continue;
    const duration InService = Now - Backend.ChangedAt;
    if (Backend.WeightPercent < FullWeightPercent &&
        InService >= Policy.SlowStartInterval)
      setStatus(Backend, backend_status::InService,
                std::min(FullWeightPercent, Backend.WeightPercent * 2),
                Backend.Reason, Now);
    else if (Backend.WeightPercent == FullWeightPercent &&
             InService >= Policy.EjectionCountResetTime)
      Backend.EjectionCount = 0;
  }
}

// If only the path from some zones is faulty, these zones avoid the backend
// server and it is not ejected. \returns whether that is the case.
bool handlePathFault(backend_health &Backend) {
  std::vector<std::string> FaultyZones = zonesWithFaultyPath(Backend);
  if (FaultyZones.empty())
    return false;
  Backend.AvoidZones = std::move(FaultyZones);
  Backend.Reason = "faulty path from some availability zones only";
  Backend.FailureScore = {};
  Backend.LatencyScore = {};
  return true;
}

void clearRecoveredPaths(backend_health &Backend) {
  constexpr double RecoveredBadCount = 0.5;
  std::erase_if(Backend.AvoidZones, [&Backend](const std::string &Zone) {
    const auto Found = Backend.RecentCountsByZone.find(Zone);
    return Found == Backend.RecentCountsByZone.end() ||
           Found->second.Failed + Found->second.Late < RecoveredBadCount;
  });
}

void eject(backend_health &Backend, const outlier_detection_policy &Policy,
           time_point Now) {
  const bool ByFailures =
      Backend.FailureScore.Value >= Backend.LatencyScore.Value;
  Backend.EjectedUntil = Now + ejectionTime(Policy, Backend.EjectionCount);
  ++Backend.EjectionCount;
  setStatus(Backend, backend_status::Ejected, 0,
            ByFailures ? "fails more than its siblings"
                       : "slower than its siblings",
            Now);
}

void ejectUnhealthy(outlier_detection_state &State,
                    const outlier_detection_policy &Policy,
                    const service &Service, time_point Now) {
  std::vector<const backend_server *> Unhealthy;
  for (const backend_server &Server : Service.BackendServers) {
    backend_health &Backend = State.Backends.at(Server.Name);
    const bool Eligible = Backend.Status == backend_status::InService ||
                          Backend.Status == backend_status::Trial;
    if (!Eligible || !isUnhealthy(State, Server.Name, Policy))
      continue;
    if (!handlePathFault(Backend))
      Unhealthy.push_back(&Server);
  }
  std::ranges::sort(Unhealthy, std::ranges::greater{},
                    [&State](const backend_server *Server) {
                      return severity(State.Backends.at(Server->Name));
                    });
  for (const backend_server *Server : Unhealthy) {
    backend_health &Backend = State.Backends.at(Server->Name);
    const std::uint32_t Freed =
        weightedSlots(*Server, Backend.Status, Backend.WeightPercent);
    if (slotsInService(State, Service) >= Service.FloorSlots + Freed)
      eject(Backend, Policy, Now);
    else
      Backend.Reason = "sick, kept for the floor";
  }
}

// Leaving and removed backend servers also reduce the capacity. To compensate,
// puts ejected backend servers and those at reduced weight back into full
// service, the least severe first, until the service has its floor again.
void restoreFloor(outlier_detection_state &State, const service &Service,
                  time_point Now) {
  std::vector<backend_health *> Restorable;
  for (auto &[Name, Backend] : State.Backends)
    if (Backend.Status == backend_status::Ejected ||
        (Backend.Status != backend_status::Leaving &&
         Backend.WeightPercent < 100))
      Restorable.push_back(&Backend);
  std::ranges::sort(Restorable, {}, [](const backend_health *Backend) {
    return severity(*Backend);
  });
  for (backend_health *Backend : Restorable) {
    if (slotsInService(State, Service) >= Service.FloorSlots)
      return;
    setStatus(*Backend, backend_status::InService, 100,
              "returned early for the floor", Now);
  }
}

} // namespace

void addEvidence(outlier_detection_state &State,
                 const outlier_detection_policy &Policy, const service &Service,
                 std::string_view Host, std::string_view Zone,
                 const service_evidence &Evidence, time_point Now) {
  syncWithManifest(State, Service, Now);
  decayCounts(State, Policy, Now);
  for (const auto &[Name, Item] : Evidence) {
    const auto Found = State.Backends.find(Name);
    if (Found == State.Backends.end())
      continue;
    backend_health &Backend = Found->second;
    const outcome_counts &Counts = Item.Counts;
    Backend.Draining = Backend.Draining || Item.Draining;
    updateScores(State, Name, Counts);
    addCounts(Backend.RecentCounts, Counts);
    addCounts(Backend.RecentCountsByZone[std::string(Zone)], Counts);
    Backend.CountsSinceTrialStart = Backend.CountsSinceTrialStart + Counts;
    if (Counts.Failed + Counts.Late > 0)
      Backend.BadReporters.emplace(Host);
  }
}

void recordDrainProbe(outlier_detection_state &State,
                      std::string_view BackendServer, bool Draining) {
  const auto Found = State.Backends.find(BackendServer);
  if (Found != State.Backends.end())
    Found->second.Draining = Draining;
}

std::vector<std::string>
drainingBackends(const outlier_detection_state &State) {
  std::vector<std::string> Names;
  for (const auto &[Name, Backend] : State.Backends)
    if (Backend.Draining)
      Names.push_back(Name);
  return Names;
}

void adoptVerdicts(outlier_detection_state &State,
                   const outlier_detection_policy &Policy,
                   const verdict_set &Verdicts, time_point Now) {
  for (const backend_verdict &Verdict : Verdicts.Verdicts) {
    backend_health &Backend = State.Backends[Verdict.BackendServer];
    setStatus(Backend, Verdict.Status, Verdict.WeightPercent, Verdict.Reason,
              Now);
    Backend.AvoidZones = Verdict.AvoidZones;
    if (Verdict.Status == backend_status::Ejected) {
      Backend.EjectionCount = 1;
      Backend.EjectedUntil = Now + Policy.BaseEjectionTime;
    }
    Backend.Draining = Verdict.Status == backend_status::Leaving;
  }
}

bool updateVerdicts(outlier_detection_state &State,
                    const outlier_detection_policy &Policy,
                    const service &Service,
                    const std::set<std::string, std::less<>> &Leaving,
                    time_point Now) {
  syncWithManifest(State, Service, Now);
  decayCounts(State, Policy, Now);
  const std::vector<backend_verdict> Before = currentVerdicts(State, Service);
  updateLeaving(State, Policy, Leaving, Now);
  updateTrials(State, Policy, Now);
  advanceSlowStart(State, Policy, Now);
  ejectUnhealthy(State, Policy, Service, Now);
  restoreFloor(State, Service, Now);
  for (auto &[Name, Backend] : State.Backends)
    clearRecoveredPaths(Backend);
  const std::vector<backend_verdict> After = currentVerdicts(State, Service);
  const auto SameDecision = [](const backend_verdict &Left,
                               const backend_verdict &Right) {
    return Left.BackendServer == Right.BackendServer &&
           Left.Status == Right.Status &&
           Left.WeightPercent == Right.WeightPercent &&
           Left.AvoidZones == Right.AvoidZones;
  };
  return !std::ranges::equal(Before, After, SameDecision);
}

std::vector<backend_verdict>
currentVerdicts(const outlier_detection_state &State, const service &Service) {
  std::vector<backend_verdict> Verdicts;
  for (const backend_server &Server : Service.BackendServers) {
    const auto Found = State.Backends.find(Server.Name);
    if (Found == State.Backends.end())
      continue;
    const backend_health &Backend = Found->second;
    Verdicts.push_back({Server.Name, Backend.Status, Backend.WeightPercent,
                        Backend.Reason, Backend.CountsSinceTrialStart,
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
        return Sum + weightedSlots(Server, Found->Status, Found->WeightPercent);
      });
}

} // namespace coriandertray
