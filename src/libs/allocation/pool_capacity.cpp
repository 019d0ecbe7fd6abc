#include "allocation/pool_capacity.h"

#include <algorithm>

namespace coriandertray {

namespace {

// The distribution of durations has a long upper tail.
constexpr double MeanOverMedian = 1.3;
// Keeps waits finite for servers that register without slots.
constexpr double MinPoolSlots = 1e-6;

duration scaled(duration Value, double Factor) {
  return std::chrono::duration_cast<duration>(Value * Factor);
}

// Adds up the slots of the servers for which \p IsUsable holds.
template <typename Predicate>
pool_capacity addCapacity(const backend_records &Backends, duration Mean,
                          const Predicate &IsUsable) {
  double Slots = 0;
  // Bounds the estimate when all servers look unhealthy: one of them will do.
  double MinSlots = 1;
  for (const auto &[Name, Backend] : Backends) {
    if (!IsUsable(Backend))
      continue;
    // A rate limit keeps some of the slots empty.
    const double UsableSlots =
        std::min<double>(Backend.Registration.Slots,
                         sustainedRate(Backend.RateLimiter) * toSeconds(Mean));
    Slots += UsableSlots * (1 - Backend.FailureProbability);
    MinSlots = std::min(MinSlots, UsableSlots);
  }
  return {std::max({MinPoolSlots, MinSlots, Slots})};
}

} // namespace

duration meanDuration(duration Median) {
  return scaled(Median, MeanOverMedian);
}

pool_capacity capacityFor(const backend_records &Backends,
                          const slot_request &Request, duration Mean,
                          time_point LatestStart) {
  return addCapacity(Backends, Mean, [&](const backend_record &Backend) {
    return mayServe(Backend, Request) &&
           heldUntil(Backend, Request.Key.Host) <= LatestStart;
  });
}

pool_capacity capacityForAll(const backend_records &Backends, duration Mean,
                             time_point LatestStart) {
  return addCapacity(Backends, Mean, [&](const backend_record &Backend) {
    return isServing(Backend) && Backend.BackoffUntil <= LatestStart;
  });
}

duration timeToServe(const pool_capacity &Capacity, duration Work) {
  return scaled(Work, 1 / Capacity.Slots);
}

std::optional<time_point> earliestStart(const backend_records &Backends,
                                        const slot_request &Request,
                                        time_point Now) {
  std::optional<time_point> Earliest;
  for (const auto &[Name, Backend] : Backends) {
    if (!mayServe(Backend, Request))
      continue;
    const time_point Start =
        std::max(Now, heldUntil(Backend, Request.Key.Host));
    Earliest = std::min(Earliest.value_or(Start), Start);
  }
  return Earliest;
}

std::size_t startableNow(const backend_records &Backends,
                         const slot_request &Request, time_point Now) {
  std::size_t Startable = 0;
  for (const auto &[Name, Backend] : Backends)
    if (canServe(Backend, Request, Now))
      Startable += startableRequests(Backend, Now);
  return Startable;
}

} // namespace coriandertray
