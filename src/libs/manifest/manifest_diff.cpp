#include "manifest/manifest_diff.h"

#include "manifest/manifest_writer.h"
#include "utils/json.h"

#include <algorithm>
#include <map>

namespace coriandertray {

namespace {

/// The serialized value of each element of a manifest, by its path.
using serialized_elements = std::map<std::string, std::string>;

void addServiceElements(const service &Service, serialized_elements &Elements) {
  const std::string ServicePath = "service/" + Service.Name;
  json::object Object = toJson(Service);
  for (const char *ArrayKey : {"backend_servers", "routes"}) {
    // The array's name without its plural "s".
    const std::string Singular(ArrayKey, std::string_view(ArrayKey).size() - 1);
    for (const json::value &Element : Object[ArrayKey].get_array())
      Elements[ServicePath + "/" + Singular + "/" +
               stringAt(Element.get_object(), "name")] =
          json::serialize(Element);
    Object.erase(ArrayKey);
  }
  Elements[ServicePath] = json::serialize(Object);
}

serialized_elements serializeElements(const manifest &Manifest) {
  serialized_elements Elements;
  for (const service &Service : Manifest.Services)
    addServiceElements(Service, Elements);
  for (const account &Account : Manifest.Accounts)
    Elements["account/" + Account.Name] =
        std::to_string(Account.Limits.MaxInFlight) + " " +
        std::to_string(Account.Limits.RequestsPerSecond);
  Elements["fleet"] = json::serialize(commonFieldsToJson(Manifest));
  return Elements;
}

} // namespace

std::vector<manifest_change> compareManifests(const manifest &Before,
                                              const manifest &After) {
  const serialized_elements Old = serializeElements(Before);
  const serialized_elements New = serializeElements(After);
  std::vector<manifest_change> Changes;
  for (const auto &[Path, Json] : New) {
    const auto Found = Old.find(Path);
    if (Found == Old.end())
      Changes.push_back({change_kind::Added, Path});
    else if (Found->second != Json)
      Changes.push_back({change_kind::Changed, Path});
  }
  for (const auto &[Path, Json] : Old)
    if (!New.contains(Path))
      Changes.push_back({change_kind::Removed, Path});
  std::ranges::sort(Changes, {}, &manifest_change::Path);
  return Changes;
}

char changeSign(change_kind Kind) {
  switch (Kind) {
  case change_kind::Added:
    return '+';
  case change_kind::Removed:
    return '-';
  case change_kind::Changed:
    return '~';
  }
  return '?';
}

} // namespace coriandertray
