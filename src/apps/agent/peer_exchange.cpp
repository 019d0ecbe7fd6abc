#include "peer_exchange.h"

#include "utils/hash.h"
#include "utils/log.h"
#include "wire/conversions.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr duration ExchangeInterval = milliseconds(250);
constexpr duration PeerTimeout = milliseconds(400);
constexpr duration IndirectPingTimeout = milliseconds(900);
// Once in this many rounds, a seed at which no live member is known is
// contacted.
constexpr std::uint64_t RoundsPerSeedContact = 4;
constexpr std::size_t DisseminationFanout = 4;
constexpr std::size_t IndirectPingRelays = 3;
// Links above this number are closed, those that sent the fewest bytes first.
constexpr std::size_t MaxLinks = 64;

std::vector<std::string> toTexts(const std::vector<socket_address> &Addresses) {
  std::vector<std::string> Texts;
  std::ranges::transform(
      Addresses, std::back_inserter(Texts),
      [](const socket_address &Address) { return toString(Address); });
  return Texts;
}

} // namespace

peer_exchange::peer_exchange(asio::io_context &Context,
                             const clock_source &Clock,
                             membership_state &Members, versioned_table &Table,
                             const std::vector<socket_address> &Seeds,
                             entry_handler OnEntry,
                             membership_handler OnMembership)
    : Context(Context), Clock(Clock), Members(Members), Table(Table),
      Seeds(toTexts(Seeds)), OnEntry(std::move(OnEntry)),
      OnMembership(std::move(OnMembership)),
      Random(stableHash(Members.Self.Host)) {}

asio::awaitable<void> peer_exchange::run() {
  asio::steady_timer Timer(Context);
  for (;;) {
    // Jitter keeps hosts that started at the same time from staying in step.
    const auto Jitter = std::chrono::duration_cast<duration>(
        ExchangeInterval * std::uniform_real_distribution<>(0.8, 1.2)(Random));
    Timer.expires_after(Jitter);
    co_await Timer.async_wait(UseTuple);
    expireMembers(Members, Policy, Clock.now());
    OnMembership();
    pruneLinks();
    const std::optional<member_record> Target =
        nextPingTarget(Members, Random());
    if (Target)
      co_await exchangeWith(*Target);
    if (!Target || Exchanges % RoundsPerSeedContact == 0)
      co_await joinThroughSeed();
    ++Exchanges;
  }
}

asio::awaitable<void> peer_exchange::joinThroughSeed() {
  const std::vector<std::string> Unknown = unknownSeeds(Members, Seeds);
  if (Unknown.empty())
    co_return;
  const socket_address Seed = *parseAddress(Unknown[Random() % Unknown.size()]);
  const result<envelope> Answer =
      co_await requestAt(Seed, makeBody(makeExchange()), PeerTimeout);
  if (!Answer)
    co_return;
  if (const auto *Exchange = Answer->body.Asexchange()) {
    mergeMembers(*Exchange);
    co_await reconcile(Seed, *Exchange);
  }
}

asio::awaitable<void> peer_exchange::exchangeWith(member_record Target) {
  const result<socket_address> Address = parseAddress(Target.Address);
  if (!Address)
    co_return;
  const result<envelope> Answer =
      co_await requestAt(*Address, makeBody(makeExchange()), PeerTimeout);
  if (Answer) {
    if (const auto *Exchange = Answer->body.Asexchange()) {
      recordPingSuccess(Members, Target.Host, Clock.now());
      mergeMembers(*Exchange);
      co_await reconcile(*Address, *Exchange);
    }
    co_return;
  }
  const bool Reached = co_await pingIndirectly(Target);
  if (Reached)
    recordPingSuccess(Members, Target.Host, Clock.now());
  else
    recordPingFailure(Members, Policy, Target.Host, Clock.now());
}

