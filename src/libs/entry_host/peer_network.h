/// \file
/// Links between the entry hosts, and which hosts have which duty.
#pragma once

#include "discovery/backend_registration.h"
#include "membership/duty_assignment.h"
#include "utils/clock.h"
#include "wire/frame_link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

using link_pointer = std::shared_ptr<frame_link>;

/// The duty to read the platform for all hosts.
inline constexpr std::string_view ReaderDuty = "reader";

/// Keeps links to the hosts that have a duty towards this one. All members run
/// on the thread of the io_context.
class peer_network {
public:
  using message_handler =
      std::function<void(const link_pointer &, const envelope &)>;

  peer_network(asio::io_context &Context, const clock_source &Clock,
               std::string Self);

  /// Accepts links at \p Address and starts to watch those to other hosts.
  /// Every message but pings goes to \p Handler. Fails with AddressMalformed.
  result<void> start(const socket_address &Address, message_handler Handler);

  /// Asks \p ViewAge how old this host's view of the platform is. A host whose
  /// view is much older has no duty towards this one.
  void setViewAgeSource(std::function<duration()> ViewAge);

  /// Replaces the hosts known.
  void setMembers(std::vector<fleet_member> Members);
  [[nodiscard]] const std::vector<fleet_member> &members() const {
    return Members;
  }

  /// Replaces the duties that there are beside the reader's.
  void setDuties(std::set<std::string> Duties);

  /// \returns the hosts with the duty \p Duty, the first one that can be
  /// reached having it; this host is one of those that can.
  [[nodiscard]] const std::vector<std::string> &
  hostsRankedFor(std::string_view Duty) const {
    return ranksOf(Assignment, Duty);
  }

  /// \returns whether \p Host is this one, or answered lately.
  [[nodiscard]] bool isUsable(const std::string &Host) const;

  /// Sends \p Body. \returns whether there is a link.
  bool send(const std::string &Host, wire::messageUnion Body);

  /// \returns the link to \p Host, or null.
  [[nodiscard]] link_pointer linkTo(const std::string &Host) const;

  /// Closes the link to \p Host, which left a message unanswered.
  void dropLink(const std::string &Host);

  /// Notes that \p Host is about to stop.
  void markLeaving(const std::string &Host);

  /// Tells all linked hosts that this one is about to stop.
  void announceLeaving();

private:
  struct peer {
    link_pointer Link;
    bool Connecting = false;
    time_point LeavingUntil;
    duration ViewAge{0};
  };

  asio::awaitable<void> maintainLinksLoop();
  void reassignDuties();
  void maintainLinks();
  asio::awaitable<void> connectTo(fleet_member Member);
  asio::awaitable<void> sendPing(std::string Host, link_pointer Link);
  void startLink(const link_pointer &Link, const std::string &Host);
  void dispatch(const link_pointer &Link, const envelope &Message);

  asio::io_context &Context;
  const clock_source &Clock;
  std::string Self;
  message_handler Handler;
  std::function<duration()> OwnViewAge;
  std::vector<fleet_member> Members;
  std::vector<std::string> EligibleHosts;
  std::set<std::string> Duties = {std::string(ReaderDuty)};
  duty_assignment Assignment;
  std::map<std::string, peer> Peers;
  std::vector<std::weak_ptr<frame_link>> IncomingLinks;
};

} // namespace coriandertray
