/// \file
/// Estimates when the requests in the queue of an allocator start, in the order
/// in which they are served.
#pragma once

#include "allocation/admission_order.h"
#include "allocation/pool_capacity.h"
#include "allocation/return_schedule.h"
#include "allocation/slot_allocator.h"
#include "utils/clock.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace coriandertray {

/// The place of an arriving request in the order of the queue.
struct queue_position {
  ranked_request Entry;
  /// The number of requests ahead. If it is zero, the request may be served at
  /// once; otherwise it would overtake another.
  std::size_t Ahead = 0;
  /// The sum of the mean durations of the requests ahead.
  duration WorkAhead{0};
};

/// What a pass over the queue computes once for all requests.
struct queue_pass {
  time_point Now;
  pool_capacity Capacity;
  duration ServiceInterval{0};
  /// The earliest start of the requests that no server excludes: those that
  /// tried none, reach all and come from a host that no server holds off.
  std::optional<time_point> CommonStart;
  bool HasHolds = false;
  /// How many requests may start at once at any server.
  std::size_t Startable = 0;
  /// The sum of the mean durations of the requests that stay in the queue.
  duration WorkAhead{0};
};

/// \returns the latest time at which \p Request is expected to end if it is
/// admitted to the queue.
[[nodiscard]] time_point latestAdmittedEnd(const slot_request &Request);

/// \returns the queue in the order in which it is to be served.
[[nodiscard]] std::vector<ranked_request> orderQueue(slot_allocator &State,
                                                     time_point Now);

/// \returns where \p Request would be placed in the queue.
[[nodiscard]] queue_position findPosition(slot_allocator &State,
                                          const slot_request &Request,
                                          time_point Now);

/// Estimates how long \p Request waits for a slot behind the queued requests
/// that would be served before it. \returns a rejection without the remaining
/// time.
[[nodiscard]] rejection expectedWait(const slot_allocator &State,
                                     const slot_request &Request,
                                     const queue_position &Position,
                                     time_point Now);

/// \pre the queue is not empty, and \p Ordered is its order.
[[nodiscard]] queue_pass beginPass(const slot_allocator &State,
                                   const std::vector<ranked_request> &Ordered,
                                   time_point Now);

/// \returns when the first server may take \p Request, as earliestStart(),
/// without a look at all servers for most requests.
[[nodiscard]] std::optional<time_point>
earliestStartIn(const queue_pass &Pass, const slot_allocator &State,
                const slot_request &Request);

/// \returns how long a queued request waits behind those that stay in the queue
/// before it. \p HeldFor is the time until the first server takes requests
/// from its host. The next slot to become free counts as free, so that a short
/// queue at few servers is not rejected too soon.
[[nodiscard]] duration queuedWait(const queue_pass &Pass, duration HeldFor);

} // namespace coriandertray
