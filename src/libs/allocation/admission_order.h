/// \file
/// The order in which queued requests are served. Pure functions.
#pragma once

#include "allocation/fair_share.h"
#include "allocation/slot_messages.h"
#include "utils/clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace coriandertray {

/// The place of a request in the order: the lowest rank is served first. A
/// request that can no longer meet its target comes after those of the same
/// priority that can, unless its account is owed service. Immutable value; safe
/// to share between threads.
struct admission_rank {
  bool IsHedge = false;
  priority_class Class;
  bool MissesTarget = false;
  /// The virtual start, see fair_share.h; zero for hedges.
  double FairStart = 0;
  time_point Target;
  time_point RequestedAt;
  auto operator<=>(const admission_rank &) const = default;
};

/// A request and the expected durations of its class.
struct admission_candidate {
  /// Not null.
  const slot_request *Request = nullptr;
  duration Median{0};
  /// The 80th percentile.
  duration Likely{0};
};

/// A candidate in the order.
struct ranked_request {
  /// Among the candidates.
  std::size_t Index = 0;
  admission_rank Rank;
  virtual_interval Share;
  duration Median{0};
};

[[nodiscard]] bool isHedge(const slot_request &Request);

/// \returns under which account \p Request is counted.
[[nodiscard]] share_key shareKey(const slot_request &Request);

/// \returns whether a request with the target \p Target that takes \p Likely
/// can't meet it any more at \p Now.
[[nodiscard]] bool missesTarget(time_point Target, duration Likely,
                                time_point Now);

/// \returns the candidates in the order in which they should be served. Equal
/// ones keep their order. Needs O(n log n) time.
[[nodiscard]] std::vector<ranked_request>
orderRequests(const std::vector<admission_candidate> &Candidates,
              const fair_share &Shares, time_point Now);

} // namespace coriandertray
