/// \file
/// Scoring one backend server's outcomes against what its siblings show.
#pragma once

#include "outlier_detection/outlier_detector.h"

#include <compare>
#include <string_view>

namespace coriandertray {

/// \returns the failed share of what ended, in [0, 1].
[[nodiscard]] double failureRate(const decayed_counts &Counts);

/// \returns the late share of what succeeded or was late, in [0, 1].
[[nodiscard]] double lateRate(const decayed_counts &Counts);

/// How far a backend server's scores lie above those of its siblings.
struct relative_scores {
  double Failure = 0;
  double Latency = 0;
  auto operator<=>(const relative_scores &) const = default;
};

/// \returns the scores of the backend server called \p Name above its
/// siblings': what comes over all of them at once is nobody's own sickness.
/// \pre \p Name is in \p State.
[[nodiscard]] relative_scores
relativeScores(const outlier_detection_state &State, std::string_view Name);

/// Adds \p Counts to both scores of the backend server called \p Name. Nothing
/// is added while its siblings fail or are late as well: then the service is in
/// trouble as a whole. \pre \p Name is in \p State.
void updateScores(outlier_detection_state &State, std::string_view Name,
                  const outcome_counts &Counts);

} // namespace coriandertray
