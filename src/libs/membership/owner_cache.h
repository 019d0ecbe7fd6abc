/// \file
/// Owners of keys by rendezvous hashing, remembered until the fleet changes.
#pragma once

#include "membership/membership.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coriandertray {

/// Not thread-safe.
class owner_cache {
public:
  /// Takes over who is live in \p Members; call it after every change.
  void update(const membership_state &Members);

  /// \returns the owner of \p Key among the live hosts, or an empty string.
  [[nodiscard]] const std::string &ownerOf(std::string_view Key) const;

private:
  std::vector<std::string> LiveHosts;
  mutable std::unordered_map<std::string, std::string> Owners;
};

} // namespace coriandertray
