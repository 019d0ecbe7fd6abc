#include "entry_host/fleet_view.h"

#include "utils/hash.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// The reader waits this long for a change of the backend servers. It then tells
// its subscribers that there was none.
constexpr duration BackendsWatchTimeout = milliseconds(400);
// Changes that follow each other within this time are pushed together. Each
// push costs a host time in proportion to the length of the list.
constexpr duration MinBackendsPushInterval = milliseconds(60);
constexpr duration BackendsPushIntervalPerServer =
    std::chrono::microseconds(300);
// How often a host that reads the platform only for itself does so.
constexpr duration ReadInterval = milliseconds(400);
// How often a host checks whether its view is stale.
constexpr duration TickInterval = milliseconds(150);
// Check interval after the start, until the first lists have arrived.
constexpr duration FirstTickInterval = milliseconds(25);
// Duration of one watch on the configuration. A watch that ends without a
// change confirms that there is no newer configuration.
constexpr duration ConfigWatchTimeout = milliseconds(400);
constexpr duration ConfigRetryInterval = milliseconds(300);
constexpr duration MissingConfigRetryInterval = seconds(2);
// Minimum read interval of hosts other than the reader while the platform is
// unreachable.
constexpr duration OutageReadInterval = milliseconds(1500);
// A host whose view is older than StaleAfter subscribes to the backup readers;
// one whose view is older than DirectReadAge reads the platform itself. The
// spread delays these reads by a different time on each host, up to
// DirectReadSpreadPerHost times the number of hosts.
constexpr duration StaleAfter = milliseconds(1200);
constexpr duration DirectReadAge = milliseconds(1700);
constexpr duration DirectReadSpreadPerHost = milliseconds(10);
// A host reports a route as unknown only if its configuration was confirmed
// within this time.
constexpr duration ConfigConfirmationMaxAge = milliseconds(2500);
constexpr duration ReregisterInterval = seconds(1);
// Age of a member list that was never read.
constexpr duration NeverReadAge = seconds(3600);

} // namespace

fleet_view::fleet_view(asio::io_context &Context, const clock_source &Clock,
                       platform_port &Platform, peer_network &Peers,
                       fleet_member Self, fleet_view_handlers Handlers)
    : Context(Context), Clock(Clock), Platform(Platform), Peers(Peers),
      Self(std::move(Self)), Handlers(std::move(Handlers)) {}

void fleet_view::start() {
  StartedAt = Clock.now();
  Peers.setViewAgeSource([this] { return age(); });
  asio::co_spawn(Context, readFirstConfig(), asio::detached);
  asio::co_spawn(Context, join(), asio::detached);
  asio::co_spawn(Context, tickLoop(), asio::detached);
  asio::co_spawn(Context, watchConfigLoop(), asio::detached);
  asio::co_spawn(Context, watchBackendsLoop(), asio::detached);
}

// While the platform has no configuration, only the reader asks for it at the
// short interval; it notifies the other hosts once there is one.
asio::awaitable<void> fleet_view::readFirstConfig() {
  asio::steady_timer Timer(Context);
  while (!Config) {
    (void)co_await readConfig();
    const time_point RequestedAt = Clock.now();
    const auto RetryIsDue = [&] {
      const duration Pause = ConfigIsMissing && !isReader()
                                 ? MissingConfigRetryInterval
                                 : ConfigRetryInterval;
      return Clock.now() - RequestedAt >= Pause;
    };
    while (!Config && !RetryIsDue()) {
      Timer.expires_after(TickInterval);
      co_await Timer.async_wait(UseTuple);
    }
  }
}

void fleet_view::recordPlatformResult(const std::optional<error> &Failure) {
  // A report of a missing object also shows that the platform is reachable.
  const bool Answered = !Failure || Failure->Code == error_code::ObjectMissing;
  if (Answered == PlatformAvailable)
    return;
  PlatformAvailable = Answered;
  logEvent(Answered ? log_level::Info : log_level::Warning,
           Answered ? "dependency-regained" : "dependency-lost",
           {{"dependency", "platform"},
            {"detail", Failure ? toString(*Failure) : ""}});
}