asio::awaitable<bool> peer_exchange::pingIndirectly(member_record Target) {
  std::vector<member_record> Relays = randomPeers(IndirectPingRelays + 1);
  std::erase_if(Relays, [&Target](const member_record &Relay) {
    return Relay.Host == Target.Host;
  });
  const auto Reached = std::make_shared<bool>(false);
  const auto Outstanding = std::make_shared<std::size_t>(Relays.size());
  const auto Finished =
      std::make_shared<asio::steady_timer>(Context, IndirectPingTimeout);
  for (const member_record &Relay : Relays) {
    wire::indirect_ping_value Ping;
    Ping.target = Target.Address;
    asio::co_spawn(
        Context,
        [this, Host = Relay.Host, Ping, Reached, Outstanding,
         Finished]() -> asio::awaitable<void> {
          const result<envelope> Answer =
              co_await request(Host, makeBody(Ping), IndirectPingTimeout);
          const auto *Pong = Answer ? Answer->body.Asping_answer() : nullptr;
          *Reached = *Reached || (Pong && Pong->reached);
          --*Outstanding;
          if (*Reached || *Outstanding == 0)
            Finished->cancel();
        },
        asio::detached);
  }
  if (!Relays.empty())
    co_await Finished->async_wait(UseTuple);
  co_return *Reached;
}

asio::awaitable<void>
peer_exchange::answerIndirectPing(std::shared_ptr<frame_link> Link,
                                  envelope Message) {
  const auto *Ping = Message.body.Asindirect_ping();
  const result<socket_address> Address =
      parseAddress(Ping ? Ping->target : std::string());
  wire::ping_answer_value Answer;
  if (Address) {
    const result<envelope> Reply =
        co_await requestAt(*Address, makeBody(makeExchange()), PeerTimeout);
    Answer.reached = Reply.has_value();
  }
  Link->answer(Message, makeBody(std::move(Answer)));
}

asio::awaitable<void>
peer_exchange::reconcile(socket_address Address,
                         const wire::exchange_value &Answer) {
  mergeEntries(Answer);
  if (!Answer.lists_versions)
    co_return;
  const std::vector<entry_version> PeerVersions = fromWire(Answer.versions);
  wire::exchange_value Request = makeExchange();
  Request.entries = toWire(Table.entriesNewerThan(PeerVersions));
  Request.wanted = Table.keysOlderThan(PeerVersions);
  if (Request.entries.empty() && Request.wanted.empty())
    co_return;
  const result<envelope> Reply =
      co_await requestAt(Address, makeBody(std::move(Request)), PeerTimeout);
  if (!Reply)
    co_return;
  if (const auto *Exchange = Reply->body.Asexchange())
    mergeEntries(*Exchange);
}

wire::exchange_value peer_exchange::makeExchange() {
  wire::exchange_value Exchange;
  Exchange.sender = toWire(Members.Self);
  Exchange.members = toWire(takeUpdates(Members, Policy));
  Exchange.members_hash = membershipHash(Members);
  Exchange.table_hash = Table.versionsHash();
  return Exchange;
}

void peer_exchange::mergeMembers(const wire::exchange_value &Exchange) {
  const time_point Now = Clock.now();
  if (Exchange.sender) {
    const member_record Sender = fromWire(*Exchange.sender);
    mergeMember(Members, Policy, Sender, Now);
  }
  for (const member_record &Record : fromWire(Exchange.members))
    mergeMember(Members, Policy, Record, Now);
  OnMembership();
}

void peer_exchange::mergeEntries(const wire::exchange_value &Exchange) {
  for (const versioned_entry &Entry : fromWire(Exchange.entries)) {
    if (!Table.put(Entry))
      continue;
    OnEntry(Entry);
    disseminate(Entry);
  }
}

void peer_exchange::answer(const std::shared_ptr<frame_link> &Link,
                           const envelope &Message) {
  const auto *Received = Message.body.Asexchange();
  const bool MembersDiffer = Received->members_hash != membershipHash(Members);
  const bool TableDiffers = Received->table_hash != Table.versionsHash();
  mergeMembers(*Received);
  mergeEntries(*Received);
  if (Message.sequence == 0)
    return;
  wire::exchange_value Answer = makeExchange();
  if (MembersDiffer)
    Answer.members = toWire(allMembers(Members));
  if (TableDiffers) {
    Answer.lists_versions = true;
    Answer.versions = toWire(Table.versions());
  }
  for (const std::string &Key : Received->wanted)
    if (const versioned_entry *Entry = Table.find(Key))
      Answer.entries.push_back(toWire(*Entry));
  Link->answer(Message, makeBody(std::move(Answer)));
}

