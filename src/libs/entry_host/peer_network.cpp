#include "entry_host/peer_network.h"

#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ranges>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr duration LinkCheckInterval = milliseconds(500);
constexpr duration ConnectTimeout = milliseconds(300);
constexpr duration PingTimeout = milliseconds(400);
constexpr duration LeavingExpiry = seconds(10);
// Number of hosts ranked for each duty.
constexpr std::size_t RankCount = 4;
// Links are kept to this many of the hosts ranked for each duty.
constexpr std::size_t LinkedRankCount = 3;
// Links are kept to this many of the relays.
constexpr std::size_t LinkedRelayCount = 2;
// A host with less than this share of the largest capacity gets no duty.
constexpr double MinCapacityShare = 0.7;
// A host whose view is older than this host's by more than this is considered
// cut off from the platform.
constexpr duration ViewAgeSlack = milliseconds(1500);

wire::ping_value makePing(const std::function<duration()> &ViewAge,
                          bool Leaving) {
  wire::ping_value Ping;
  Ping.leaving = Leaving;
  if (ViewAge)
    Ping.view_age_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(ViewAge()).count());
  return Ping;
}

} // namespace

peer_network::peer_network(asio::io_context &Context, const clock_source &Clock,
                           std::string Self, relay_policy RelayPolicy)
    : Context(Context), Clock(Clock), Self(std::move(Self)),
      RelayPolicy(RelayPolicy) {}

result<void> peer_network::start(const socket_address &Address,
                                 message_handler OnMessage) {
  Handler = std::move(OnMessage);
  const result<void> Listening =
      listenForLinks(Context, Address, [this](const link_pointer &Link) {
        std::erase_if(IncomingLinks,
                      [](const std::weak_ptr<frame_link> &Known) {
                        return Known.expired();
                      });
        IncomingLinks.push_back(Link);
        Link->start([this](const link_pointer &From, envelope Message) {
          dispatch(From, Message);
        });
      });
  if (Listening)
    asio::co_spawn(Context, maintainLinksLoop(), asio::detached);
  return Listening;
}

void peer_network::setMembers(std::vector<fleet_member> Next) {
  if (Next == Members)
    return;
  Members = std::move(Next);
  std::uint32_t Largest = 0;
  for (const fleet_member &Member : Members)
    Largest = std::max(Largest, Member.CapacityMillicores);
  EligibleHosts.clear();
  for (const fleet_member &Member : Members)
    if (Member.CapacityMillicores >= MinCapacityShare * Largest)
      EligibleHosts.push_back(Member.Host);
  chooseRelays();
  logEvent(log_level::Info, "members-changed", {{"count", Members.size()}});
  reassignDuties();
}

void peer_network::chooseRelays() {
  const auto Own = std::ranges::find(Members, Self, &fleet_member::Host);
  const std::set<std::string> Eligible(EligibleHosts.begin(),
                                       EligibleHosts.end());
  Relays = Own == Members.end()
               ? std::vector<std::string>()
               : relaysFor(*Own, Members, Eligible, RelayPolicy);
}

void peer_network::setDuties(const std::string &Group,
                             std::set<std::string> Next) {
  std::set<std::string> &Duties = DutyGroups[Group];
  if (Next == Duties)
    return;
  Duties = std::move(Next);
  reassignDuties();
}

void peer_network::reassignDuties() {
  duty_groups Groups = DutyGroups;
  Groups[std::string(AllocatorDuties)].emplace(ReaderDuty);
  Assignment = assignDutyGroups(Groups, EligibleHosts, RankCount);
  maintainLinks();
}

std::vector<std::string>
peer_network::usableHostsFor(std::string_view Duty) const {
  std::vector<std::string> Hosts;
  std::ranges::copy_if(
      hostsRankedFor(Duty), std::back_inserter(Hosts),
      [this](const std::string &Host) { return isUsable(Host); });
  if (Leaving)
    std::ranges::stable_partition(
        Hosts, [this](const std::string &Host) { return Host != Self; });
  return Hosts;
}

bool peer_network::isUsable(const std::string &Host) const {
  if (Host == Self)
    return true;
  const auto Found = Peers.find(Host);
  if (Found == Peers.end())
    return false;
  const peer &Peer = Found->second;
  const bool Reachable =
      Peer.Link && Peer.Link->isOpen() && Clock.now() >= Peer.LeavingUntil;
  const duration Own = OwnViewAge ? OwnViewAge() : duration::zero();
  return Reachable && Peer.ViewAge <= Own + ViewAgeSlack;
}

void peer_network::setViewAgeSource(std::function<duration()> ViewAge) {
  OwnViewAge = std::move(ViewAge);
}

link_pointer peer_network::linkTo(const std::string &Host) const {
  const auto Found = Peers.find(Host);
  return Found == Peers.end() ? nullptr : Found->second.Link;
}

bool peer_network::send(const std::string &Host, wire::messageUnion Body) {
  const link_pointer Link = linkTo(Host);
  if (!Link || !Link->isOpen())
    return false;
  envelope Message;
  Message.body = std::move(Body);
  Link->send(Message);
  return true;
}

