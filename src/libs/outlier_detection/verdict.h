/// \file
/// What the fleet has decided about the backend servers of one service.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// What a backend server is used for.
enum class backend_status {
  InService,
  Ejected, ///< Judged sick: no work.
  Trial,   ///< Returning: a little repeatable work.
  Leaving, ///< Draining or being removed: no new work.
};

/// Outcomes counted over a span of time.
struct outcome_counts {
  /// In usual time; what was late and then succeeded counts as late only.
  std::uint32_t Succeeded = 0;
  std::uint32_t Failed = 0;
  /// Much slower than the service's usual, finished or not.
  std::uint32_t Late = 0;
  /// Of those that succeeded, slower than most; see latency_tracker.
  std::uint32_t Slow = 0;
  /// Refused for lack of a free slot: load, not sickness.
  std::uint32_t Refused = 0;
  auto operator<=>(const outcome_counts &) const = default;
};

/// One backend server's standing and the evidence that led to it.
struct backend_verdict {
  std::string BackendServer;
  backend_status Status = backend_status::InService;
  /// The share of its usual work it gets; below 100 while it starts slowly.
  std::uint32_t WeightPercent = 100;
  std::string Reason;
  outcome_counts Evidence;
  /// Entry hosts that reported a failed or late request.
  std::uint32_t Reporters = 0;
  /// Availability zones whose path to it is faulty while others' are not.
  std::vector<std::string> AvoidZones;
  bool operator==(const backend_verdict &) const = default;
};

/// The verdicts on one service, always replaced as one.
struct verdict_set {
  std::string Service;
  /// Grows with every change; a receiver keeps the highest.
  std::uint64_t Version = 0;
  /// The host whose agent judged.
  std::string DetectorHost;
  std::vector<backend_verdict> Verdicts;
  bool operator==(const verdict_set &) const = default;
};

} // namespace coriandertray
