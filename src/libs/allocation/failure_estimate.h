/// \file
/// Estimates whether a backend server loses the requests it gets. The estimate
/// is kept as log odds: evidence is added as log-likelihood ratios (natural
/// logarithm), and decays over time towards the prior.
#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace coriandertray {

/// Plain state; not thread-safe.
struct failure_estimate {
  double LogOdds = 0;
  time_point UpdatedAt;
  auto operator<=>(const failure_estimate &) const = default;
};

/// \returns the log odds of \p Probability in (0, 1).
[[nodiscard]] double probabilityToLogOdds(double Probability);

/// \returns the probability with the given \p LogOdds.
[[nodiscard]] double logOddsToProbability(double LogOdds);

/// \returns the log odds at \p Now, decayed towards \p PriorLogOdds.
[[nodiscard]] double decayedLogOdds(const failure_estimate &Estimate,
                                    double PriorLogOdds, time_point Now);

/// Adds evidence with the given \p Weight, which is positive if the evidence
/// suggests a failing server. \p Slots is the number of requests that the
/// server runs at a time: each of them counts while it is in flight, so the
/// more there are, the further successes may lower the estimate.
void addEvidence(failure_estimate &Estimate, double Weight, std::uint32_t Slots,
                 double PriorLogOdds, time_point Now);

/// \returns the weight of a request that has not been answered yet, when only
/// \p Survival of the requests at healthy servers take that long.
[[nodiscard]] double noResponseWeight(double Survival);

/// \returns the weight of a success that took longer than all but \p Survival
/// of the requests at healthy servers. A very slow success counts against the
/// server.
[[nodiscard]] double successWeight(double Survival);

namespace evidence_weight {
/// An error response, a malformed response or a lost connection.
inline constexpr double Failure = 2.2;
/// No connection could be established.
inline constexpr double Unreachable = 2.0;
/// The server rejected a request although it should have had a free slot.
inline constexpr double Full = 0.3;
} // namespace evidence_weight

} // namespace coriandertray
