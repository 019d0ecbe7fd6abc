#include "balancing/route_table.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr char KeySeparator = ' ';

std::string routeKey(std::string_view Host, std::string_view Prefix) {
  while (Prefix.ends_with('/'))
    Prefix.remove_suffix(1);
  std::string Key(Host);
  Key += KeySeparator;
  Key += Prefix;
  return Key;
}

std::string_view withoutQuery(std::string_view Target) {
  return Target.substr(0, Target.find_first_of("?#"));
}

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

route_table::route_table(const manifest &Manifest) {
  for (std::size_t Service = 0; Service < Manifest.Services.size(); ++Service) {
    const std::vector<route> &ServiceRoutes = Manifest.Services[Service].Routes;
    for (std::size_t Route = 0; Route < ServiceRoutes.size(); ++Route)
      Routes.emplace(
          routeKey(ServiceRoutes[Route].Host, ServiceRoutes[Route].PathPrefix),
          route_match{Service, Route});
  }
}

std::optional<route_match> route_table::match(std::string_view Host,
                                              std::string_view Target) const {
  for (const std::string_view Name : {withoutPort(Host), std::string_view()}) {
    std::string_view Path = withoutQuery(Target);
    for (;;) {
      const auto Found = Routes.find(routeKey(Name, Path));
      if (Found != Routes.end())
        return Found->second;
      if (Path.empty())
        break;
      Path = Path.substr(0, Path.rfind('/'));
    }
  }
  return std::nullopt;
}

bool isUnambiguousPath(std::string_view Target) {
  const std::string_view Path = withoutQuery(Target);
  if (!Path.starts_with('/'))
    return false;
  std::string Lower(Path);
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  constexpr std::string_view Ambiguous[] = {"//",  "/./", "/../", "%2f",
                                            "%2e", "%5c", "\\",   "%00"};
  const bool HasAmbiguous =
      std::ranges::any_of(Ambiguous, [&Lower](std::string_view Pattern) {
        return Lower.find(Pattern) != std::string::npos;
      });
  return !HasAmbiguous && !Path.ends_with("/.") && !Path.ends_with("/..");
}

} // namespace coriandertray
