/// \file
/// Sequential detection of a raised share of bad outcomes (CUSUM on the
/// log-likelihood ratio).
#pragma once

#include <compare>
#include <cstdint>
#include <span>

namespace coriandertray {

/// Two hypotheses on the share of bad outcomes.
struct bad_share_hypotheses {
  /// The share when healthy, in (0, 1).
  double Healthy = 0.01;
  /// The share when sick. \pre above Healthy, below 1.
  double Sick = 0.1;
  auto operator<=>(const bad_share_hypotheses &) const = default;
};

/// The score of one stream of outcomes: near zero while healthy, growing while
/// bad outcomes are more frequent than the healthy share explains.
struct change_score {
  double Value = 0;
  auto operator<=>(const change_score &) const = default;
};

/// One kind of outcome: how often it happens under either hypothesis, and how
/// often it has happened.
struct outcome_kind {
  /// Shares in (0, 1).
  double HealthyShare = 0.5;
  double SickShare = 0.5;
  std::uint32_t Count = 0;
  auto operator<=>(const outcome_kind &) const = default;
};

/// \returns \p Score after the outcomes that \p Kinds count.
[[nodiscard]] change_score addKinds(change_score Score,
                                    std::span<const outcome_kind> Kinds);

/// \returns \p Score after \p Good good and \p Bad bad outcomes, the bad ones
/// spread evenly among the good ones.
[[nodiscard]] change_score addOutcomes(change_score Score,
                                       const bad_share_hypotheses &Hypotheses,
                                       std::uint32_t Good, std::uint32_t Bad);

} // namespace coriandertray
