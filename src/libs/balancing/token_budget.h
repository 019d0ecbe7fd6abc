/// \file
/// Token budget that limits extra requests, such as retries and hedges, to a
/// share of the ordinary ones.
#pragma once

#include <compare>
#include <cstdint>

namespace coriandertray {

/// Each ordinary request adds a fraction of a token; each extra request takes a
/// whole one.
struct token_budget {
  double Tokens = 5;
  auto operator<=>(const token_budget &) const = default;
};

/// Adds \p Percent of a token for one ordinary request, up to a maximum number
/// of tokens. \pre \p Percent is in [0, 100].
void fillBudget(token_budget &Budget, std::uint32_t Percent);

/// Takes one token. \returns false if there was none.
[[nodiscard]] bool takeFromBudget(token_budget &Budget);

} // namespace coriandertray
