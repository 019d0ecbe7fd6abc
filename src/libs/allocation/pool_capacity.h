/// \file
/// Estimates how much work the backend servers of a pool get done, and when.
#pragma once

#include "allocation/placement.h"
#include "allocation/slot_messages.h"
#include "utils/clock.h"

#include <cstddef>
#include <optional>

namespace coriandertray {

/// The capacity of a pool for requests with a given mean duration.
struct pool_capacity {
  /// The slots that servers are expected to use for requests they complete;
  /// above zero.
  double Slots = 1;
  auto operator<=>(const pool_capacity &) const = default;
};

/// \returns the mean duration of requests with the median \p Median.
[[nodiscard]] duration meanDuration(duration Median);

/// \returns the capacity for \p Request at the servers that may take it before
/// \p LatestStart. \p Mean is its mean duration.
[[nodiscard]] pool_capacity capacityFor(const backend_records &Backends,
                                        const slot_request &Request,
                                        duration Mean, time_point LatestStart);

/// \returns the capacity for all requests of the pool at the servers that are
/// serving and do not pause until after \p LatestStart. \p Mean is the mean
/// duration of the requests.
[[nodiscard]] pool_capacity capacityForAll(const backend_records &Backends,
                                           duration Mean,
                                           time_point LatestStart);

/// \returns the time in which a pool of \p Capacity does \p Work, the sum of
/// the durations of requests.
[[nodiscard]] duration timeToServe(const pool_capacity &Capacity,
                                   duration Work);

/// \returns when the first server may take \p Request, whether or not it has a
/// free slot then; nothing if none of the servers will.
[[nodiscard]] std::optional<time_point>
earliestStart(const backend_records &Backends, const slot_request &Request,
              time_point Now);

/// \returns how many requests like \p Request may start at \p Now.
[[nodiscard]] std::size_t startableNow(const backend_records &Backends,
                                       const slot_request &Request,
                                       time_point Now);

} // namespace coriandertray
