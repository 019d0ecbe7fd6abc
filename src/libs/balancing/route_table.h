/// \file
/// Finding the route of a request: the longest matching path prefix, a named
/// host before any host.
#pragma once

#include "manifest/manifest.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandertray {

/// Where a request goes, as indexes into the manifest.
struct route_match {
  std::size_t ServiceIndex = 0;
  std::size_t RouteIndex = 0;
  auto operator<=>(const route_match &) const = default;
};

/// An index over the routes of one manifest. Safe to read from many threads.
class route_table {
public:
  explicit route_table(const manifest &Manifest);

  /// \returns the route of \p Target, a path with or without a query, asked
  /// of \p Host, with or without a port.
  [[nodiscard]] std::optional<route_match> match(std::string_view Host,
                                                 std::string_view Target) const;

private:
  std::unordered_map<std::string, route_match> Routes;
};

/// \returns whether \p Target is an absolute path without dot segments, empty
/// segments or encoded separators, which two readers could resolve differently.
[[nodiscard]] bool isUnambiguousPath(std::string_view Target);

} // namespace coriandertray
