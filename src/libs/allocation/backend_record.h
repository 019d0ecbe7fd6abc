/// \file
/// The allocator's view of one backend server, including the estimated
/// probability that the server loses the next request.
#pragma once

#include "allocation/failure_estimate.h"
#include "allocation/latency_profile.h"
#include "allocation/rate_limit.h"
#include "allocation/slot_messages.h"
#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// A slot held by one request in flight at a backend server.
struct slot_lease {
  slot_key Key;
  /// Index of the latency profile of the request's class.
  std::size_t Profile = 0;
  time_point Start;
  time_point Deadline;
  /// Whether this is the first request granted to a newly joined server.
  bool IsFirstRequest = false;
  bool operator==(const slot_lease &) const = default;
};

/// A backend server wants no requests from one host for a while.
struct host_hold {
  std::string Host;
  time_point Until;
  bool operator==(const host_hold &) const = default;
};

/// Plain state; not thread-safe.
struct backend_record {
  backend_registration Registration;
  std::vector<slot_lease> Leases;
  failure_estimate FailureEstimate;
  /// Probability that the server loses a request, as of the last refresh.
  double FailureProbability = 0;
  time_point JoinedAt;
  time_point LastGrantAt;
  time_point LastFailureAt;
  time_point WarmedUpAt;
  /// The server rejected a request as full and gets no requests until then.
  time_point BackoffUntil;
  std::uint32_t ConsecutiveRejections = 0;
  /// The hosts that the server wants no requests from.
  std::vector<host_hold> Holds;
  /// Whether the server stated that it is shutting down.
  bool Leaving = false;
  /// Whether the server joined while the allocator was running and has not
  /// received a request yet.
  bool AwaitsFirstRequest = false;
  /// Whether a different backend server responds at the registered address.
  bool Misdirected = false;
  /// Whether the server was last reported as suspected of failing.
  bool Suspected = false;
  rate_limiter RateLimiter;
  /// The limit as of the last call of takeRateLimitChanges().
  rate_limit PublishedRateLimit;
};

/// \returns whether \p Backend may receive requests at all: it is neither
/// draining, leaving nor misdirected.
[[nodiscard]] bool isServing(const backend_record &Backend);

/// \returns the number of slots that no request holds.
[[nodiscard]] std::uint32_t freeSlots(const backend_record &Backend);

/// \returns the number of requests that may start at \p Now: there is a free
/// slot for each, and the rate limit allows them.
[[nodiscard]] std::uint32_t startableRequests(const backend_record &Backend,
                                              time_point Now);

/// \returns the earliest time at which \p Backend wants requests from \p Host.
/// A server that holds off several hosts is taken to be overloaded for all.
[[nodiscard]] time_point heldUntil(const backend_record &Backend,
                                   const std::string &Host);

/// Adds that \p Backend wants no requests from \p Host before \p Until.
void holdOff(backend_record &Backend, const std::string &Host, time_point Until,
             time_point Now);

/// \returns the log odds that \p Backend loses a request. Requests in flight
/// count as evidence when they take unusually long. \p PriorLogOdds are the log
/// odds of a server without any evidence.
[[nodiscard]] double
failureLogOdds(const backend_record &Backend,
               const std::vector<latency_profile> &Profiles,
               double PriorLogOdds, time_point Now);

/// Updates \p Backend with the outcome of \p Lease.
/// \pre \p Lease has been removed from the leases of \p Backend.
void recordOutcome(backend_record &Backend, const slot_lease &Lease,
                   const slot_release &Release, const latency_profile &Profile,
                   double PriorLogOdds, time_point Now);

/// A newly joined server is to get its first request within this time after it
/// has warmed up.
inline constexpr duration MaxFirstRequestDelay = milliseconds(800);

} // namespace coriandertray