std::string peer_network::hostAt(const link_pointer &Link) const {
  const auto Found = std::ranges::find_if(
      Peers, [&Link](const auto &Entry) { return Entry.second.Link == Link; });
  return Found == Peers.end() ? std::string() : Found->first;
}

void peer_network::dropLink(const std::string &Host) {
  const auto Found = Peers.find(Host);
  if (Found == Peers.end() || !Found->second.Link)
    return;
  const link_pointer Link = std::exchange(Found->second.Link, nullptr);
  Link->close();
  logEvent(log_level::Warning, "peer-lost", {{"peer", Host}});
}

void peer_network::markLeaving(const std::string &Host) {
  peer &Peer = Peers[Host];
  Peer.LeavingUntil = Clock.now() + LeavingExpiry;
  Peer.LeavingLink = Peer.Link;
}

// A host that answers on a link of later than its notice, and doesn't say that
// it leaves, has started again. It takes its duties back by then, so that it
// must not count as leaving any longer than it takes to find it.
void peer_network::noteAnswer(const std::string &Host, const link_pointer &Link,
                              const wire::ping_value &Pong) {
  peer &Peer = Peers[Host];
  Peer.ViewAge = milliseconds(Pong.view_age_ms);
  const bool IsMarked = Clock.now() < Peer.LeavingUntil;
  if (!IsMarked || Pong.leaving || Peer.LeavingLink.lock() == Link)
    return;
  Peer.LeavingUntil = time_point();
  logEvent(log_level::Info, "peer-started-again", {{"peer", Host}});
}

void peer_network::announceLeaving() {
  Leaving = true;
  envelope Message;
  wire::leaving_value Notice;
  Notice.host = Self;
  Message.body = makeBody(Notice);
  for (const std::weak_ptr<frame_link> &Known : IncomingLinks)
    if (const link_pointer Link = Known.lock())
      Link->send(Message);
}

void peer_network::dispatch(const link_pointer &Link, const envelope &Message) {
  if (Message.body.Asping()) {
    Link->answer(Message, makeBody(makePing(OwnViewAge, Leaving)));
    return;
  }
  if (const wire::leaving_value *Notice = Message.body.Asleaving()) {
    markLeaving(Notice->host);
    return;
  }
  Handler(Link, Message);
}

void peer_network::startLink(const link_pointer &Link,
                             const std::string &Host) {
  Peers[Host].Link = Link;
  Peers[Host].ViewAge = duration::zero();
  Link->start([this](const link_pointer &From, envelope Message) {
    dispatch(From, Message);
  });
}

asio::awaitable<void> peer_network::connectTo(fleet_member Member) {
  Peers[Member.Host].Connecting = true;
  const result<link_pointer> Link =
      co_await connectLink(Context, Member.Address, ConnectTimeout);
  Peers[Member.Host].Connecting = false;
  if (!Link)
    co_return;
  startLink(*Link, Member.Host);
  co_await sendPing(Member.Host, *Link);
}

asio::awaitable<void> peer_network::sendPing(std::string Host,
                                             link_pointer Link) {
  wire::messageUnion Body = makeBody(makePing(OwnViewAge, Leaving));
  const result<envelope> Answer =
      co_await Link->request(std::move(Body), PingTimeout);
  if (!Answer && linkTo(Host) == Link)
    dropLink(Host);
  const wire::ping_value *Pong = Answer ? Answer->body.Asping() : nullptr;
  if (Pong)
    noteAnswer(Host, Link, *Pong);
}

std::set<std::string> peer_network::hostsToLink() const {
  std::set<std::string> LinkedHosts;
  for (const auto &[Duty, Ranks] : Assignment.Candidates) {
    const std::size_t Count = std::min(LinkedRankCount, Ranks.size());
    LinkedHosts.insert(Ranks.begin(),
                       Ranks.begin() + static_cast<std::ptrdiff_t>(Count));
  }
  for (const std::string &Relay : Relays | std::views::take(LinkedRelayCount))
    LinkedHosts.insert(Relay);
  LinkedHosts.erase(Self);
  return LinkedHosts;
}

bool peer_network::isCutOff() const {
  const std::set<std::string> LinkedHosts = hostsToLink();
  const auto Linked =
      std::ranges::count_if(LinkedHosts, [this](const std::string &Host) {
        const link_pointer Link = linkTo(Host);
        return Link && Link->isOpen();
      });
  return 2 * static_cast<std::size_t>(Linked) < LinkedHosts.size();
}

void peer_network::maintainLinks() {
  const std::set<std::string> LinkedHosts = hostsToLink();
  for (const fleet_member &Member : Members) {
    if (!LinkedHosts.contains(Member.Host))
      continue;
    const peer &Peer = Peers[Member.Host];
    if (Peer.Link && Peer.Link->isOpen())
      asio::co_spawn(Context, sendPing(Member.Host, Peer.Link), asio::detached);
    else if (!Peer.Connecting)
      asio::co_spawn(Context, connectTo(Member), asio::detached);
  }
}

asio::awaitable<void> peer_network::maintainLinksLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    maintainLinks();
    Timer.expires_after(LinkCheckInterval);
    co_await Timer.async_wait(UseTuple);
  }
}

} // namespace coriandertray
