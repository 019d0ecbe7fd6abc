#include "membership/rendezvous.h"

#include "utils/hash.h"

#include <algorithm>

namespace coriandertray {

std::vector<std::string> ownersOf(std::string_view Key,
                                  const std::vector<std::string> &Hosts,
                                  std::size_t Count) {
  const std::uint64_t Seed = stableHash(Key);
  std::vector<std::pair<std::uint64_t, const std::string *>> Scored;
  Scored.reserve(Hosts.size());
  for (const std::string &Host : Hosts)
    Scored.emplace_back(stableHash(Host, Seed), &Host);
  const std::size_t OwnerCount = std::min(Count, Scored.size());
  std::ranges::partial_sort(
      Scored, Scored.begin() + static_cast<std::ptrdiff_t>(OwnerCount),
      [](const auto &Left, const auto &Right) {
        return Left.first != Right.first ? Left.first > Right.first
                                         : *Left.second > *Right.second;
      });
  std::vector<std::string> Owners;
  Owners.reserve(OwnerCount);
  for (std::size_t Index = 0; Index < OwnerCount; ++Index)
    Owners.push_back(*Scored[Index].second);
  return Owners;
}

std::string ownerOf(std::string_view Key,
                    const std::vector<std::string> &Hosts) {
  const std::vector<std::string> Owners = ownersOf(Key, Hosts, 1);
  return Owners.empty() ? std::string() : Owners.front();
}

} // namespace coriandertray
