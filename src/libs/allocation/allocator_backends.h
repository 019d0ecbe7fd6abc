/// \file
/// The parts of a slot allocator that keep track of its backend servers and of
/// the durations of request classes.
#pragma once

#include "allocation/slot_allocator.h"
#include "allocation/slot_messages.h"
#include "utils/clock.h"

#include <cstddef>
#include <string>

namespace coriandertray {

/// \returns the index of the profile of the class \p Work, which is added with
/// the target latency \p Target if it is new. Request classes beyond a limit
/// share the first profile.
[[nodiscard]] std::size_t
profileIndex(slot_allocator &State, const std::string &Work, duration Target);

/// \returns the index of the profile of the class of \p Request.
[[nodiscard]] std::size_t profileIndex(slot_allocator &State,
                                       const slot_request &Request);

/// Recomputes the failure probability of \p Backend.
void refreshFailureProbability(const slot_allocator &State,
                               backend_record &Backend, time_point Now);

/// Drops expired leases and refreshes all failure probabilities, unless that
/// was done a moment ago.
void refreshBackends(slot_allocator &State, time_point Now);

/// Applies what the requesting host knows of the backend servers.
void applyKnownReports(slot_allocator &State, const slot_request &Request,
                       time_point Now);

} // namespace coriandertray
