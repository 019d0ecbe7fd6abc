#include "allocation/placement.h"

#include <algorithm>

namespace coriandertray {

namespace {

// Outweighs every other cost.
constexpr double CoverageBonus = 1.0;
constexpr duration WarmUpPatience = milliseconds(2500);

bool holds(const std::vector<std::string> &Names, const std::string &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

// A server that joined shows by a first request whether it is of use.
bool awaitsItsFirst(const backend_record &Backend, const slot_request &Request,
                    time_point Now) {
  if (!Backend.AwaitsFirstUse || !Backend.Uses.empty())
    return false;
  const time_point Ready = std::min(std::max(Backend.JoinedAt, Backend.WarmAt),
                                    Backend.JoinedAt + WarmUpPatience);
  return Now >= Ready && (Request.Idempotent || Now >= Ready + JoinPatience);
}

bool maybeSound(const backend_record &Backend, const placement_policy &Policy,
                time_point Now) {
  return takesWork(Backend) && Backend.Probability < Policy.SoundBelow &&
         Now - Backend.LastFailure > Policy.FailureMemory;
}

bool isCovered(const backend_record &Backend, const placement_policy &Policy,
               time_point Now) {
  return Now - Backend.LastGranted <= Policy.CoverageAge;
}

double costOf(const backend_record &Backend, const slot_request &Request,
              const placement_policy &Policy, bool CoverageWanted,
              time_point Now) {
  const double Loss =
      Request.Idempotent ? Policy.LossOfRepeatable : Policy.LossOfUnrepeatable;
  const auto Uses = static_cast<double>(Backend.Uses.size());
  double Cost = Backend.Probability * Loss +
                Policy.Crowding * Uses / Backend.Registration.Slots;
  if (Backend.Registration.Zone != Request.Zone)
    Cost += Policy.OtherZone;
  if (Backend.Probability > Policy.ProvenBelow)
    Cost += Policy.UnprovenCompany * Uses;
  if (Now < Backend.WarmAt)
    Cost += Policy.WarmUp;
  const bool Covers = CoverageWanted && Backend.Uses.empty() &&
                      maybeSound(Backend, Policy, Now) &&
                      !isCovered(Backend, Policy, Now);
  if (Covers || awaitsItsFirst(Backend, Request, Now))
    Cost -= CoverageBonus;
  return Cost;
}

} // namespace

bool mayTake(const backend_record &Backend, const slot_request &Request,
             time_point Now) {
  return takesWork(Backend) && Now >= Backend.FullUntil &&
         freeSlots(Backend) > 0 &&
         !holds(Request.Tried, Backend.Registration.Name) &&
         !holds(Request.Unreachable, Backend.Registration.Name);
}

coverage_state coverageOf(const backend_records &Backends,
                          const placement_policy &Policy, time_point Now) {
  coverage_state Coverage;
  for (const auto &[Name, Backend] : Backends) {
    if (!maybeSound(Backend, Policy, Now))
      continue;
    Coverage.Sound += 1;
    Coverage.Covered += isCovered(Backend, Policy, Now) ? 1 : 0;
  }
  return Coverage;
}

std::optional<priced_backend> cheapestPlace(backend_records &Backends,
                                            const slot_request &Request,
                                            const placement_policy &Policy,
                                            time_point Now) {
  const coverage_state Coverage = coverageOf(Backends, Policy, Now);
  const double Wanted =
      Request.Idempotent ? Policy.CoverageByRepeatable : Policy.CoverageByAny;
  const bool CoverageWanted = Coverage.Covered < Wanted * Coverage.Sound;
  std::optional<priced_backend> Best;
  for (auto &[Name, Backend] : Backends) {
    if (!mayTake(Backend, Request, Now))
      continue;
    const double Cost = costOf(Backend, Request, Policy, CoverageWanted, Now);
    if (!Best || Cost < Best->Cost)
      Best = {&Backend, Cost};
  }
  return Best;
}

double acceptedCost(const slot_request &Request, const placement_policy &Policy,
                    time_point Now) {
  const double Time =
      std::max(1.0, toMilliseconds(Request.Target - Request.Asked));
  const double Waited =
      std::max(0.0, toMilliseconds(Now - Request.Asked)) / Time;
  // Slowly at first: a slot of a proven server falls free soon.
  const double Part = Waited / Policy.TakesAnyAfter;
  return Policy.AtOnce + Part * Part;
}

} // namespace coriandertray
