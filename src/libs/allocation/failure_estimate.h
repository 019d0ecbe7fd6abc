/// \file
/// How strongly a backend server is believed to lose the work it gets, as log
/// odds that evidence adds to and that fade towards what is usual.
#pragma once

#include "utils/clock.h"

namespace coriandertray {

/// Plain state; not thread-safe.
struct failure_estimate {
  double LogOdds = 0;
  time_point UpdatedAt;
  auto operator<=>(const failure_estimate &) const = default;
};

/// \returns the log odds of \p Probability in (0, 1).
[[nodiscard]] double probabilityToLogOdds(double Probability);

/// \returns the probability that belongs to \p LogOdds.
[[nodiscard]] double logOddsToProbability(double LogOdds);

/// \returns the log odds at \p Now, faded towards \p PriorLogOdds.
[[nodiscard]] double decayedLogOdds(const failure_estimate &Estimate,
                                    double PriorLogOdds, time_point Now);

/// Adds \p Weight of evidence, positive for sick.
void addEvidence(failure_estimate &Estimate, double Weight, double PriorLogOdds,
                 time_point Now);

/// \returns the weight of a request that has no answer yet although only
/// \p Survival of the requests at healthy servers run for so long.
[[nodiscard]] double noResponseWeight(double Survival);

/// \returns the weight of a success after a time that \p Survival of the
/// requests at healthy servers exceed.
[[nodiscard]] double successWeight(double Survival);

namespace evidence_weight {
/// An error answer, a broken answer or a lost connection.
inline constexpr double Failure = 2.2;
/// No connection could be made.
inline constexpr double Unreachable = 2.0;
/// It refused work for which it should have had a slot.
inline constexpr double Full = 0.3;
} // namespace evidence_weight

} // namespace coriandertray
