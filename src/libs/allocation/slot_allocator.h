/// \file
/// Allocates the slots of one pool of backend servers to the requests of all
/// hosts.
///
/// Demand may exceed what the healthy servers can carry. In that case the most
/// urgent requests go first (see admission_order.h), and a request that cannot
/// be served in time is refused as soon as this is known.
#pragma once

#include "allocation/admission_counts.h"
#include "allocation/backend_record.h"
#include "allocation/fair_share.h"
#include "allocation/latency_profile.h"
#include "allocation/placement.h"
#include "allocation/retry_budget.h"
#include "allocation/return_schedule.h"
#include "allocation/slot_messages.h"
#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// A backend server has become suspected of failing, or trusted again. The
/// owner of the allocator logs these changes.
struct suspicion_change {
  std::string Backend;
  bool Suspected = false;
  double FailureProbability = 0;
  std::size_t InFlight = 0;
  bool operator==(const suspicion_change &) const = default;
};

/// A backend server has reported another rate limit than before. The owner of
/// the allocator logs these changes.
struct rate_limit_change {
  std::string Backend;
  rate_limit Previous;
  rate_limit Limit;
  bool operator==(const rate_limit_change &) const = default;
};

/// The allocator of one pool. Plain state; not thread-safe.
struct slot_allocator {
  placement_policy Policy;
  retry_limits RetryLimits;
  backend_records Backends;
  /// Requests that wait for a slot.
  std::vector<slot_request> Queue;
  std::vector<latency_profile> Profiles;
  /// Index into Profiles by request class.
  std::map<std::string, std::size_t> ProfileIndices;
  retry_budget RetryBudget;
  /// What the accounts have received.
  fair_share Shares;
  /// When the callers of refused requests return.
  return_schedule Returns;
  admission_counts Counts;
  /// The part of each rate limit that this allocator uses, see setRole().
  double RateLimitShare = 1;
  /// When the first list of backend servers arrived.
  std::optional<time_point> FirstBackendListAt;
  /// When the failure probabilities in Backends were last refreshed.
  std::optional<time_point> EvaluatedAt;
  /// Log odds that a server without any evidence loses a request.
  double PriorLogOdds = 0;
};

/// Replaces the backend servers of the pool with those registered now. A server
/// that restarted or changed its address starts with a new record.
void setBackends(slot_allocator &State,
                 const std::vector<backend_registration> &Backends,
                 time_point Now);

/// Sets the role of the allocator in a fleet of \p HostCount hosts, which
/// determines the part of each rate limit that it uses, and which hosts may
/// have used the retry budget before.
void setRole(slot_allocator &State, allocator_role Role, std::size_t HostCount,
             time_point Now);

/// Requests a slot. \returns an answer with the verdict Granted, Queued or
/// Refused.
[[nodiscard]] slot_answer
requestSlot(slot_allocator &State, const slot_request &Request, time_point Now);

/// Releases a slot, or removes a queued request. Unknown keys are ignored.
void releaseSlot(slot_allocator &State, const slot_release &Release,
                 time_point Now);

/// Takes over a lease that another allocator granted.
void adoptLease(slot_allocator &State, const slot_lease_report &Report,
                time_point Now);

/// Grants slots to queued requests where possible, and refuses those that are
/// expected to end after their deadline behind the requests before them.
/// \returns the grants and refusals.
[[nodiscard]] std::vector<slot_answer> processQueue(slot_allocator &State,
                                                    time_point Now);

/// \returns the servers that have become suspected, or trusted again, since
/// the last call.
[[nodiscard]] std::vector<suspicion_change>
takeSuspicionChanges(slot_allocator &State, time_point Now);

/// \returns the servers whose rate limit has changed since the last call.
[[nodiscard]] std::vector<rate_limit_change>
takeRateLimitChanges(slot_allocator &State);

} // namespace coriandertray
