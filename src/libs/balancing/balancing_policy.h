/// \file
/// Choosing the backend server for one attempt.
#pragma once

#include "balancing/backend_state.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace coriandertray {

/// The ways of choosing. The first two are the baselines of the benchmarks.
enum class balancing_policy {
  RoundRobin,    ///< Each backend server in turn.
  LeastInFlight, ///< The fewest requests of this proxy.
  LateBinding,   ///< One that has a free slot, asked before it is believed.
};

/// \returns the policy called \p Name, or nothing.
[[nodiscard]] std::optional<balancing_policy>
balancingPolicyFromName(std::string_view Name);

/// One question to choose().
struct choice_request {
  balancing_policy Policy = balancing_policy::LateBinding;
  /// Whether the request may be repeated without harm.
  bool Idempotent = false;
  /// Backend servers, by index, that this request has tried.
  std::vector<bool> Tried;
  std::uint32_t FloorSlots = 0;
  /// Whether full servers may be chosen, to wait there for a slot.
  bool AllowFull = false;
  /// Two independent random words.
  std::uint64_t FirstRandom = 0;
  std::uint64_t SecondRandom = 0;
  /// Grows with each choice; round robin goes by it.
  std::uint64_t RoundRobinTurn = 0;
  bool operator==(const choice_request &) const = default;
};

/// \returns the index of the backend server to ask next, or nothing when none
/// may be asked now.
[[nodiscard]] std::optional<std::size_t>
chooseBackend(const std::vector<backend_state> &States,
              const choice_request &Request, time_point Now);

} // namespace coriandertray
