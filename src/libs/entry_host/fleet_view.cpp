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
// How often the reader lists the backend servers, and tells the others.
constexpr duration ReadInterval = milliseconds(400);
// How often a host looks whether what it knows has grown old.
constexpr duration TickInterval = milliseconds(150);
// Shortly after its start a host waits for the first lists.
constexpr duration FirstTickInterval = milliseconds(25);
// How long a watch of the configuration waits; it confirms that there is none
// newer.
constexpr duration ConfigWait = milliseconds(500);
constexpr duration RetryPause = milliseconds(300);
constexpr duration MissingConfigPause = seconds(2);
// While the platform doesn't answer, only the reader asks often.
constexpr duration OutagePause = milliseconds(1500);
constexpr duration RegisterPause = milliseconds(400);
constexpr int LooksAfterJoining = 3;
// A view older than this makes a host ask the next ones in the reader's order;
// one older than the next makes it read itself. The more hosts there are, the
// more these reads are spread.
constexpr duration StaleAfter = milliseconds(1200);
constexpr duration ReadSelfAfter = milliseconds(1700);
constexpr duration ReadSelfSpread = milliseconds(10);
// A missing route is only reported by a host whose configuration was confirmed
// within this time.
constexpr duration ConfirmedFor = milliseconds(2500);
constexpr duration MembersInterval = seconds(4);
constexpr duration MembersIntervalAtStart = seconds(1);
constexpr duration ReregisterPause = seconds(1);
constexpr duration MembersSettleTime = seconds(4);
// The age of what was never read.
constexpr duration LongAgo = seconds(3600);
// A host that the reader hasn't heard from for so long is removed.
constexpr duration RemoveAfter = seconds(20);

template <typename T> std::optional<error> failureOf(const result<T> &Result) {
  return Result ? std::nullopt : std::optional<error>(Result.error());
}

std::uint64_t memberListVersion(const std::vector<fleet_member> &Members) {
  std::uint64_t Hash = 1;
  for (const fleet_member &Member : Members)
    Hash = stableHash(Member.Host + toString(Member.Address) + Member.Zone,
                      Hash + Member.CapacityMillicores);
  return Hash;
}

} // namespace

fleet_view::fleet_view(asio::io_context &Context, const clock_source &Clock,
                       platform_port &Platform, peer_network &Peers,
                       fleet_member Self, fleet_view_handlers Handlers)
    : Context(Context), Clock(Clock), Platform(Platform), Peers(Peers),
      Self(std::move(Self)), Handlers(std::move(Handlers)) {}

void fleet_view::start() {
  StartedAt = Clock.now();
  Peers.compareViews([this] { return age(); });
  asio::co_spawn(Context, readFirstConfig(), asio::detached);
  asio::co_spawn(Context, join(), asio::detached);
  asio::co_spawn(Context, tickLoop(), asio::detached);
  asio::co_spawn(Context, watchConfigLoop(), asio::detached);
}

// While there is no configuration, only the reader keeps asking; it tells the
// others.
asio::awaitable<void> fleet_view::readFirstConfig() {
  asio::steady_timer Timer(Context);
  while (!Config) {
    (void)co_await readConfig();
    const time_point Asked = Clock.now();
    const auto MustAsk = [&] {
      const duration Pause =
          ConfigIsMissing && !isReader() ? MissingConfigPause : RetryPause;
      return Clock.now() - Asked >= Pause;
    };
    while (!Config && !MustAsk()) {
      Timer.expires_after(TickInterval);
      co_await Timer.async_wait(UseTuple);
    }
  }
}

// Hosts that start together register together: only a second look shows all.
asio::awaitable<void> fleet_view::join() {
  if (std::exchange(Joining, true))
    co_return;
  asio::steady_timer Timer(Context);
  co_await readMembers(true);
  if (!Registered) {
    const result<void> Added = co_await Platform.addMember(Self);
    noteCall(failureOf(Added));
    // A list that lacks this host is older than its registration.
    for (int Look = 0; Look < LooksAfterJoining && !Registered; ++Look) {
      Timer.expires_after(RegisterPause);
      co_await Timer.async_wait(UseTuple);
      co_await readMembers(Look + 1 < LooksAfterJoining);
    }
  }
  Joining = false;
  Joined = true;
}

