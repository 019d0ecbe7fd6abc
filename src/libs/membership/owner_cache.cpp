#include "membership/owner_cache.h"

#include "membership/rendezvous.h"

namespace coriandertray {

void owner_cache::update(const membership_state &Members) {
  std::vector<std::string> Live = liveHosts(Members);
  if (Live == LiveHosts)
    return;
  LiveHosts = std::move(Live);
  Owners.clear();
}

const std::string &owner_cache::ownerOf(std::string_view Key) const {
  const auto [Place, IsNew] = Owners.try_emplace(std::string(Key));
  if (IsNew)
    Place->second = coriandertray::ownerOf(Key, LiveHosts);
  return Place->second;
}

} // namespace coriandertray
