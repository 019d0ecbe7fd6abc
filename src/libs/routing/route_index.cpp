#include "routing/route_index.h"

#include "utils/hash.h"

#include <algorithm>
#include <numeric>

namespace coriandertray {

namespace {

// Adding the golden ratio modulo 1 gives a low-discrepancy sequence: its values
// are spread evenly over [0, 1) after any number of steps.
constexpr double GoldenRatioStep = 0.6180339887498949;

std::string hostWithoutPort(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::ranges::transform(Name, Name.begin(), [](char Character) {
    return Character >= 'A' && Character <= 'Z'
               ? static_cast<char>(Character + 32)
               : Character;
  });
  return Name;
}

std::string indexKey(std::string_view Host, std::string_view Prefix) {
  return hostWithoutPort(Host) + " " + std::string(Prefix);
}

} // namespace

route_index::route_index(const routing_config &Config, std::uint64_t Seed)
    : Config(Config) {
  // The index needs no accounts, and their keys are secrets.
  this->Config.Accounts.clear();
  for (std::size_t Index = 0; Index < Config.Routes.size(); ++Index) {
    const route_rule &Route = Config.Routes[Index];
    ByHostAndPrefix.emplace(indexKey(Route.Host, Route.PathPrefix), Index);
    // Maps the upper 32 bits of the hash to [0, 1).
    constexpr double Scale = 1.0 / 4294967296.0;
    SplitPhases.push_back(
        static_cast<double>(stableHash(Route.Name, Seed) >> 32U) * Scale);
  }
}

const route_rule *route_index::match(std::string_view Host,
                                     std::string_view Target) const {
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  for (;;) {
    const std::size_t Slash = Path.rfind('/');
    if (Slash == std::string_view::npos)
      return nullptr;
    const std::string_view Prefix = Path.substr(0, Slash + 1);
    const auto Found = ByHostAndPrefix.find(indexKey(Host, Prefix));
    if (Found != ByHostAndPrefix.end())
      return &Config.Routes[Found->second];
    Path = Path.substr(0, Slash);
  }
}

const std::string &route_index::nextService(const route_rule &Route) {
  const auto Index = static_cast<std::size_t>(&Route - Config.Routes.data());
  const std::uint64_t Total = std::accumulate(
      Route.Services.begin(), Route.Services.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const weighted_service &Weighted) {
        return Sum + Weighted.Weight;
      });
  double &Phase = SplitPhases[Index];
  Phase += GoldenRatioStep;
  Phase -= static_cast<double>(static_cast<int>(Phase));
  double Remaining = Phase * static_cast<double>(Total);
  for (const weighted_service &Weighted : Route.Services) {
    Remaining -= Weighted.Weight;
    if (Remaining < 0)
      return Weighted.Service;
  }
  // Reached through rounding errors, or if all weights are zero.
  return Route.Services.back().Service;
}

} // namespace coriandertray