void fleet_view::noteCall(const std::optional<error> &Failure) {
  // What is missing was answered for.
  const bool Answered = !Failure || Failure->Code == error_code::ObjectMissing;
  if (Answered == PlatformAnswers)
    return;
  PlatformAnswers = Answered;
  logEvent(Answered ? log_level::Info : log_level::Warning,
           Answered ? "dependency-regained" : "dependency-lost",
           {{"dependency", "platform"},
            {"detail", Failure ? toString(*Failure) : ""}});
}

duration fleet_view::directoryAge() const {
  return Clock.now() - Directory.ConfirmedAt.value_or(StartedAt);
}

duration fleet_view::configAge() const {
  return Clock.now() - ConfigConfirmedAt.value_or(StartedAt);
}

duration fleet_view::membersAge() const {
  return MembersReadAt ? Clock.now() - *MembersReadAt : LongAgo;
}

duration fleet_view::age() const {
  return std::max(directoryAge(), configAge());
}

bool fleet_view::isStale() const { return age() > StaleAfter; }

bool fleet_view::configIsCurrent() const {
  return ConfigConfirmedAt && configAge() < ConfirmedFor;
}

std::string fleet_view::readerHost() const {
  for (const std::string &Host : Peers.ranked(ReaderDuty))
    if (Peers.isUsable(Host))
      return Host;
  return Self.Host;
}

// A host that doesn't know the others yet would always take itself for it.
bool fleet_view::isReader() const {
  return Joined && MembersReadAt && readerHost() == Self.Host;
}

bool fleet_view::mayRead() const {
  return isReader() || Clock.now() < DeputyUntil || age() > readSelfAfter();
}

duration fleet_view::readSelfAfter() const {
  constexpr std::uint64_t Steps = 1024;
  const std::uint64_t Own = stableHash(Self.Host) % Steps;
  const auto Most = ReadSelfSpread * Peers.members().size();
  return ReadSelfAfter + Most * Own / Steps;
}

void fleet_view::publishBackends() {
  addVersion(BackendLists, Directory.Backends);
  Handlers.OnBackends(Directory.Backends);
  logEvent(log_level::Info, "backends-changed",
           {{"count", Directory.Backends.size()},
            {"draining", std::ranges::count(Directory.Backends, true,
                                            &backend_registration::Draining)}});
}

// Many hosts whose views are old at once must not burden the platform.
duration fleet_view::readPause() const {
  if (isReader() || Clock.now() < DeputyUntil)
    return ReadInterval;
  const duration Spread = ReadSelfSpread * Peers.members().size();
  return std::max<duration>(PlatformAnswers ? ReadInterval : OutagePause,
                            Spread);
}

asio::awaitable<void> fleet_view::readBackends() {
  if (std::exchange(ReadingBackends, true))
    co_return;
  const time_point Asked = Clock.now();
  BackendsAskedAt = Asked;
  const result<std::vector<backend_registration>> Listed =
      co_await Platform.readBackends();
  ReadingBackends = false;
  noteCall(failureOf(Listed));
  if (!Listed)
    co_return;
  if (mergePlatformList(Directory, *Listed, Asked))
    publishBackends();
  pushAll();
}

void fleet_view::takeMembers(std::vector<fleet_member> Listed) {
  Registered = std::ranges::find(Listed, Self) != Listed.end();
  if (!Registered)
    Listed.push_back(Self);
  std::ranges::sort(Listed);
  MembersVersion = memberListVersion(Listed);
  Peers.setMembers(std::move(Listed));
}

asio::awaitable<void> fleet_view::readMembers(bool MayBeOld) {
  const time_point Asked = Clock.now();
  MembersAskedAt = Asked;
  result<std::vector<fleet_member>> Listed =
      co_await Platform.readMembers(MayBeOld);
  noteCall(failureOf(Listed));
  if (!Listed)
    co_return;
  MembersReadAt = Asked;
  takeMembers(std::move(*Listed));
}

void fleet_view::confirmConfig(time_point At) {
  ConfigConfirmedAt = std::max(At, ConfigConfirmedAt.value_or(At));
}

void fleet_view::takeConfig(const config_document &Next, time_point ReadAt) {
  confirmConfig(ReadAt);
  if (Next.Revision <= SeenRevision)
    return;
  SeenRevision = Next.Revision;
  const result<routing_config> Decoded = Platform.decodeConfig(Next);
  if (!Decoded) {
    logEvent(
        log_level::Error, "config-unreadable",
        {{"revision", Next.Revision}, {"detail", toString(Decoded.error())}});
    return;
  }
  if (Config && Decoded->Version < Config->Version) {
    logEvent(log_level::Warning, "config-older-refused",
             {{"version", Decoded->Version}, {"held", Config->Version}});
    return;
  }
  Document = Next;
  Config = *Decoded;
  Handlers.OnConfig(*Config);
  logEvent(log_level::Info, "config-in-force",
           {{"version", Config->Version},
            {"revision", Next.Revision},
            {"routes", Config->Routes.size()}});
  pushAll();
}

