#include "manifest/manifest.h"

#include <algorithm>
#include <numeric>

namespace coriandertray {

const service *findService(const manifest &Manifest, std::string_view Name) {
  const auto Found = std::ranges::find(Manifest.Services, Name, &service::Name);
  return Found == Manifest.Services.end() ? nullptr : &*Found;
}

const backend_server *findBackendServer(const service &Service,
                                        std::string_view Name) {
  const auto Found =
      std::ranges::find(Service.BackendServers, Name, &backend_server::Name);
  return Found == Service.BackendServers.end() ? nullptr : &*Found;
}

std::uint32_t totalSlots(const service &Service) {
  return std::accumulate(Service.BackendServers.begin(),
                         Service.BackendServers.end(), 0U,
                         [](std::uint32_t Sum, const backend_server &Server) {
                           return Sum + Server.Slots;
                         });
}

std::string_view storeUnavailablePolicyName(store_unavailable_policy Policy) {
  return Policy == store_unavailable_policy::Refuse ? "refuse" : "run-once";
}

} // namespace coriandertray
