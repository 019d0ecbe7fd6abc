/// \file
/// Links between the entry hosts, and the assignment of duties to hosts.
///
/// A duty is a role within the fleet, such as reading the platform or
/// allocating the slots of one pool. Several hosts are ranked for each duty,
/// and the first usable one performs it.
#pragma once

#include "discovery/backend_registration.h"
#include "membership/duty_assignment.h"
#include "membership/view_relays.h"
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

/// The duty of reading the platform for all hosts.
inline constexpr std::string_view ReaderDuty = "reader";

/// The group of the allocators' duties. The reader's is spread with them, as
/// both are heavy.
inline constexpr std::string_view AllocatorDuties = "slots";

/// Keeps links to the hosts that are ranked first for the duties. All members
/// run on the thread of the io_context.
class peer_network {
public:
  using message_handler =
      std::function<void(const link_pointer &, const envelope &)>;

  peer_network(asio::io_context &Context, const clock_source &Clock,
               std::string Self, relay_policy RelayPolicy);

  /// Accepts links at \p Address and starts maintaining those to other hosts.
  /// Passes every message except pings and leaving notices to \p Handler.
  /// Fails with AddressMalformed.
  result<void> start(const socket_address &Address, message_handler Handler);

  /// Sets \p ViewAge as the source of the age of this host's view of the
  /// platform. A host whose view is much older is not usable for any duty.
  void setViewAgeSource(std::function<duration()> ViewAge);

  /// Replaces the list of known hosts.
  void setMembers(std::vector<fleet_member> Members);
  [[nodiscard]] const std::vector<fleet_member> &members() const {
    return Members;
  }

  /// Replaces the duties of \p Group, a name that the caller chooses. The
  /// reader's duty is in no group.
  void setDuties(const std::string &Group, std::set<std::string> Duties);

  /// \returns the hosts ranked for \p Duty, of which the first usable one
  /// performs it: see usableHostsFor().
  [[nodiscard]] const std::vector<std::string> &
  hostsRankedFor(std::string_view Duty) const {
    return candidatesFor(Assignment, Duty);
  }

  /// \returns the usable hosts ranked for \p Duty; the first one performs it. A
  /// host that leaves comes last in its own view, as the others don't ask it
  /// any more and count on another one.
  [[nodiscard]] std::vector<std::string>
  usableHostsFor(std::string_view Duty) const;

  /// \returns whether \p Host is this one, or is linked, isn't leaving and has
  /// a view that is not much older than this host's.
  [[nodiscard]] bool isUsable(const std::string &Host) const;

  /// \returns whether fewer than half of the hosts that this one keeps links to
  /// are linked: it is then probably cut off from the fleet.
  [[nodiscard]] bool isCutOff() const;

  /// Sends \p Body to \p Host. \returns whether there is an open link.
  bool send(const std::string &Host, wire::messageUnion Body);

  /// \returns the link to \p Host, or null.
  [[nodiscard]] link_pointer linkTo(const std::string &Host) const;

  /// \returns the host at the other end of \p Link, or an empty string if this
  /// host didn't open it.
  [[nodiscard]] std::string hostAt(const link_pointer &Link) const;

  /// \returns the hosts that pass the view of the platform on to this one, in
  /// order of preference. Empty if it gets the view from the reader.
  [[nodiscard]] const std::vector<std::string> &relays() const {
    return Relays;
  }

  /// Closes the link to \p Host after a message to it went unanswered.
  void dropLink(const std::string &Host);

  /// Records that \p Host announced its shutdown. It is not usable for some
  /// seconds, or until it has started again.
  void markLeaving(const std::string &Host);

  /// Announces the shutdown of this host on all incoming links. From then on it
  /// performs a duty only if no other host ranked for it is usable.
  void announceLeaving();

private:
  struct peer {
    link_pointer Link;
    bool Connecting = false;
    time_point LeavingUntil;
    /// The link to the process that announced its shutdown.
    std::weak_ptr<frame_link> LeavingLink;
    duration ViewAge{0};
  };

  asio::awaitable<void> maintainLinksLoop();
  void reassignDuties();
  void chooseRelays();
  [[nodiscard]] std::set<std::string> hostsToLink() const;
  void maintainLinks();
  asio::awaitable<void> connectTo(fleet_member Member);
  asio::awaitable<void> sendPing(std::string Host, link_pointer Link);
  void startLink(const link_pointer &Link, const std::string &Host);
  void noteAnswer(const std::string &Host, const link_pointer &Link,
                  const wire::ping_value &Pong);
  void dispatch(const link_pointer &Link, const envelope &Message);

  asio::io_context &Context;
  const clock_source &Clock;
  std::string Self;
  relay_policy RelayPolicy;
  message_handler Handler;
  std::function<duration()> OwnViewAge;
  std::vector<fleet_member> Members;
  std::vector<std::string> EligibleHosts;
  std::vector<std::string> Relays;
  duty_groups DutyGroups;
  duty_assignment Assignment;
  std::map<std::string, peer> Peers;
  std::vector<std::weak_ptr<frame_link>> IncomingLinks;
  bool Leaving = false;
};

} // namespace coriandertray