std::vector<member_record> peer_exchange::randomPeers(std::size_t Count) {
  std::vector<member_record> Peers;
  for (const std::string &Host : liveHosts(Members))
    if (Host != Members.Self.Host)
      Peers.push_back(*findMember(Members, Host));
  std::ranges::shuffle(Peers, Random);
  Peers.resize(std::min(Count, Peers.size()));
  return Peers;
}

void peer_exchange::disseminate(const versioned_entry &Entry) {
  for (const member_record &Peer : randomPeers(DisseminationFanout)) {
    wire::exchange_value Push;
    Push.sender = toWire(Members.Self);
    Push.members_hash = membershipHash(Members);
    Push.table_hash = Table.versionsHash();
    Push.entries.push_back(toWire(Entry));
    sendTo(Peer.Host, makeBody(std::move(Push)));
  }
}

void peer_exchange::announceLeave() {
  for (const member_record &Peer : randomPeers(DisseminationFanout))
    sendTo(Peer.Host, makeBody(makeExchange()));
}

void peer_exchange::sendTo(const std::string &Host, wire::messageUnion Body) {
  const auto Member = findMember(Members, Host);
  if (!Member)
    return;
  const result<socket_address> Address = parseAddress(Member->Address);
  if (!Address)
    return;
  const auto Found = Links.find(*Address);
  if (Found != Links.end() && Found->second->isOpen()) {
    envelope Message;
    Message.body = std::move(Body);
    Found->second->send(Message);
    return;
  }
  asio::co_spawn(Context, connectAndSend(*Address, std::move(Body)),
                 asio::detached);
}

asio::awaitable<void> peer_exchange::connectAndSend(socket_address Address,
                                                    wire::messageUnion Body) {
  const auto Link = co_await linkTo(Address);
  if (!Link)
    co_return;
  envelope Message;
  Message.body = std::move(Body);
  (*Link)->send(Message);
}

asio::awaitable<result<envelope>>
peer_exchange::request(std::string Host, wire::messageUnion Body,
                       duration Timeout) {
  const auto Member = findMember(Members, Host);
  if (!Member)
    co_return fail(error_code::ConnectFailed, Host + " is not a member");
  const result<socket_address> Address = parseAddress(Member->Address);
  if (!Address)
    co_return tl::unexpected(Address.error());
  co_return co_await requestAt(*Address, std::move(Body), Timeout);
}

asio::awaitable<result<envelope>>
peer_exchange::requestAt(socket_address Address, wire::messageUnion Body,
                         duration Timeout) {
  const auto Link = co_await linkTo(Address);
  if (!Link)
    co_return tl::unexpected(Link.error());
  result<envelope> Answer = co_await (*Link)->request(std::move(Body), Timeout);
  // A link without an answer may be cut in one direction. Closing it makes the
  // next request open a new one.
  if (!Answer)
    (*Link)->close();
  co_return Answer;
}

asio::awaitable<result<std::shared_ptr<frame_link>>>
peer_exchange::linkTo(socket_address Address) {
  const auto Found = Links.find(Address);
  if (Found != Links.end() && Found->second->isOpen())
    co_return Found->second;
  auto Link = co_await connectLink(Context, Address, PeerTimeout);
  if (!Link)
    co_return Link;
  const auto Existing = Links.find(Address);
  if (Existing != Links.end() && Existing->second->isOpen())
    co_return Existing->second;
  Links[Address] = *Link;
  (*Link)->start([](const std::shared_ptr<frame_link> &, const envelope &) {});
  co_return Link;
}

void peer_exchange::pruneLinks() {
  std::erase_if(Links, [this](const auto &Entry) {
    if (Entry.second->isOpen())
      return false;
    ClosedLinkBytes += Entry.second->bytesSent();
    return true;
  });
  while (Links.size() > MaxLinks) {
    const auto Victim = std::ranges::min_element(
        Links, {}, [](const auto &Entry) { return Entry.second->bytesSent(); });
    ClosedLinkBytes += Victim->second->bytesSent();
    Victim->second->close();
    Links.erase(Victim);
  }
}

std::uint64_t peer_exchange::bytesSent() const {
  std::uint64_t Sum = ClosedLinkBytes;
  for (const auto &[Address, Link] : Links)
    Sum += Link->bytesSent();
  return Sum;
}

} // namespace coriandertray
