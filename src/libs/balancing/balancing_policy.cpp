#include "balancing/balancing_policy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace coriandertray {

namespace {

constexpr std::uint32_t FullPercent = 100;
// A reported load older than this is ignored.
constexpr duration ReportedLoadMaxAge = milliseconds(100);

constexpr std::array<std::pair<std::string_view, balancing_policy>, 3>
    PolicyNames = {{{"round-robin", balancing_policy::RoundRobin},
                    {"least-in-flight", balancing_policy::LeastInFlight},
                    {"late-binding", balancing_policy::LateBinding}}};

// Draws by weight whether a server at reduced weight may get the request. A
// server on trial gets one request at a time, mostly idempotent ones.
bool admitsByWeight(const backend_state &State, const choice_request &Request) {
  if (State.WeightPercent >= FullPercent)
    return true;
  if (State.Status == backend_status::Trial && State.InFlight > 0)
    return false;
  const bool Drawn =
      Request.FirstRandom % FullPercent < std::max(State.WeightPercent, 1U);
  // A request that is not idempotent can't be retried if the server fails it,
  // so a server on trial gets only a quarter of them.
  const bool AllowedOnTrial = State.Status != backend_status::Trial ||
                              Request.Idempotent ||
                              Request.SecondRandom % 4 == 0;
  return Drawn && AllowedOnTrial;
}

bool hasFreeSlot(const backend_state &State, time_point Now) {
  return Now >= State.FullUntil && State.InFlight < State.Server.Slots;
}

double loadScore(const backend_state &State, time_point Now) {
  const bool IsFresh = Now - State.ReportedAt < ReportedLoadMaxAge;
  const std::uint32_t Load =
      IsFresh ? std::max(State.ReportedLoad, State.InFlight) : State.InFlight;
  return static_cast<double>(Load) / State.Server.Slots;
}

std::vector<std::size_t> candidates(const std::vector<backend_state> &States,
                                    const choice_request &Request,
                                    time_point Now) {
  const std::vector<bool> Usable =
      usableBackends(States, Request.FloorSlots, Now);
  std::vector<std::size_t> Indexes;
  for (std::size_t Index = 0; Index < States.size(); ++Index) {
    const bool Tried = Index < Request.Tried.size() && Request.Tried[Index];
    if (!Usable[Index] || Tried)
      continue;
    // Ejected but usable: the floor keeps it in service, at full weight.
    const bool HeldByFloor = States[Index].Status == backend_status::Ejected;
    if (!HeldByFloor && !admitsByWeight(States[Index], Request))
      continue;
    const bool NeedsFreeSlot =
        Request.Policy == balancing_policy::LateBinding && !Request.AllowFull;
    if (!NeedsFreeSlot || hasFreeSlot(States[Index], Now))
      Indexes.push_back(Index);
  }
  return Indexes;
}

std::size_t leastInFlight(const std::vector<backend_state> &States,
                          const std::vector<std::size_t> &Indexes,
                          std::uint64_t Random) {
  const auto Start = Random % Indexes.size();
  std::size_t Best = Indexes[Start];
  for (std::size_t Step = 1; Step < Indexes.size(); ++Step) {
    const std::size_t Index = Indexes[(Start + Step) % Indexes.size()];
    if (States[Index].InFlight < States[Best].InFlight)
      Best = Index;
  }
  return Best;
}

std::size_t lessLoadedOfTwo(const std::vector<backend_state> &States,
                            const std::vector<std::size_t> &Indexes,
                            const choice_request &Request, time_point Now) {
  const std::size_t First =
      Indexes[Request.FirstRandom / FullPercent % Indexes.size()];
  const std::size_t Second = Indexes[Request.SecondRandom % Indexes.size()];
  return loadScore(States[Second], Now) < loadScore(States[First], Now) ? Second
                                                                        : First;
}

} // namespace

std::optional<balancing_policy> balancingPolicyFromName(std::string_view Name) {
  const auto *Found = std::ranges::find(
      PolicyNames, Name, &std::pair<std::string_view, balancing_policy>::first);
  if (Found == PolicyNames.end())
    return std::nullopt;
  return Found->second;
}

std::optional<std::size_t>
chooseBackend(const std::vector<backend_state> &States,
              const choice_request &Request, time_point Now) {
  const std::vector<std::size_t> Indexes = candidates(States, Request, Now);
  if (Indexes.empty())
    return std::nullopt;
  switch (Request.Policy) {
  case balancing_policy::RoundRobin:
    return Indexes[Request.RoundRobinTurn % Indexes.size()];
  case balancing_policy::LeastInFlight:
    return leastInFlight(States, Indexes, Request.FirstRandom / FullPercent);
  case balancing_policy::LateBinding:
    return lessLoadedOfTwo(States, Indexes, Request, Now);
  }
  return std::nullopt;
}

} // namespace coriandertray