duration fleet_view::tickInterval() const {
  const bool AwaitsFirstData =
      !isComplete() && Clock.now() - StartedAt < DirectReadAge;
  return AwaitsFirstData ? FirstTickInterval : TickInterval;
}

duration fleet_view::backendsPushInterval() const {
  return std::max<duration>(MinBackendsPushInterval,
                            BackendsPushIntervalPerServer *
                                Directory.Backends.size());
}

duration fleet_view::directoryAge() const {
  return Clock.now() - Directory.ConfirmedAt.value_or(StartedAt);
}

duration fleet_view::configAge() const {
  return Clock.now() - ConfigConfirmedAt.value_or(StartedAt);
}

duration fleet_view::membersAge() const {
  return MembersReadAt ? Clock.now() - *MembersReadAt : NeverReadAge;
}

duration fleet_view::age() const {
  return std::max(directoryAge(), configAge());
}

bool fleet_view::isStale() const { return age() > StaleAfter; }

bool fleet_view::configIsCurrent() const {
  return ConfigConfirmedAt && AnnouncedVersion <= configVersion() &&
         configAge() < ConfigConfirmationMaxAge;
}

std::string fleet_view::readerHost() const {
  for (const std::string &Host : Peers.hostsRankedFor(ReaderDuty))
    if (Peers.isUsable(Host))
      return Host;
  return Self.Host;
}

// A host that doesn't know the other hosts yet would always consider itself the
// reader.
bool fleet_view::isReader() const {
  return FirstJoinFinished && MembersReadAt && readerHost() == Self.Host;
}

bool fleet_view::readsForOthers() const {
  return isReader() || Clock.now() < BackupReaderUntil;
}

bool fleet_view::mayReadPlatform() const {
  return readsForOthers() || age() > directReadAge();
}

duration fleet_view::directReadAge() const {
  constexpr std::uint64_t Steps = 1024;
  const std::uint64_t OwnStep = stableHash(Self.Host) % Steps;
  const auto MaxSpread = DirectReadSpreadPerHost * Peers.members().size();
  return DirectReadAge + MaxSpread * OwnStep / Steps;
}

void fleet_view::publishBackends() {
  addVersion(BackendLists, Directory.Backends);
  Handlers.OnBackends(Directory.Backends);
  logEvent(log_level::Info, "backends-changed",
           {{"count", Directory.Backends.size()},
            {"draining", std::ranges::count(Directory.Backends, true,
                                            &backend_registration::Draining)}});
}

// Hosts other than the reader read less often the more hosts there are, so that
// many stale views at once don't overload the platform.
duration fleet_view::readInterval() const {
  if (readsForOthers())
    return ReadInterval;
  const duration Spread = DirectReadSpreadPerHost * Peers.members().size();
  return std::max<duration>(
      PlatformAvailable ? ReadInterval : OutageReadInterval, Spread);
}

// \returns whether the platform answered.
asio::awaitable<bool> fleet_view::readBackends() {
  result<backend_listing> Listed;
  if (readsForOthers())
    Listed = co_await Platform.awaitBackends(BackendsWatchTimeout);
  else
    Listed = co_await Platform.readBackends();
  recordPlatformResult(failureOf(Listed));
  if (!Listed) {
    WasCutOff = Peers.isCutOff();
    co_return false;
  }
  // The other hosts may have read the platform all the time.
  if (std::exchange(WasCutOff, false))
    disregardPause(Directory, Listed->CurrentAt);
  if (mergePlatformList(Directory, Listed->Servers, Listed->Epoch,
                        Listed->CurrentAt))
    publishBackends();
  pushAll();
  co_return true;
}

asio::awaitable<void> fleet_view::watchBackendsLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    if (!mayReadPlatform()) {
      Timer.expires_after(tickInterval());
      co_await Timer.async_wait(UseTuple);
      continue;
    }
    const time_point RequestedAt = Clock.now();
    const bool Answered = co_await readBackends();
    if (Answered && readsForOthers())
      Timer.expires_at(RequestedAt + backendsPushInterval());
    else
      Timer.expires_after(readInterval());
    co_await Timer.async_wait(UseTuple);
  }
}

void fleet_view::confirmConfig(time_point At) {
  ConfigConfirmedAt = std::max(At, ConfigConfirmedAt.value_or(At));
}

