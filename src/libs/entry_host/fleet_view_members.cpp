#include "entry_host/fleet_view.h"

#include "utils/hash.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// The part of fleet_view that keeps the list of hosts.

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr duration JoinCheckInterval = milliseconds(400);
constexpr int JoinCheckCount = 3;
constexpr duration MembersInterval = seconds(4);
constexpr duration InitialMembersInterval = seconds(1);
constexpr duration MembersSettleTime = seconds(4);
// The reader removes a host that it has not heard from for this long.
constexpr duration UnresponsiveRemovalTime = seconds(20);

std::uint64_t memberListVersion(const std::vector<fleet_member> &Members) {
  std::uint64_t Hash = 1;
  for (const fleet_member &Member : Members)
    Hash = stableHash(Member.Host + toString(Member.Address) + Member.Zone,
                      Hash + Member.CapacityMillicores);
  return Hash;
}

} // namespace

// Hosts that start together also register together, so only a second read of
// the member list shows all of them.
asio::awaitable<void> fleet_view::join() {
  if (std::exchange(Joining, true))
    co_return;
  asio::steady_timer Timer(Context);
  co_await readMembers(true);
  if (!Registered) {
    const result<void> Added = co_await Platform.addMember(Self);
    recordPlatformResult(failureOf(Added));
    // A list without this host is older than its registration.
    for (int Check = 0; Check < JoinCheckCount && !Registered; ++Check) {
      Timer.expires_after(JoinCheckInterval);
      co_await Timer.async_wait(UseTuple);
      co_await readMembers(Check + 1 < JoinCheckCount);
    }
  }
  Joining = false;
  FirstJoinFinished = true;
}

void fleet_view::applyMembers(std::vector<fleet_member> Listed) {
  Registered = std::ranges::find(Listed, Self) != Listed.end();
  replaceMembers(Members, std::move(Listed), Clock.now());
  MembersVersion = memberListVersion(Members.Listed);
  updatePeers();
}

void fleet_view::updatePeers() {
  std::vector<fleet_member> Current = currentMembers(Members, Clock.now());
  std::erase_if(Current, [this](const fleet_member &Member) {
    return Member.Host == Self.Host;
  });
  Current.push_back(Self);
  std::ranges::sort(Current);
  Peers.setMembers(std::move(Current));
}

asio::awaitable<void> fleet_view::readMembers(bool AllowStale) {
  const time_point RequestedAt = Clock.now();
  MembersRequestedAt = RequestedAt;
  result<std::vector<fleet_member>> Listed =
      co_await Platform.readMembers(AllowStale);
  recordPlatformResult(failureOf(Listed));
  if (!Listed)
    co_return;
  MembersReadAt = RequestedAt;
  applyMembers(std::move(*Listed));
}

asio::awaitable<void> fleet_view::removeUnresponsiveMembers() {
  const time_point Now = Clock.now();
  std::erase_if(HeardAt, [Now](const auto &Entry) {
    return Now - Entry.second > UnresponsiveRemovalTime;
  });
  std::vector<std::string> Unresponsive;
  for (const fleet_member &Member : Peers.members()) {
    const bool Responsive =
        Member.Host == Self.Host || heardRecently(Member.Host);
    if (Responsive)
      UnheardSince.erase(Member.Host);
    else if (Now - UnheardSince.emplace(Member.Host, Now).first->second >
             UnresponsiveRemovalTime)
      Unresponsive.push_back(Member.Host);
  }
  for (const std::string &Host : Unresponsive) {
    UnheardSince.erase(Host);
    logEvent(log_level::Info, "member-removed", {{"member", Host}});
    const result<void> Removed = co_await Platform.removeMember(Host);
    recordPlatformResult(failureOf(Removed));
  }
}

void fleet_view::maintainMembers() {
  const time_point Now = Clock.now();
  const bool Settled = Now - ReaderSince > MembersSettleTime;
  const duration Interval = Settled ? MembersInterval : InitialMembersInterval;
  if (Now - MembersRequestedAt >= Interval)
    asio::co_spawn(Context, readMembers(Settled), asio::detached);
  if (Now - ReaderSince > UnresponsiveRemovalTime)
    asio::co_spawn(Context, removeUnresponsiveMembers(), asio::detached);
}

} // namespace coriandertray
