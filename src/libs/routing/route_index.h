/// \file
/// Finds the route of a request and the service that takes it.
#pragma once

#include "routing/routing_config.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandertray {

/// An index over one configuration. Not thread-safe, as splits keep count.
class route_index {
public:
  /// \p Seed sets where each route's split begins, so that many hosts together
  /// keep the proportions from the first request on.
  route_index(const routing_config &Config, std::uint64_t Seed);

  /// \returns the route of the longest prefix of \p Target on \p Host, which
  /// may carry a port, or null. The result lives as long as the index.
  [[nodiscard]] const route_rule *match(std::string_view Host,
                                        std::string_view Target) const;

  /// \returns the service that takes the next request of \p Route, by weight.
  /// \pre \p Route came from match() on this index.
  [[nodiscard]] const std::string &nextService(const route_rule &Route);

private:
  routing_config Config;
  std::unordered_map<std::string, std::size_t> ByHostAndPrefix;
  /// For each route, how far its split has turned, in [0, 1).
  std::vector<double> SplitPhases;
};

} // namespace coriandertray
