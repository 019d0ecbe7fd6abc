#include "entry_host/fleet_view.h"

#include "entry_host/slot_wire.h"
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
constexpr std::string_view ReaderDuty = "reader";
// How often the reader lists the backend servers, and tells the others.
constexpr duration ReadInterval = milliseconds(450);
constexpr duration ConfigWait = milliseconds(2000);
constexpr duration RetryPause = milliseconds(300);
// A view older than this makes a host look for another reader; one older than
// the next makes it read itself.
constexpr duration StaleAfter = milliseconds(800);
constexpr duration ReadSelfAfter = milliseconds(1300);
// A missing route is only reported by a host whose configuration was confirmed
// within this time.
constexpr duration ConfirmedFor = milliseconds(2500);
constexpr duration MembersInterval = seconds(4);
constexpr duration SubscriberMemory = seconds(3);
// A host that the reader hasn't heard from for so long is removed.
constexpr duration RemoveAfter = seconds(20);

} // namespace

fleet_view::fleet_view(asio::io_context &Context, const clock_source &Clock,
                       platform_port &Platform, peer_network &Peers,
                       fleet_member Self, fleet_view_handlers Handlers)
    : Context(Context), Clock(Clock), Platform(Platform), Peers(Peers),
      Self(std::move(Self)), Handlers(std::move(Handlers)) {}

void fleet_view::start() {
  Peers.watchDuty(std::string(ReaderDuty));
  Peers.setMembers({Self});
  asio::co_spawn(Context, startUp(), asio::detached);
}

asio::awaitable<void> fleet_view::startUp() {
  asio::co_spawn(Context, readBackends(), asio::detached);
  asio::co_spawn(Context, registerSelf(), asio::detached);
  asio::steady_timer Timer(Context);
  while (!Config) {
    const bool Read = co_await readConfig();
    if (Read)
      break;
    Timer.expires_after(RetryPause);
    co_await Timer.async_wait(UseTuple);
  }
  asio::co_spawn(Context, tickLoop(), asio::detached);
  asio::co_spawn(Context, watchConfigLoop(), asio::detached);
}

asio::awaitable<void> fleet_view::registerSelf() {
  asio::steady_timer Timer(Context);
  while (!Registered) {
    co_await readMembers();
    const std::vector<fleet_member> &Known = Peers.members();
    const bool Listed =
        Registered && std::ranges::find(Known, Self) != Known.end();
    if (Listed)
      co_return;
    const result<void> Added = co_await Platform.addMember(Self);
    noteCall(Added.has_value());
    Registered = Added.has_value();
    if (Registered)
      co_return;
    Timer.expires_after(RetryPause);
    co_await Timer.async_wait(UseTuple);
  }
}

void fleet_view::noteCall(bool Answered) {
  if (Answered == PlatformAnswers)
    return;
  PlatformAnswers = Answered;
  logEvent(Answered ? log_level::Info : log_level::Warning,
           Answered ? "dependency-regained" : "dependency-lost",
           {{"dependency", "platform"}});
}

duration fleet_view::age() const {
  return Directory.ReadAt ? Clock.now() - *Directory.ReadAt : seconds(3600);
}

bool fleet_view::configIsCurrent() const {
  return Config && ConfigConfirmedAt &&
         Clock.now() - *ConfigConfirmedAt < ConfirmedFor;
}

std::string fleet_view::readerHost() const {
  for (const std::string &Host : Peers.ranked(ReaderDuty))
    if (Peers.isUsable(Host))
      return Host;
  return Self.Host;
}

bool fleet_view::isReader() const { return readerHost() == Self.Host; }

bool fleet_view::mayRead() const { return isReader() || age() > ReadSelfAfter; }

std::uint64_t fleet_view::contentVersion() const {
  std::uint64_t Hash = 1;
  for (const backend_registration &Backend : Directory.Backends) {
    Hash = stableHash(Backend.Name, Hash);
    Hash = stableHash(Backend.Service, Hash);
    Hash = stableHash(toString(Backend.Address), Hash) + Backend.BornMs +
           Backend.Slots + (Backend.Draining ? 7 : 0) +
           (Backend.WarmUp > milliseconds(0) ? 13 : 0);
  }
  for (const fleet_member &Member : Peers.members())
    Hash = stableHash(Member.Host + toString(Member.Address), Hash);
  return Hash;
}