asio::awaitable<bool> fleet_view::readConfig() {
  if (std::exchange(ReadingConfig, true))
    co_return false;
  const time_point Asked = Clock.now();
  const result<config_document> Read = co_await Platform.readConfig();
  ReadingConfig = false;
  ConfigIsMissing = !Read && Read.error().Code == error_code::ObjectMissing;
  noteCall(failureOf(Read));
  if (!Read)
    co_return false;
  takeConfig(*Read, Asked);
  co_return Config.has_value();
}

asio::awaitable<void> fleet_view::watchConfigLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    if (!mayRead()) {
      Timer.expires_after(TickInterval);
      co_await Timer.async_wait(UseTuple);
      continue;
    }
    const time_point Asked = Clock.now();
    const result<std::optional<config_document>> Next =
        co_await Platform.awaitConfig(SeenRevision, ConfigWait);
    noteCall(failureOf(Next));
    if (!Next) {
      // A watch can be cut off, or its history be gone, while reads go on.
      const bool MayAnswer =
          Next.error().Code != error_code::PlatformUnreachable;
      if (MayAnswer && co_await readConfig())
        continue;
      Timer.expires_after(readPause());
      co_await Timer.async_wait(UseTuple);
      continue;
    }
    if (*Next)
      takeConfig(**Next, Asked);
    else
      confirmConfig(std::min(Asked + ConfigWait, Clock.now()));
  }
}

asio::awaitable<void> fleet_view::removeGone() {
  const time_point Now = Clock.now();
  std::vector<std::string> Gone;
  for (const fleet_member &Member : Peers.members()) {
    const bool Heard = Member.Host == Self.Host || heardLately(Member.Host);
    if (Heard)
      AbsentSince.erase(Member.Host);
    else if (Now - AbsentSince.emplace(Member.Host, Now).first->second >
             RemoveAfter)
      Gone.push_back(Member.Host);
  }
  for (const std::string &Host : Gone) {
    AbsentSince.erase(Host);
    logEvent(log_level::Info, "member-removed", {{"member", Host}});
    const result<void> Removed = co_await Platform.removeMember(Host);
    noteCall(failureOf(Removed));
  }
}

asio::awaitable<void> fleet_view::tickLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    flushLog();
    tick();
    const bool Waits = !isComplete() && Clock.now() - StartedAt < ReadSelfAfter;
    Timer.expires_after(Waits ? FirstTickInterval : TickInterval);
    co_await Timer.async_wait(UseTuple);
  }
}

void fleet_view::tick() {
  const time_point Now = Clock.now();
  const bool Reader = isReader();
  if (mayRead() && Now - BackendsAskedAt >= readPause())
    asio::co_spawn(Context, readBackends(), asio::detached);
  if (Reader)
    lookAfterMembers();
  else
    ReaderSince = Now;
  if (!Reader && Now - SubscribedAt >= subscribePause())
    subscribe();
  if (!Registered && !Joining && Now - MembersAskedAt >= ReregisterPause)
    asio::co_spawn(Context, join(), asio::detached);
}

void fleet_view::lookAfterMembers() {
  const time_point Now = Clock.now();
  const bool Settled = Now - ReaderSince > MembersSettleTime;
  const duration Interval = Settled ? MembersInterval : MembersIntervalAtStart;
  if (Now - MembersAskedAt >= Interval)
    asio::co_spawn(Context, readMembers(Settled), asio::detached);
  if (Now - ReaderSince > RemoveAfter)
    asio::co_spawn(Context, removeGone(), asio::detached);
}

json::object fleet_view::dump() const {
  return {{"complete", isComplete()},
          {"age_ms", toMilliseconds(age())},
          {"reader", readerHost()},
          {"members", Peers.members().size()},
          {"backend_servers", Directory.Backends.size()},
          {"subscribers", Subscribers.size()},
          {"config_version", Config ? Config->Version : 0},
          {"config_is_current", configIsCurrent()}};
}

} // namespace coriandertray
