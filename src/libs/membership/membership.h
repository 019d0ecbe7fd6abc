/// \file
/// Gossip membership of the fleet, after SWIM: suspicion, refutation, and
/// indirect pings so that a one-way partition does not make a live host dead.
///
/// Plain state and free functions; not thread-safe.
#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

enum class member_status { Alive, Suspect, Dead, Left };

/// The state of one host as it is sent in gossip messages.
struct member_record {
  std::string Host;
  std::string Zone;
  /// Where its agent listens for peers, "IP:PORT".
  std::string Address;
  /// Incremented only by the host itself, to refute a suspicion. A record with
  /// a higher incarnation overrides one with a lower incarnation.
  std::uint64_t Incarnation = 0;
  member_status Status = member_status::Alive;
  auto operator<=>(const member_record &) const = default;
};

struct membership_policy {
  /// A suspect that has not refuted the suspicion after this time is dead.
  milliseconds SuspicionTimeout{2000};
  /// How long the records of dead and left hosts are kept, so that outdated
  /// updates can't bring these hosts back.
  milliseconds TombstoneRetention{60'000};
  /// The number of messages in which this host sends each update.
  std::uint32_t TransmissionsPerUpdate = 8;
  std::size_t MaxUpdatesPerMessage = 12;
  bool operator==(const membership_policy &) const = default;
};

/// What this host knows of another one.
struct known_member {
  member_record Record;
  /// When the record last changed or, for a suspect, when a ping last reached
  /// the host.
  time_point ChangedAt;
  /// How often the record is still to be sent to other hosts.
  std::uint32_t TransmissionsLeft = 0;
  bool operator==(const known_member &) const = default;
};

/// This host's view of the fleet.
struct membership_state {
  member_record Self;
  std::map<std::string, known_member, std::less<>> Others;
  /// How many ping targets were picked; the position of the round robin.
  std::uint64_t PingCount = 0;
  bool operator==(const membership_state &) const = default;
};

/// Merges \p Update, a record received by gossip, into \p State. Updates
/// about this host itself are not merged, but refuted where they are wrong.
/// \returns whether the state changed.
bool mergeMember(membership_state &State, const membership_policy &Policy,
                 const member_record &Update, time_point Now);

/// Records that \p Host answered a ping, directly or through another host.
void recordPingSuccess(membership_state &State, std::string_view Host,
                       time_point Now);

/// Records that \p Host answered neither a direct nor an indirect ping. Makes
/// it a suspect if it is alive.
void recordPingFailure(membership_state &State, const membership_policy &Policy,
                       std::string_view Host, time_point Now);

/// Marks suspects as dead when their timeout has expired, and removes the
/// records of dead and left hosts that have been kept long enough.
void expireMembers(membership_state &State, const membership_policy &Policy,
                   time_point Now);

/// Marks this host as having left the fleet.
void leaveFleet(membership_state &State);

/// \returns the member to ping next, round robin over the live members. One
/// call in ten, decided by \p Random, includes dead members, so that a healed
/// partition is detected.
[[nodiscard]] std::optional<member_record>
nextPingTarget(membership_state &State, std::uint64_t Random);

/// \returns those of \p Seeds, addresses of agents, at which no live member is
/// known. Groups of hosts that started separately discover each other only by
/// contacting these.
[[nodiscard]] std::vector<std::string>
unknownSeeds(const membership_state &State,
             const std::vector<std::string> &Seeds);

/// \returns the updates to piggyback on the next message, those sent least
/// often first, and counts them as sent.
[[nodiscard]] std::vector<member_record>
takeUpdates(membership_state &State, const membership_policy &Policy);

/// \returns the records of all known hosts, this one included.
[[nodiscard]] std::vector<member_record>
allMembers(const membership_state &State);

/// \returns the sorted names of the hosts that are alive or suspect, this one
/// included. A suspect counts as live and keeps what it owns, since most
/// suspicions are refuted.
[[nodiscard]] std::vector<std::string> liveHosts(const membership_state &State);

/// \returns the record of \p Host, which may be this host, or nothing if it is
/// unknown.
[[nodiscard]] std::optional<member_record>
findMember(const membership_state &State, std::string_view Host);

/// \returns a hash of the hosts' names, incarnations and statuses that is equal
/// for equal views of the fleet.
[[nodiscard]] std::uint64_t membershipHash(const membership_state &State);

/// \returns the stable name of \p Status.
[[nodiscard]] std::string_view memberStatusName(member_status Status);

} // namespace coriandertray
