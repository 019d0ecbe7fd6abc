/// \file
/// Which hosts are in the fleet: gossip with suspicion and refutation (SWIM),
/// with indirect checks so that a one-way partition is not taken for a death.
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

/// One host, as gossip carries it.
struct member_record {
  std::string Host;
  std::string Zone;
  /// Where its agent listens for peers, "IP:PORT".
  std::string Address;
  /// Raised only by the host itself, to refute suspicion.
  std::uint64_t Incarnation = 0;
  member_status Status = member_status::Alive;
  auto operator<=>(const member_record &) const = default;
};

struct membership_policy {
  /// A suspect that does not refute within this time is dead.
  milliseconds SuspicionTimeout{2000};
  /// Dead and left hosts are remembered this long, so that old news of them
  /// can't bring them back.
  milliseconds TombstoneRetention{60'000};
  /// News is passed on this often.
  std::uint32_t TransmissionsPerUpdate = 8;
  /// The most news in one message.
  std::size_t MaxUpdatesPerMessage = 12;
  bool operator==(const membership_policy &) const = default;
};

struct known_member {
  member_record Record;
  time_point ChangedAt;
  std::uint32_t TransmissionsLeft = 0;
  bool operator==(const known_member &) const = default;
};

struct membership_state {
  member_record Self;
  std::map<std::string, known_member, std::less<>> Others;
  std::uint64_t PingCount = 0;
  bool operator==(const membership_state &) const = default;
};

/// Takes in one piece of news. \returns whether it changed anything.
bool mergeMember(membership_state &State, const membership_policy &Policy,
                 const member_record &Update, time_point Now);

/// Notes that \p Host answered a check, directly or through another host.
void recordPingSuccess(membership_state &State, std::string_view Host,
                       time_point Now);

/// Notes that \p Host answered neither directly nor through other hosts.
void recordPingFailure(membership_state &State, const membership_policy &Policy,
                       std::string_view Host, time_point Now);

/// Lets suspicion and tombstones run out.
void expireMembers(membership_state &State, const membership_policy &Policy,
                   time_point Now);

/// Marks this host as leaving the fleet.
void leaveFleet(membership_state &State);

/// \returns the member to check next, each in its turn; dead ones now and then,
/// so that a healed partition is noticed.
[[nodiscard]] std::optional<member_record>
nextPingTarget(membership_state &State, std::uint64_t Random);

/// \returns those of \p Seeds, addresses of agents, at which no live member is
/// known. Two groups that started apart find each other only through them.
[[nodiscard]] std::vector<std::string>
unknownSeeds(const membership_state &State,
             const std::vector<std::string> &Seeds);

/// \returns news to send along, and counts it as sent.
[[nodiscard]] std::vector<member_record>
takeUpdates(membership_state &State, const membership_policy &Policy);

/// \returns all records, this host's own included.
[[nodiscard]] std::vector<member_record>
allMembers(const membership_state &State);

/// \returns the names of the hosts that are alive or only suspected, this one
/// included, in order. A suspect keeps its roles: most are refuted.
[[nodiscard]] std::vector<std::string> liveHosts(const membership_state &State);

/// \returns the record of \p Host, this one included.
[[nodiscard]] std::optional<member_record>
findMember(const membership_state &State, std::string_view Host);

/// \returns a hash that is equal for equal views of the fleet.
[[nodiscard]] std::uint64_t membershipHash(const membership_state &State);

/// \returns the stable name of \p Status.
[[nodiscard]] std::string_view memberStatusName(member_status Status);

} // namespace coriandertray
