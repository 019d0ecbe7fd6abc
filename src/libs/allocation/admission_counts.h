/// \file
/// Counts of the admission decisions of one allocator, for operators.
#pragma once

#include <compare>
#include <cstdint>

namespace coriandertray {

/// Rejected requests by reason.
struct rejection_counts {
  /// The requests before it would have delayed it for too long.
  std::uint64_t Overloaded = 0;
  /// It could not have met its deadline even if it had started at once.
  std::uint64_t Deadline = 0;
  /// No server of the pool will take it.
  std::uint64_t NoServer = 0;
  std::uint64_t RetryBudget = 0;
  auto operator<=>(const rejection_counts &) const = default;
};

/// Plain numbers since the start of the allocator.
struct admission_counts {
  /// Requests that were queued behind more urgent ones.
  std::uint64_t Delayed = 0;
  rejection_counts OnArrival;
  rejection_counts WhileQueued;
  auto operator<=>(const admission_counts &) const = default;
};

} // namespace coriandertray
