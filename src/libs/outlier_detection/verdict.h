/// \file
/// Verdicts: the decisions of fleet-wide outlier detection about the backend
/// servers of one service.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// Whether a backend server gets work. Logs and state dumps call it "standing".
/// The order of the values matches wire::verdict_kind.
enum class backend_status {
  InService,
  Ejected, ///< Detected as unhealthy: no work.
  Trial,   ///< After an ejection or drain: little, mostly idempotent work.
  Leaving, ///< Draining or being removed: no new work.
};

/// Numbers of request outcomes over a period of time.
struct outcome_counts {
  /// Succeeded in normal time. A request that was late and then succeeded
  /// counts as late only.
  std::uint32_t Succeeded = 0;
  std::uint32_t Failed = 0;
  /// Far slower than normal for the service, whether finished or not; see
  /// latency_tracker::lateThreshold().
  std::uint32_t Late = 0;
  /// The part of Succeeded that was slower than most; see
  /// latency_tracker::slowThreshold().
  std::uint32_t Slow = 0;
  /// Refused for lack of a free slot. This shows load, not a fault.
  std::uint32_t Refused = 0;
  auto operator<=>(const outcome_counts &) const = default;
};

/// The status of one backend server and the evidence that led to it.
struct backend_verdict {
  std::string BackendServer;
  backend_status Status = backend_status::InService;
  /// The share of its normal work that it gets; below 100 on trial and during
  /// slow start.
  std::uint32_t WeightPercent = 100;
  std::string Reason;
  outcome_counts Evidence;
  /// Number of entry hosts that reported a failed or late request.
  std::uint32_t Reporters = 0;
  /// Availability zones whose network path to the backend server is faulty
  /// while the path from other zones works.
  std::vector<std::string> AvoidZones;
  bool operator==(const backend_verdict &) const = default;
};

/// The verdicts on all backend servers of one service. A receiver always
/// replaces the whole set.
struct verdict_set {
  std::string Service;
  /// Grows with every change; a receiver keeps the set with the highest
  /// version.
  std::uint64_t Version = 0;
  /// The host whose agent ran the outlier detection; called "judge" on the wire
  /// and in logs.
  std::string DetectorHost;
  std::vector<backend_verdict> Verdicts;
  bool operator==(const verdict_set &) const = default;
};

} // namespace coriandertray
