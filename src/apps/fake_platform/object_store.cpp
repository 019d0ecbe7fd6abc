#include "object_store.h"

#include "manifest/manifest.h"

#include <algorithm>

namespace coriandertray {

namespace {

std::set<std::string, std::less<>> readNames(const json::object &Object,
                                             std::string_view Key) {
  std::set<std::string, std::less<>> Names;
  const json::value *Array = Object.if_contains({Key.data(), Key.size()});
  if (!Array || !Array->is_array())
    return Names;
  for (const json::value &Name : Array->get_array())
    if (Name.is_string())
      Names.emplace(Name.get_string());
  return Names;
}

} // namespace

platform_faults readFaults(const json::object &Object) {
  platform_faults Faults;
  Faults.Down = boolAt(Object, "down");
  Faults.Slow = milliseconds(static_cast<int>(numberAt(Object, "slow_ms")));
  Faults.LoseAnswers = boolAt(Object, "lose_answers");
  Faults.StallWatches = boolAt(Object, "stall_watches");
  Faults.HostListLag =
      milliseconds(static_cast<int>(numberAt(Object, "host_list_lag_ms")));
  Faults.CutClients = readNames(Object, "cut_clients");
  Faults.MuteClients = readNames(Object, "mute_clients");
  return Faults;
}

std::optional<stored_object> object_store::find(std::string_view Key) const {
  const auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return std::nullopt;
  return Found->second;
}

result<std::uint64_t> object_store::put(const std::string &Key,
                                        std::string Value,
                                        std::uint64_t ExpectedVersion) {
  if (Value.size() > MaxPlatformValueBytes)
    return fail(error_code::ValueTooLarge, Key);
  const auto Found = Objects.find(Key);
  const std::uint64_t CurrentVersion =
      Found == Objects.end() ? 0 : Found->second.Version;
  if (CurrentVersion != ExpectedVersion)
    return fail(error_code::VersionConflict,
                Key + " has version " + std::to_string(CurrentVersion));
  Objects[Key] = {CurrentVersion + 1, std::move(Value)};
  return CurrentVersion + 1;
}

json::array object_store::list(std::string_view Prefix) const {
  json::array Keys;
  for (const auto &[Key, Object] : Objects)
    if (Key.starts_with(Prefix))
      Keys.emplace_back(Key);
  return Keys;
}

void object_store::setHosts(json::array Hosts, time_point Now) {
  HostLists.push_back({Now, std::move(Hosts)});
}

std::pair<json::array, std::uint64_t>
object_store::hostsAt(time_point Now, duration Lag) const {
  std::uint64_t Version = 0;
  json::array Hosts;
  for (const host_list_snapshot &List : HostLists) {
    if (List.RecordedAt > Now - Lag)
      break;
    Hosts = List.Hosts;
    ++Version;
  }
  return {Hosts, Version};
}

json::object object_store::callCounts() const {
  json::object Counts;
  for (const auto &[Kind, Count] : Calls)
    Counts[Kind] = Count;
  return Counts;
}

} // namespace coriandertray
