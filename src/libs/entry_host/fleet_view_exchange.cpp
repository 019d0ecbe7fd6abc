#include "entry_host/fleet_view.h"

#include "entry_host/slot_wire.h"
#include "utils/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

// The part of fleet_view that exchanges messages with the other hosts.

namespace coriandertray {

namespace {

constexpr duration SubscribeInterval = milliseconds(900);
// Applies until the first list has arrived: the link to the reader may not be
// open yet, or the reader may have no list.
constexpr duration FirstSubscribeInterval = milliseconds(50);
constexpr duration StaleSubscribeInterval = milliseconds(300);
constexpr duration FetchTimeout = milliseconds(400);
// A host with a stale view reads the platform as a backup reader for this long
// after another host subscribes to it.
constexpr duration BackupReadTime = milliseconds(2000);
constexpr duration SubscriberExpiry = seconds(3);
// A view that was merely confirmed is passed on if that made it younger by this
// at least. Two hosts that subscribed to each other would otherwise confirm
// each other's view for ever, as the time on the way doesn't count as age.
constexpr duration MinForwardedAdvance = milliseconds(150);

std::uint32_t toWireMs(duration Age) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(Age).count());
}

} // namespace

void fleet_view::subscribe() {
  SubscribedAt = Clock.now();
  const std::string Reader = readerHost();
  const std::string Source = relayOrReader();
  Peers.send(Source, makeBody(makeSubscription()));
  if (!isStale())
    return;
  // The relay may be slow, or the reader cut off from the platform: subscribe
  // to the reader itself, and to the backup readers in turn.
  if (Source != Reader)
    Peers.send(Reader, makeBody(makeSubscription()));
  std::vector<std::string> BackupReaders;
  for (const std::string &Host : Peers.hostsRankedFor(ReaderDuty))
    if (Host != Reader && Host != Self.Host && Peers.isUsable(Host))
      BackupReaders.push_back(Host);
  if (!BackupReaders.empty())
    Peers.send(BackupReaders[BackupReadersAsked++ % BackupReaders.size()],
               makeBody(makeSubscription()));
}

std::string fleet_view::relayOrReader() const {
  const auto Relay =
      std::ranges::find_if(Peers.relays(), [this](const std::string &Host) {
        return Peers.isUsable(Host);
      });
  return Relay == Peers.relays().end() ? readerHost() : *Relay;
}

wire::view_subscribe_value fleet_view::makeSubscription() const {
  wire::view_subscribe_value Value;
  Value.host = Self.Host;
  Value.backends_version = newestVersion(BackendLists);
  Value.members_version = MembersVersion;
  for (const auto &[Host, Subscriber] : Subscribers)
    if (Clock.now() - Subscriber.LastHeardAt < SubscriberExpiry)
      Value.subscribers.push_back(Host);
  return Value;
}

void fleet_view::push(subscriber &To) {
  const link_pointer Link = To.Link.lock();
  if (!Link || !Link->isOpen())
    return;
  wire::view_push_value Push;
  Push.age_ms = toWireMs(directoryAge());
  Push.members_age_ms = toWireMs(membersAge());
  Push.config_age_ms = toWireMs(configAge());
  Push.config_revision = SeenPosition.Revision;
  Push.config_version = configVersion();
  Push.store_epoch = Directory.Epoch;
  Push.backends_version = newestVersion(BackendLists);
  // Version zero means that this host holds no list yet.
  Push.has_backends =
      Push.backends_version != 0 && Push.backends_version != To.BackendsVersion;
  if (Push.has_backends) {
    const backend_list_change Change =
        changeSince(BackendLists, To.BackendsVersion);
    Push.backends_base = Change.BaseVersion;
    Push.backends = toWire(Change.Changed);
    Push.removed = Change.Removed;
    To.BackendsVersion = Push.backends_version;
  }
  Push.members_version = MembersVersion;
  Push.has_members = Push.members_version != To.MembersVersion;
  if (Push.has_members) {
    Push.members = toWire(Members.Listed);
    To.MembersVersion = Push.members_version;
  }
  envelope Message;
  Message.body = makeBody(std::move(Push));
  Link->send(Message);
}

void fleet_view::pushAll() {
  const time_point Now = Clock.now();
  std::erase_if(Subscribers, [Now](const auto &Entry) {
    return Now - Entry.second.LastHeardAt > SubscriberExpiry;
  });
  if (!Directory.ConfirmedAt)
    return;
  for (auto &[Host, Subscriber] : Subscribers)
    push(Subscriber);
}

