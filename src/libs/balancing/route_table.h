/// \file
/// Lookup of the route of a request. Routes for the requested host take
/// precedence over routes for any host; among them, the longest matching path
/// prefix wins.
#pragma once

#include "manifest/manifest.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandertray {

/// The matching service and route, as indexes into the manifest.
struct route_match {
  std::size_t ServiceIndex = 0;
  std::size_t RouteIndex = 0;
  auto operator<=>(const route_match &) const = default;
};

/// An index of the routes of one manifest. It does not change after
/// construction and may be read from several threads.
class route_table {
public:
  explicit route_table(const manifest &Manifest);

  /// \returns the route of a request for \p Target, a path with or without a
  /// query, to \p Host, with or without a port.
  [[nodiscard]] std::optional<route_match> match(std::string_view Host,
                                                 std::string_view Target) const;

private:
  std::unordered_map<std::string, route_match> Routes;
};

/// \returns whether \p Target is an absolute path without dot segments, empty
/// segments or encoded separators, which proxy and backend server could resolve
/// differently.
[[nodiscard]] bool isUnambiguousPath(std::string_view Target);

} // namespace coriandertray
