#include "balancing/token_budget.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr double MaxTokens = 20;
constexpr double FullPercent = 100;

} // namespace

void fillBudget(token_budget &Budget, std::uint32_t Percent) {
  Budget.Tokens = std::min(MaxTokens, Budget.Tokens + Percent / FullPercent);
}

bool takeFromBudget(token_budget &Budget) {
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace coriandertray