void fleet_view::publishBackends() {
  Handlers.OnBackends(Directory.Backends);
  logEvent(log_level::Info, "backends-changed",
           {{"count", Directory.Backends.size()},
            {"draining", std::ranges::count(Directory.Backends, true,
                                            &backend_registration::Draining)}});
}

asio::awaitable<void> fleet_view::readBackends() {
  if (std::exchange(ReadingBackends, true))
    co_return;
  const time_point Asked = Clock.now();
  const result<std::vector<backend_registration>> Listed =
      co_await Platform.readBackends();
  ReadingBackends = false;
  noteCall(Listed.has_value());
  if (!Listed)
    co_return;
  if (takeList(Directory, *Listed, Asked))
    publishBackends();
  pushAll();
}

void fleet_view::takeMembers(std::vector<fleet_member> Listed) {
  std::ranges::sort(Listed);
  Registered = std::ranges::find(Listed, Self) != Listed.end();
  if (!Registered)
    Listed.push_back(Self);
  std::ranges::sort(Listed);
  Peers.setMembers(std::move(Listed));
}

asio::awaitable<void> fleet_view::readMembers() {
  MembersReadAt = Clock.now();
  result<std::vector<fleet_member>> Listed = co_await Platform.readMembers();
  noteCall(Listed.has_value());
  if (Listed)
    takeMembers(std::move(*Listed));
}

void fleet_view::takeConfig(const config_document &Next) {
  ConfigConfirmedAt = Clock.now();
  if (Document && Next.Revision <= Document->Revision)
    return;
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
  const result<config_document> Read = co_await Platform.readConfig();
  ReadingConfig = false;
  noteCall(Read.has_value());
  if (!Read)
    co_return false;
  takeConfig(*Read);
  co_return Config.has_value();
}

asio::awaitable<void> fleet_view::watchConfigLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    if (!mayRead()) {
      Timer.expires_after(ReadInterval);
      co_await Timer.async_wait(UseTuple);
      continue;
    }
    const std::uint64_t Revision = Document ? Document->Revision : 0;
    const result<std::optional<config_document>> Next =
        co_await Platform.awaitConfig(Revision, ConfigWait);
    noteCall(Next.has_value());
    if (!Next) {
      Timer.expires_after(RetryPause);
      co_await Timer.async_wait(UseTuple);
      (void)co_await readConfig();
      continue;
    }
    ConfigConfirmedAt = Clock.now();
    if (*Next)
      takeConfig(**Next);
  }
}

asio::awaitable<void> fleet_view::fetchConfigFrom(std::string Host) {
  const bool Read = co_await readConfig();
  if (Read && Document->Revision >= AnnouncedRevision)
    co_return;
  const link_pointer Link = Peers.linkTo(Host);
  if (!Link)
    co_return;
  wire::messageUnion Body = makeBody(wire::config_fetch_value());
  const result<envelope> Answer =
      co_await Link->request(std::move(Body), seconds(1));
  const wire::config_document_value *Value =
      Answer ? Answer->body.Asconfig_document() : nullptr;
  if (Value)
    takeConfig({Value->revision, Value->text});
}

void fleet_view::subscribe() {
  const std::string Reader = readerHost();
  if (Reader == Self.Host)
    return;
  wire::view_subscribe_value Value;
  Value.host = Self.Host;
  Value.directory_version = contentVersion();
  Peers.send(Reader, makeBody(std::move(Value)));
  if (age() <= StaleAfter)
    return;
  // The reader may be cut off from the platform: ask the next one as well.
  for (const std::string &Host : Peers.ranked(ReaderDuty)) {
    if (Host == Reader || Host == Self.Host || !Peers.isUsable(Host))
      continue;
    Value.host = Self.Host;
    Value.directory_version = contentVersion();
    Peers.send(Host, makeBody(std::move(Value)));
    return;
  }
}

asio::awaitable<void> fleet_view::removeGone() {
  const time_point Now = Clock.now();
  std::vector<std::string> Gone;
  for (const fleet_member &Member : Peers.members()) {
    const auto Known = Subscribers.find(Member.Host);
    const bool Heard = Member.Host == Self.Host ||
                       (Known != Subscribers.end() &&
                        Now - Known->second.HeardAt < SubscriberMemory);
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
    noteCall(Removed.has_value());
  }
}

