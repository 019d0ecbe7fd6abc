/// \file
/// Matches requests to routes, and splits a route's requests among services.
#pragma once

#include "routing/routing_config.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandertray {

/// An index over the routes of one configuration. Not thread-safe, because
/// nextService() advances the state of a traffic split.
class route_index {
public:
  /// \p Seed sets the initial phase of each route's traffic split. With a
  /// different seed on each host, the weights hold for all hosts together from
  /// the first request on.
  route_index(const routing_config &Config, std::uint64_t Seed);

  /// \returns the route on \p Host with the longest path prefix that matches
  /// \p Target, or null. \p Host is case-insensitive and may include a port.
  /// The result lives as long as the index.
  [[nodiscard]] const route_rule *match(std::string_view Host,
                                        std::string_view Target) const;

  /// \returns the service for the next request of \p Route, chosen by weight.
  /// \pre \p Route came from match() on this index.
  [[nodiscard]] const std::string &nextService(const route_rule &Route);

private:
  routing_config Config;
  std::unordered_map<std::string, std::size_t> ByHostAndPrefix;
  /// For each route, the current value in [0, 1) of the sequence that chooses
  /// the service.
  std::vector<double> SplitPhases;
};

} // namespace coriandertray
