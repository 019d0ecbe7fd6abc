/// \file
/// Rendezvous hashing: every host computes the same owners of a key from the
/// same hosts, without coordination.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// \returns the owner of \p Key among \p Hosts, or an empty string if there are
/// no hosts.
[[nodiscard]] std::string ownerOf(std::string_view Key,
                                  const std::vector<std::string> &Hosts);

/// \returns the \p Count hosts with the highest scores for \p Key, the highest
/// first, or all of \p Hosts if there are fewer.
[[nodiscard]] std::vector<std::string>
ownersOf(std::string_view Key, const std::vector<std::string> &Hosts,
         std::size_t Count);

} // namespace coriandertray
