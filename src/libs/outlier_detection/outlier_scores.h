/// \file
/// Scores that show how far one backend server deviates from its siblings, the
/// other backend servers of the service.
#pragma once

#include "outlier_detection/outlier_detector.h"

#include <compare>
#include <string_view>

namespace coriandertray {

/// \returns the share in [0, 1] of failed requests among those that succeeded
/// or failed.
[[nodiscard]] double failureRate(const decayed_counts &Counts);

/// \returns the share in [0, 1] of late requests among those that succeeded or
/// were late.
[[nodiscard]] double lateRate(const decayed_counts &Counts);

/// How far the scores of a backend server lie above those of its siblings.
struct relative_scores {
  double Failure = 0;
  double Latency = 0;
  auto operator<=>(const relative_scores &) const = default;
};

/// \returns how far the scores of the backend server \p Name lie above those of
/// its siblings. A rise at all of them at once is no fault of a single backend
/// server. \pre \p Name is in \p State.
[[nodiscard]] relative_scores
relativeScores(const outlier_detection_state &State, std::string_view Name);

/// Updates both scores of the backend server \p Name with \p Counts. While its
/// siblings fail as well, the failure score stays unchanged; while they are
/// late as well, the latency score is reset. In both cases the fault lies with
/// the service as a whole. \pre \p Name is in \p State.
void updateScores(outlier_detection_state &State, std::string_view Name,
                  const outcome_counts &Counts);

} // namespace coriandertray
