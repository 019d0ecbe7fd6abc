/// \file
/// Outcomes of real requests, counted by each proxy and summed up by the
/// agents. They are the input of outlier detection.
#pragma once

#include "outlier_detection/verdict.h"

#include <map>
#include <string>
#include <string_view>

namespace coriandertray {

/// Outcomes at one backend server since the last report.
struct backend_evidence {
  outcome_counts Counts;
  /// The backend server itself reported that it is draining.
  bool Draining = false;
  bool operator==(const backend_evidence &) const = default;
};

/// Evidence for one service, by name of the backend server.
using service_evidence = std::map<std::string, backend_evidence, std::less<>>;

/// One report of a proxy: its evidence by service.
struct evidence_report {
  std::string Host;
  std::string Zone;
  std::map<std::string, service_evidence, std::less<>> Services;
  bool operator==(const evidence_report &) const = default;
};

/// \returns the sum of \p Left and \p Right, outcome by outcome.
[[nodiscard]] outcome_counts operator+(const outcome_counts &Left,
                                       const outcome_counts &Right);

/// \returns a text for logs, such as "succeeded=1 failed=2 late=3 slow=0
/// refused=4".
[[nodiscard]] std::string describe(const outcome_counts &Counts);

/// \returns the name of \p Status in logs and state dumps.
[[nodiscard]] std::string_view statusName(backend_status Status);

} // namespace coriandertray
