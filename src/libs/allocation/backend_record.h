/// \file
/// What the allocator of a service knows of one backend server, and how likely
/// it takes the server to lose the next request.
#pragma once

#include "allocation/failure_estimate.h"
#include "allocation/latency_profile.h"
#include "allocation/slot_messages.h"
#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// One request at a backend server.
struct slot_lease {
  slot_key Key;
  /// Index of its kind of work in the profiles.
  std::size_t Profile = 0;
  time_point Start;
  time_point Deadline;
  /// Whether it is the first one of a server that joined.
  bool IsFirstRequest = false;
  bool operator==(const slot_lease &) const = default;
};

/// Plain state; not thread-safe.
struct backend_record {
  backend_registration Registration;
  std::vector<slot_lease> Leases;
  failure_estimate FailureEstimate;
  /// How likely it loses a request, as last evaluated.
  double FailureProbability = 0;
  time_point JoinedAt;
  time_point LastGrantAt;
  time_point LastFailureAt;
  time_point WarmedUpAt;
  /// It refused work; gets none before this time.
  time_point BackoffUntil;
  std::uint32_t ConsecutiveRejections = 0;
  /// Whether it came while the allocator was at work, and has had no request.
  bool AwaitsFirstRequest = false;
  /// Another backend server answers at its address.
  bool Misdirected = false;
  /// Whether the last logged belief was that it is sick.
  bool Suspected = false;
};

/// \returns whether it may get work at all.
[[nodiscard]] bool isServing(const backend_record &Backend);

/// \returns the slots that no request uses.
[[nodiscard]] std::uint32_t freeSlots(const backend_record &Backend);

/// \returns the log odds that it loses a request, with the silence of those
/// under way; \p PriorLogOdds are those of a server of which nothing is known.
[[nodiscard]] double
failureLogOdds(const backend_record &Backend,
               const std::vector<latency_profile> &Profiles,
               double PriorLogOdds, time_point Now);

/// Notes how \p Lease ended, which is no longer among the uses.
void recordOutcome(backend_record &Backend, const slot_lease &Lease,
                   const slot_release &Release, const latency_profile &Profile,
                   double PriorLogOdds, time_point Now);

/// A server that joins is to get a request within this time of being warm.
inline constexpr duration MaxFirstRequestDelay = milliseconds(800);

} // namespace coriandertray
