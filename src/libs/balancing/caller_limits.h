/// \file
/// Request limits of the client accounts at one entry host.
#pragma once

#include "manifest/manifest.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandertray {

enum class admission_result { Admitted, TooManyInFlight, RateExceeded };

/// Limits the requests in flight and the request rate of each account. Not
/// thread-safe.
class caller_limits {
public:
  /// Applies the limits of \p Manifest. Requests in flight stay counted.
  void configure(const manifest &Manifest);

  /// Admits a request of \p Account, or returns which limit it exceeds. Each
  /// admitted request must be ended by release().
  [[nodiscard]] admission_result admit(std::string_view Account,
                                       time_point Now);

  /// Ends a request that admit() admitted.
  void release(std::string_view Account);

  [[nodiscard]] std::uint32_t inFlight(std::string_view Account) const;

private:
  struct account_state {
    std::uint32_t InFlight = 0;
    double Tokens = 0;
    time_point RefilledAt;
  };

  [[nodiscard]] const account_limits &
  limitsOf(const std::string &Account) const;
  void evictIdle(time_point Now);

  account_limits DefaultLimits;
  std::unordered_map<std::string, account_limits> Limits;
  std::unordered_map<std::string, account_state> States;
  time_point LastEvictionAt;
};

} // namespace coriandertray