void fleet_view::applyPlatformConfig(const config_document &Read,
                                     time_point ReadAt) {
  confirmConfig(ReadAt);
  if (Read.Position <= SeenPosition)
    return;
  SeenPosition = Read.Position;
  applyConfig(Read);
}

// Versions are the operator's and only rise, whereas the positions of documents
// begin anew when the store is restored. Therefore the version alone decides.
void fleet_view::applyConfig(const config_document &Next) {
  const json::object Origin = {{"epoch", Next.Position.Epoch},
                               {"revision", Next.Position.Revision}};
  const result<routing_config> Decoded = Platform.decodeConfig(Next);
  if (!Decoded) {
    logEvent(log_level::Error, "config-unreadable",
             {{"position", Origin}, {"detail", toString(Decoded.error())}});
    return;
  }
  if (Config && Decoded->Version <= Config->Version) {
    if (Decoded->Version < Config->Version)
      logEvent(log_level::Warning, "config-older-refused",
               {{"position", Origin},
                {"version", Decoded->Version},
                {"held", Config->Version}});
    return;
  }
  Document = Next;
  Config = *Decoded;
  Handlers.OnConfig(*Config);
  logEvent(log_level::Info, "config-in-force",
           {{"version", Config->Version},
            {"position", Origin},
            {"routes", Config->Routes.size()},
            {"accounts", Config->Accounts.size()}});
  // The handler holds the accounts, with their keys as hashes only.
  Config->Accounts.clear();
  pushAll();
}

asio::awaitable<bool> fleet_view::readConfig() {
  if (std::exchange(ReadingConfig, true))
    co_return false;
  const time_point RequestedAt = Clock.now();
  const result<config_document> Read = co_await Platform.readConfig();
  ReadingConfig = false;
  ConfigIsMissing = !Read && Read.error().Code == error_code::ObjectMissing;
  recordPlatformResult(failureOf(Read));
  if (!Read)
    co_return false;
  applyPlatformConfig(*Read, RequestedAt);
  co_return Config.has_value();
}

asio::awaitable<void> fleet_view::watchConfigLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    if (!mayReadPlatform()) {
      Timer.expires_after(tickInterval());
      co_await Timer.async_wait(UseTuple);
      continue;
    }
    const time_point RequestedAt = Clock.now();
    const result<std::optional<config_document>> Next =
        co_await Platform.awaitConfig(SeenPosition, ConfigWatchTimeout);
    recordPlatformResult(failureOf(Next));
    if (!Next) {
      // A watch can be refused, or its revision history have expired, while
      // plain reads still work.
      const bool MayAnswer =
          Next.error().Code != error_code::PlatformUnreachable;
      if (MayAnswer && co_await readConfig())
        continue;
      Timer.expires_after(readInterval());
      co_await Timer.async_wait(UseTuple);
      continue;
    }
    if (*Next)
      applyPlatformConfig(**Next, RequestedAt);
    else
      confirmConfig(std::min(RequestedAt + ConfigWatchTimeout, Clock.now()));
  }
}

asio::awaitable<void> fleet_view::tickLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    flushLog();
    tick();
    Timer.expires_after(tickInterval());
    co_await Timer.async_wait(UseTuple);
  }
}

void fleet_view::tick() {
  const time_point Now = Clock.now();
  if (!Members.Unlisted.empty())
    updatePeers();
  const bool Reader = isReader();
  if (Reader)
    maintainMembers();
  else
    ReaderSince = Now;
  if (!Reader && Now - SubscribedAt >= subscribeInterval())
    subscribe();
  if (!Registered && !Joining && Now - MembersRequestedAt >= ReregisterInterval)
    asio::co_spawn(Context, join(), asio::detached);
}

json::object fleet_view::dump() const {
  return {{"complete", isComplete()},
          {"age_ms", toMilliseconds(age())},
          {"reader", readerHost()},
          {"members", Peers.members().size()},
          {"backend_servers", Directory.Backends.size()},
          {"subscribers", Subscribers.size()},
          {"config_version", configVersion()},
          {"config_is_current", configIsCurrent()}};
}

} // namespace coriandertray