void fleet_view::receivePush(const link_pointer &Link,
                             const wire::view_push_value &Push) {
  const auto Versions = [this] {
    return std::make_pair(newestVersion(BackendLists), MembersVersion);
  };
  const auto VersionsBefore = Versions();
  const duration AgeBefore = age();
  receiveBackends(Push);
  receiveMembers(Push);
  receiveConfigAge(Link, Push);
  if (Versions() != VersionsBefore || age() + MinForwardedAdvance <= AgeBefore)
    pushAll();
}

void fleet_view::receiveBackends(const wire::view_push_value &Push) {
  const time_point ReadAt = Clock.now() - milliseconds(Push.age_ms);
  if (Directory.ConfirmedAt && ReadAt <= *Directory.ConfirmedAt)
    return;
  if (Push.has_backends) {
    std::optional<std::vector<backend_registration>> Next =
        applyChange(BackendLists, {Push.backends_base, Push.backends_version,
                                   fromWire(Push.backends), Push.removed});
    if (!Next) {
      // The change is based on another version than this host holds.
      // Subscribing again reports the version held; the reply starts from it or
      // holds the whole list.
      subscribe();
      return;
    }
    if (replaceWithPeerList(Directory, std::move(*Next), Push.store_epoch,
                            ReadAt))
      publishBackends();
  } else if (Push.backends_version != 0 &&
             Push.backends_version == newestVersion(BackendLists)) {
    confirmByPeer(Directory, Push.store_epoch, ReadAt);
  }
}

void fleet_view::receiveMembers(const wire::view_push_value &Push) {
  const time_point ReadAt = Clock.now() - milliseconds(Push.members_age_ms);
  if (!Push.has_members || ReadAt <= MembersReadAt.value_or(time_point()))
    return;
  MembersReadAt = ReadAt;
  applyMembers(fromWire(Push.members));
}

void fleet_view::receiveConfigAge(const link_pointer &Link,
                                  const wire::view_push_value &Push) {
  if (Push.config_version <= configVersion()) {
    if (Config && Push.config_version == Config->Version)
      confirmConfig(Clock.now() - milliseconds(Push.config_age_ms));
    return;
  }
  AnnouncedVersion = Push.config_version;
  const std::string Host = Peers.hostAt(Link);
  if (!Host.empty())
    asio::co_spawn(Context, fetchConfigFrom(Host), asio::detached);
}

void fleet_view::receiveSubscription(const link_pointer &Link,
                                     const wire::view_subscribe_value &Value) {
  const time_point Now = Clock.now();
  subscriber &Known = Subscribers[Value.host];
  Known.Link = Link;
  Known.LastHeardAt = Now;
  Known.BackendsVersion = Value.backends_version;
  Known.MembersVersion = Value.members_version;
  HeardAt[Value.host] = Now;
  for (const std::string &Host : Value.subscribers)
    HeardAt[Host] = Now;
  if (Directory.ConfirmedAt)
    push(Known);
  if (isStale())
    BackupReaderUntil = Now + BackupReadTime;
}

bool fleet_view::receive(const link_pointer &Link, const envelope &Message) {
  if (const auto *Value = Message.body.Asview_subscribe()) {
    receiveSubscription(Link, *Value);
    return true;
  }
  if (const auto *Value = Message.body.Asview_push()) {
    receivePush(Link, *Value);
    return true;
  }
  if (Message.body.Asconfig_fetch()) {
    wire::config_document_value Answer;
    if (Document) {
      Answer.revision = Document->Position.Revision;
      Answer.text = Document->Text;
    }
    Link->answer(Message, makeBody(std::move(Answer)));
    return true;
  }
  return false;
}

// Fetches the announced configuration from the host that announced it, or from
// the platform if that host fails.
asio::awaitable<void> fleet_view::fetchConfigFrom(std::string Host) {
  if (std::exchange(FetchingConfig, true))
    co_return;
  if (const link_pointer Link = Peers.linkTo(Host)) {
    wire::messageUnion Body = makeBody(wire::config_fetch_value());
    const result<envelope> Answer =
        co_await Link->request(std::move(Body), FetchTimeout);
    const wire::config_document_value *Value =
        Answer ? Answer->body.Asconfig_document() : nullptr;
    if (Value && !Value->text.empty())
      applyConfig({{0, Value->revision}, Value->text});
  }
  if (configVersion() < AnnouncedVersion)
    (void)co_await readConfig();
  FetchingConfig = false;
}

duration fleet_view::subscribeInterval() const {
  if (!Directory.ReadAt)
    return FirstSubscribeInterval;
  return isStale() ? StaleSubscribeInterval : SubscribeInterval;
}

bool fleet_view::heardRecently(const std::string &Host) const {
  const auto Heard = HeardAt.find(Host);
  return Heard != HeardAt.end() &&
         Clock.now() - Heard->second < SubscriberExpiry;
}

} // namespace coriandertray
