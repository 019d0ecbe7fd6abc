/// \file
/// Outcomes of real requests, as one proxy counts them and agents pool them.
#pragma once

#include "outlier_detection/verdict.h"

#include <map>
#include <string>
#include <string_view>

namespace coriandertray {

/// Outcomes at one backend server since the last report.
struct backend_evidence {
  outcome_counts Counts;
  /// The backend server itself said that it drains.
  bool Draining = false;
  bool operator==(const backend_evidence &) const = default;
};

/// Evidence by backend server, for one service.
using service_evidence = std::map<std::string, backend_evidence, std::less<>>;

/// What one proxy reports at a time.
struct evidence_report {
  std::string Host;
  std::string Zone;
  std::map<std::string, service_evidence, std::less<>> Services;
  bool operator==(const evidence_report &) const = default;
};

/// \returns the sum of two counts.
[[nodiscard]] outcome_counts operator+(const outcome_counts &Left,
                                       const outcome_counts &Right);

/// \returns "succeeded=1 failed=2 late=3 refused=4".
[[nodiscard]] std::string describe(const outcome_counts &Counts);

/// \returns the stable name of \p Standing.
[[nodiscard]] std::string_view statusName(backend_status Status);

} // namespace coriandertray
