/// \file
/// Caches the owners of keys, found by rendezvous hashing.
#pragma once

#include "membership/membership.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coriandertray {

/// Owners among the live hosts, cached until these change. Not thread-safe.
class owner_cache {
public:
  /// Sets the live hosts to those of \p Members and clears the cache if they
  /// changed. Must be called after every change of \p Members.
  void update(const membership_state &Members);

  /// \returns the owner of \p Key among the live hosts, or an empty string if
  /// there are none.
  [[nodiscard]] const std::string &ownerOf(std::string_view Key) const;

private:
  std::vector<std::string> LiveHosts;
  mutable std::unordered_map<std::string, std::string> Owners;
};

} // namespace coriandertray
