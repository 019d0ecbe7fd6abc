#include "service_runtime.h"

#include <algorithm>
#include <utility>

namespace coriandertray {

namespace {

// Attempts of one request that bypass the queue.
constexpr std::uint32_t MaxDirectAttempts = 6;
constexpr milliseconds MinParkTime{4};
constexpr milliseconds MaxParkTime{50};
// Assumed until enough requests are recorded.
constexpr duration DefaultServiceTime = milliseconds(1);
constexpr double MedianQuantile = 0.5;

choice_request makeChoice(service_runtime &Runtime,
                          const routed_request &Request) {
  choice_request Choice;
  Choice.Policy = Runtime.Policy;
  Choice.Idempotent = Request.Idempotent;
  Choice.Tried = Request.Tried;
  Choice.FloorSlots = Runtime.Config.FloorSlots;
  Choice.FirstRandom = Runtime.Random();
  Choice.SecondRandom = Runtime.Random();
  Choice.RoundRobinTurn = Runtime.RoundRobinTurn++;
  return Choice;
}

// The fleet parks enough requests to fill each slot as soon as it becomes free.
// It parks no more, because requests that wait in the proxy can still go to any
// backend server. Each live host gets an equal part of the limit.
std::uint32_t parkLimit(const service_runtime &Runtime) {
  constexpr std::uint32_t ParkedPerSlot = 2;
  const std::uint32_t FleetLimit = ParkedPerSlot * totalSlots(Runtime.Config);
  return std::max(1U, (FleetLimit + Runtime.LiveHosts - 1) / Runtime.LiveHosts);
}

duration estimateServiceTime(const service_runtime &Runtime) {
  return Runtime.Latency.quantile(MedianQuantile).value_or(DefaultServiceTime);
}

// Long enough for a slot to become free, short enough to try another backend
// server soon when all slots of this one are occupied by stragglers.
milliseconds parkTime(const service_runtime &Runtime) {
  constexpr int ParkTimeDivisor = 4;
  const auto Part = std::chrono::duration_cast<milliseconds>(
      estimateServiceTime(Runtime) / ParkTimeDivisor);
  return std::clamp(Part, MinParkTime, MaxParkTime);
}

std::optional<placement> placeParked(service_runtime &Runtime,
                                     const routed_request &Request,
                                     time_point Now) {
  if (Runtime.Parked >= parkLimit(Runtime))
    return std::nullopt;
  choice_request Choice = makeChoice(Runtime, Request);
  Choice.AllowFull = true;
  std::optional<std::size_t> Backend =
      chooseBackend(Runtime.Backends, Choice, Now);
  if (!Backend) {
    Choice.Tried.clear();
    Backend = chooseBackend(Runtime.Backends, Choice, Now);
  }
  if (!Backend)
    return std::nullopt;
  return placement{*Backend, parkTime(Runtime), true};
}

// The slot interval depends on the mean service time. It is estimated from the
// median: the mean is higher, more so with stragglers.
throughput_estimate estimateThroughput(const service_runtime &Runtime) {
  constexpr int MeanToMedianRatio = 2;
  const duration ServiceTime = estimateServiceTime(Runtime);
  const auto Slots = std::max(1U, totalSlots(Runtime.Config));
  return {ServiceTime,
          MeanToMedianRatio * ServiceTime * Runtime.LiveHosts / Slots};
}

bool isSlow(const service_runtime &Runtime, const ended_attempt &Attempt) {
  const std::optional<duration> SlowThreshold = Runtime.Latency.slowThreshold();
  return !Attempt.WasLate && SlowThreshold && Attempt.Elapsed > *SlowThreshold;
}

// Removes a request from the map and wakes its coroutine.
void wakeAndErase(service_runtime &Runtime, std::uint64_t Id) {
  const auto Found = Runtime.Queued.find(Id);
  Found->second->WakeTimer.cancel();
  Runtime.Queued.erase(Found);
}

} // namespace

service_runtime::service_runtime(service Service)
    : Config(std::move(Service)), Backends(coriandertray::reconfigure(
                                      std::vector<backend_state>{}, Config)),
      RouteLatency(Config.Routes.size()) {}

void reconfigure(service_runtime &Runtime, const service &Config,
                 std::string_view Zone) {
  if (Runtime.Config == Config)
    return;
  Runtime.Backends = reconfigure(Runtime.Backends, Config);
  Runtime.Config = Config;
  Runtime.RouteLatency.assign(Config.Routes.size(), latency_tracker());
  applyVerdicts(Runtime.Backends, Runtime.Verdicts.Verdicts, Zone);
}

bool replaceVerdicts(service_runtime &Runtime, const verdict_set &Verdicts,
                     std::string_view Zone) {
  if (Verdicts.Version < Runtime.Verdicts.Version)
    return false;
  Runtime.Verdicts = Verdicts;
  applyVerdicts(Runtime.Backends, Verdicts.Verdicts, Zone);
  return true;
}

std::optional<placement> placeDirectly(service_runtime &Runtime,
                                       const routed_request &Request,
                                       time_point Now) {
  const bool Baseline = Runtime.Policy != balancing_policy::LateBinding;
  if (!Baseline &&
      (Request.DirectAttempts >= MaxDirectAttempts || Runtime.Queue.size() > 0))
    return std::nullopt;
  const std::optional<std::size_t> Backend =
      chooseBackend(Runtime.Backends, makeChoice(Runtime, Request), Now);
  if (!Backend)
    return std::nullopt;
  // The baseline policies leave queueing to the backend servers.
  const auto Remaining =
      std::chrono::ceil<milliseconds>(Request.Deadline - Now);
  return placement{*Backend, Baseline ? Remaining : milliseconds(0), false};
}

std::optional<placement> placeHedge(service_runtime &Runtime,
                                    const routed_request &Request,
                                    time_point Now) {
  const std::optional<std::size_t> Backend =
      chooseBackend(Runtime.Backends, makeChoice(Runtime, Request), Now);
  if (!Backend)
    return std::nullopt;
  return placement{*Backend, milliseconds(0), false};
}

bool queueAdmits(const service_runtime &Runtime, time_point Deadline,
                 time_point Now) {
  return Runtime.Queue.size() < Runtime.Config.QueueLimit &&
         Runtime.Queue.canMeetDeadline(Deadline, estimateThroughput(Runtime),
                                       Now);
}

bool wouldAdmit(const service_runtime &Runtime, time_point Deadline,
                time_point Now) {
  return Runtime.Queue.size() == 0 || queueAdmits(Runtime, Deadline, Now);
}

void dispatchQueue(service_runtime &Runtime, time_point Now) {
  for (const std::uint64_t Id :
       Runtime.Queue.expired(estimateServiceTime(Runtime), Now)) {
    Runtime.Queue.remove(Id);
    Runtime.Queued.at(Id)->Refused = true;
    wakeAndErase(Runtime, Id);
  }
  for (;;) {
    const std::optional<std::uint64_t> Id = Runtime.Queue.front();
    if (!Id)
      return;
    queued_request &Waiting = *Runtime.Queued.at(*Id);
    Waiting.Place = placeParked(Runtime, *Waiting.Request, Now);
    if (!Waiting.Place)
      return;
    // Counted before the attempt starts, so that parkLimit() already applies to
    // the next request in the queue.
    ++Runtime.Parked;
    Runtime.Queue.dispatch(*Id);
    wakeAndErase(Runtime, *Id);
  }
}

std::optional<std::size_t> backendIndex(const service_runtime &Runtime,
                                        std::size_t Hint,
                                        std::string_view Name) {
  const std::vector<backend_state> &Backends = Runtime.Backends;
  if (Hint < Backends.size() && Backends[Hint].Server.Name == Name)
    return Hint;
  const auto Found =
      std::ranges::find_if(Backends, [Name](const backend_state &State) {
        return State.Server.Name == Name;
      });
  if (Found == Backends.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Backends.begin());
}

void recordAttemptEnd(service_runtime &Runtime, const ended_attempt &Attempt,
                      time_point Now) {
  const auto Index =
      backendIndex(Runtime, Attempt.Backend, Attempt.BackendName);
  if (!Index)
    return;
  const double Jitter = std::uniform_real_distribution<>(0, 1)(Runtime.Random);
  endAttempt(Runtime.Backends[*Index], Attempt.Outcome, Jitter, Now);
  backend_evidence &Item = Runtime.Evidence[Attempt.BackendName];
  outcome_counts &Counts = Item.Counts;
  switch (Attempt.Outcome) {
  case attempt_outcome::Succeeded:
    Counts.Succeeded += Attempt.WasLate ? 0 : 1;
    Counts.Slow += isSlow(Runtime, Attempt) ? 1 : 0;
    break;
  case attempt_outcome::Failed:
  case attempt_outcome::Unreachable:
    Counts.Failed += Attempt.WasHung ? 0 : 1;
    break;
  case attempt_outcome::Refused:
    ++Counts.Refused;
    break;
  case attempt_outcome::Draining:
    Item.Draining = true;
    break;
  case attempt_outcome::Cancelled:
    break;
  }
}

void recordLateAttempt(service_runtime &Runtime,
                       const std::string &BackendName) {
  ++Runtime.Evidence[BackendName].Counts.Late;
}

void recordParkedAttemptEnd(service_runtime &Runtime,
                            const std::string &Account, attempt_outcome Outcome,
                            time_point Now) {
  --Runtime.Parked;
  if (Outcome == attempt_outcome::Refused)
    Runtime.Queue.recordRefused(Account);
  else
    Runtime.Queue.recordAccepted(estimateThroughput(Runtime), Now);
}

void recordHungAttempt(service_runtime &Runtime,
                       const std::string &BackendName) {
  ++Runtime.Evidence[BackendName].Counts.Failed;
}

std::optional<duration> lateThreshold(const service_runtime &Runtime,
                                      std::size_t RouteIndex) {
  if (RouteIndex >= Runtime.RouteLatency.size())
    return std::nullopt;
  const auto RouteThreshold = Runtime.RouteLatency[RouteIndex].lateThreshold();
  return RouteThreshold ? RouteThreshold : Runtime.Latency.lateThreshold();
}

std::vector<backend_server> serversToProbe(const service_runtime &Runtime,
                                           bool WithoutAgent, time_point Now) {
  std::vector<backend_server> Servers;
  for (const backend_state &State : Runtime.Backends)
    if (needsDrainProbe(State, WithoutAgent, Now))
      Servers.push_back(State.Server);
  return Servers;
}

service_evidence takeEvidence(service_runtime &Runtime) {
  return std::exchange(Runtime.Evidence, {});
}

} // namespace coriandertray
