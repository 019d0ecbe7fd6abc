/// \file
/// Hands out the slots of one service's backend servers to the requests of all
/// hosts: who waits, who goes where, and who is turned away.
///
/// The load it answers: demand beyond what the sound servers carry. The most
/// urgent go first, and who can't be served in time is told at once.
#pragma once

#include "allocation/backend_record.h"
#include "allocation/latency_profile.h"
#include "allocation/placement.h"
#include "allocation/retry_window.h"
#include "allocation/slot_messages.h"
#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// A change of what is believed of a backend server, to be logged.
struct suspicion_change {
  std::string Backend;
  bool Suspected = false;
  double FailureProbability = 0;
  std::size_t InFlight = 0;
  bool operator==(const suspicion_change &) const = default;
};

/// The state of one service's allocator. Plain state; not thread-safe.
struct slot_allocator {
  placement_policy Policy;
  retry_limits RetryLimits;
  backend_records Backends;
  std::vector<slot_request> Queue;
  std::vector<latency_profile> Profiles;
  /// Where the profile of a kind of work stands in Profiles.
  std::map<std::string, std::size_t> ProfileIndices;
  retry_window RetryWindow;
  std::optional<time_point> FirstBackendListAt;
  /// When the probabilities in Backends were computed.
  std::optional<time_point> EvaluatedAt;
  double PriorLogOdds = 0;
};

/// Takes the backend servers of the service as registered now.
void setBackends(slot_allocator &State,
                 const std::vector<backend_registration> &Backends,
                 time_point Now);

/// Asks for a slot. \returns Granted, Queued or Refused.
[[nodiscard]] slot_answer
requestSlot(slot_allocator &State, const slot_request &Request, time_point Now);

/// Notes the end of a use or of a wait. Unknown keys are ignored.
void releaseSlot(slot_allocator &State, const slot_release &Release,
                 time_point Now);

/// Takes over a use that another allocator granted.
void adoptLease(slot_allocator &State, const slot_lease_report &Report,
                time_point Now);

/// Serves those who wait. \returns the grants and refusals.
[[nodiscard]] std::vector<slot_answer> processQueue(slot_allocator &State,
                                                    time_point Now);

/// \returns the changes of belief since the last call.
[[nodiscard]] std::vector<suspicion_change>
takeSuspicionChanges(slot_allocator &State, time_point Now);

} // namespace coriandertray
