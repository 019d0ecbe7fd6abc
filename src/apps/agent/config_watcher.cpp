#include "config_watcher.h"

#include "manifest/manifest_split.h"
#include "membership/rendezvous.h"
#include "utils/hash.h"
#include "utils/json.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t WatchersPerZone = 2;
constexpr duration WatchTimeout = seconds(5);
constexpr duration WatcherCheckInterval = milliseconds(500);
constexpr duration HostListInterval = seconds(1);
constexpr duration MinBackoff = milliseconds(200);
constexpr duration MaxBackoff = seconds(5);

std::vector<std::uint8_t> toBytes(std::string_view Text) {
  return {Text.begin(), Text.end()};
}

json::array leavingHostNames(const std::vector<platform_host> &Hosts) {
  json::array Names;
  for (const platform_host &Host : Hosts)
    if (Host.Leaving)
      Names.emplace_back(Host.Name);
  return Names;
}

} // namespace

config_watcher::config_watcher(asio::io_context &Context,
                               const membership_state &Members,
                               const versioned_table &Table,
                               platform_client &Platform, entry_handler OnEntry)
    : Context(Context), Members(Members), Table(Table), Platform(Platform),
      OnEntry(std::move(OnEntry)),
      Random(stableHash(Members.Self.Host, WatchersPerZone)) {}

bool config_watcher::isWatcher() const {
  std::vector<std::string> ZoneHosts = liveHosts(Members);
  std::erase_if(ZoneHosts, [this](const std::string &Host) {
    return findMember(Members, Host)->Zone != Members.Self.Zone;
  });
  const std::vector<std::string> Watchers =
      ownersOf("config-watch/" + Members.Self.Zone, ZoneHosts, WatchersPerZone);
  return std::ranges::find(Watchers, Members.Self.Host) != Watchers.end();
}

asio::awaitable<void> config_watcher::pause(duration Time) {
  asio::steady_timer Timer(Context, Time);
  co_await Timer.async_wait(UseTuple);
}

asio::awaitable<void> config_watcher::watchConfig() {
  duration Backoff = MinBackoff;
  for (;;) {
    if (!isWatcher()) {
      co_await pause(WatcherCheckInterval);
      continue;
    }
    const bool Reached = co_await pollRoot();
    if (Reached) {
      Backoff = MinBackoff;
      continue;
    }
    // Without jitter, all watchers would call the platform at the same time
    // when it comes back.
    const double Jitter = std::uniform_real_distribution<>(0.5, 1.5)(Random);
    co_await pause(std::chrono::duration_cast<duration>(Backoff * Jitter));
    Backoff = std::min<duration>(Backoff * 2, MaxBackoff);
  }
}

asio::awaitable<bool> config_watcher::pollRoot() {
  const result<platform_object> Root = co_await Platform.watch(
      std::string(ConfigRootKey), SeenObjectVersion, WatchTimeout);
  if (!Root)
    co_return Root.error().Code == error_code::TimedOut;
  const bool Complete = co_await fetchParts(Root->Value);
  if (!Complete)
    co_return false;
  SeenObjectVersion = Root->Version;
  const result<config_root> Parsed = parseConfigRoot(Root->Value);
  if (!Parsed)
    co_return false;
  OnEntry({std::string(ConfigRootKey), Parsed->Version, toBytes(Root->Value)});
  co_return true;
}

asio::awaitable<bool> config_watcher::fetchParts(std::string_view RootText) {
  const result<config_root> Root = parseConfigRoot(RootText);
  if (!Root) {
    logEvent(log_level::Error, "config-root-malformed",
             {{"detail", Root.error().Detail}});
    co_return false;
  }
  for (const std::string &Key : configPartKeys(*Root)) {
    if (Table.find(Key))
      continue;
    const result<platform_object> Object = co_await Platform.get(Key);
    if (!Object)
      co_return false;
    OnEntry({Key, 1, toBytes(Object->Value)});
  }
  co_return true;
}

asio::awaitable<void> config_watcher::watchHosts() {
  for (;;) {
    co_await pause(HostListInterval);
    if (!isWatcher())
      continue;
    const auto Hosts = co_await Platform.hosts();
    if (!Hosts)
      continue;
    const std::string Names = json::serialize(leavingHostNames(Hosts->Hosts));
    OnEntry({std::string(LeavingHostsKey), Hosts->Version, toBytes(Names)});
  }
}

} // namespace coriandertray
