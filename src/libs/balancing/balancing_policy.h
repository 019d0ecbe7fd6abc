/// \file
/// Selection of the backend server for one attempt.
#pragma once

#include "balancing/backend_state.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace coriandertray {

/// Load balancing policies. The first two are the baselines of the benchmarks.
enum class balancing_policy {
  RoundRobin,    ///< Each backend server in turn.
  LeastInFlight, ///< The fewest requests in flight from this proxy.
  LateBinding,   ///< The less loaded of two random ones with a free slot.
};

/// \returns the policy called \p Name, or nothing if there is none.
[[nodiscard]] std::optional<balancing_policy>
balancingPolicyFromName(std::string_view Name);

/// The input of chooseBackend() for one attempt.
struct choice_request {
  balancing_policy Policy = balancing_policy::LateBinding;
  /// Whether the request may safely be repeated.
  bool Idempotent = false;
  /// Backend servers, by index, that this request has already tried.
  std::vector<bool> Tried;
  std::uint32_t FloorSlots = 0;
  /// Whether a full server may be chosen; the request then waits there for a
  /// slot.
  bool AllowFull = false;
  /// Two independent random numbers.
  std::uint64_t FirstRandom = 0;
  std::uint64_t SecondRandom = 0;
  /// Incremented with each choice; determines the server under RoundRobin.
  std::uint64_t RoundRobinTurn = 0;
  bool operator==(const choice_request &) const = default;
};

/// \returns the index of the backend server to try next, or nothing if none may
/// be tried now.
[[nodiscard]] std::optional<std::size_t>
chooseBackend(const std::vector<backend_state> &States,
              const choice_request &Request, time_point Now);

} // namespace coriandertray