asio::awaitable<void> fleet_view::tickLoop() {
  asio::steady_timer Timer(Context);
  std::uint64_t Tick = 0;
  for (;;) {
    flushLog();
    if (mayRead()) {
      asio::co_spawn(Context, readBackends(), asio::detached);
      if (isReader() && Clock.now() - MembersReadAt > MembersInterval)
        asio::co_spawn(Context, readMembers(), asio::detached);
      if (isReader() && Clock.now() - ReaderSince > RemoveAfter)
        asio::co_spawn(Context, removeGone(), asio::detached);
    }
    if (!isReader()) {
      ReaderSince = Clock.now();
      AbsentSince.clear();
      if (Tick % 2 == 0 || age() > StaleAfter)
        subscribe();
    }
    if (!Registered)
      asio::co_spawn(Context, registerSelf(), asio::detached);
    ++Tick;
    Timer.expires_after(ReadInterval);
    co_await Timer.async_wait(UseTuple);
  }
}

void fleet_view::push(subscriber &To) {
  const link_pointer Link = To.Link.lock();
  if (!Link || !Link->isOpen())
    return;
  wire::view_push_value Push;
  Push.age_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(age()).count());
  Push.config_revision = Document ? Document->Revision : 0;
  Push.directory_version = contentVersion();
  Push.has_lists = Push.directory_version != To.DirectoryVersion;
  if (Push.has_lists) {
    Push.backends = toWire(Directory.Backends);
    Push.members = toWire(Peers.members());
    To.DirectoryVersion = Push.directory_version;
  }
  envelope Message;
  Message.body = makeBody(std::move(Push));
  Link->send(Message);
}

void fleet_view::pushAll() {
  const time_point Now = Clock.now();
  std::erase_if(Subscribers, [Now](const auto &Entry) {
    return Now - Entry.second.HeardAt > SubscriberMemory;
  });
  if (!Directory.ReadAt)
    return;
  for (auto &[Host, Subscriber] : Subscribers)
    push(Subscriber);
}

void fleet_view::receivePush(const link_pointer &Link,
                             const wire::view_push_value &Push) {
  const time_point ReadAt = Clock.now() - milliseconds(Push.age_ms);
  const bool Newer = !Directory.ReadAt || ReadAt > *Directory.ReadAt;
  if (!Newer)
    return;
  Directory.ReadAt = ReadAt;
  if (Push.has_lists) {
    const std::vector<backend_registration> Before = Directory.Backends;
    Directory.Backends = fromWire(Push.backends);
    takeMembers(fromWire(Push.members));
    if (Before != Directory.Backends)
      publishBackends();
  }
  const std::uint64_t Held = Document ? Document->Revision : 0;
  if (Push.config_revision <= Held) {
    ConfigConfirmedAt = std::max(ConfigConfirmedAt.value_or(ReadAt), ReadAt);
    return;
  }
  AnnouncedRevision = Push.config_revision;
  for (const std::string &Host : Peers.ranked(ReaderDuty))
    if (Peers.linkTo(Host) == Link) {
      asio::co_spawn(Context, fetchConfigFrom(Host), asio::detached);
      return;
    }
}

bool fleet_view::receive(const link_pointer &Link, const envelope &Message) {
  if (const auto *Value = Message.body.Asview_subscribe()) {
    subscriber &Known = Subscribers[Value->host];
    Known.Link = Link;
    Known.HeardAt = Clock.now();
    Known.DirectoryVersion = Value->directory_version;
    if (Directory.ReadAt &&
        (age() <= StaleAfter || Known.DirectoryVersion != contentVersion()))
      push(Known);
    if (age() > StaleAfter)
      asio::co_spawn(Context, readBackends(), asio::detached);
    return true;
  }
  if (const auto *Value = Message.body.Asview_push()) {
    receivePush(Link, *Value);
    return true;
  }
  if (Message.body.Asconfig_fetch()) {
    wire::config_document_value Answer;
    if (Document) {
      Answer.revision = Document->Revision;
      Answer.text = Document->Text;
    }
    Link->answer(Message, makeBody(std::move(Answer)));
    return true;
  }
  return false;
}

json::object fleet_view::dump() const {
  return {{"age_ms", toMilliseconds(age())},
          {"reader", readerHost()},
          {"members", Peers.members().size()},
          {"backend_servers", Directory.Backends.size()},
          {"subscribers", Subscribers.size()},
          {"config_version", Config ? Config->Version : 0},
          {"config_is_current", configIsCurrent()}};
}

} // namespace coriandertray
