/// \file
/// Gossip between agents, after SWIM. Detects failed hosts by direct and
/// indirect pings, piggybacks membership updates, disseminates new table
/// entries at once, and reconciles the tables of two peers by anti-entropy.
#pragma once

#include "exchange/versioned_table.h"
#include "membership/membership.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "wire/frame_link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace coriandertray {

/// All members run on the thread of the io_context.
class peer_exchange {
public:
  /// Called with each entry from a peer that was stored in the table.
  using entry_handler = std::function<void(const versioned_entry &)>;
  /// Called when the members may have changed.
  using membership_handler = std::function<void()>;

  peer_exchange(asio::io_context &Context, const clock_source &Clock,
                membership_state &Members, versioned_table &Table,
                const std::vector<socket_address> &Seeds, entry_handler OnEntry,
                membership_handler OnMembership);

  /// Exchanges messages with one peer after another; never returns.
  asio::awaitable<void> run();

  /// Sends \p Entry to a few random peers. A peer that did not have it yet does
  /// the same.
  void disseminate(const versioned_entry &Entry);

  /// Notifies a few random peers that this host is leaving.
  void announceLeave();

  /// Merges an exchange from a peer and answers it. A message with
  /// sequence zero is a one-way push and gets no answer.
  void answer(const std::shared_ptr<frame_link> &Link, const envelope &Message);

  /// Pings a third host on behalf of a peer and answers whether it replied.
  asio::awaitable<void> answerIndirectPing(std::shared_ptr<frame_link> Link,
                                           envelope Message);

  /// Sends \p Body to \p Host without waiting for an answer.
  void sendTo(const std::string &Host, wire::messageUnion Body);

  /// Sends \p Body to \p Host and waits for the answer. Fails with
  /// ConnectFailed if \p Host is unknown or can't be connected to. TimedOut and
  /// ConnectionClosed leave open whether it received \p Body.
  asio::awaitable<result<envelope>>
  request(std::string Host, wire::messageUnion Body, duration Timeout);

  [[nodiscard]] std::uint64_t bytesSent() const;
  [[nodiscard]] std::uint64_t exchanges() const { return Exchanges; }

private:
  /// \returns the open link to \p Address, or a new one.
  asio::awaitable<result<std::shared_ptr<frame_link>>>
  linkTo(socket_address Address);
  asio::awaitable<result<envelope>>
  requestAt(socket_address Address, wire::messageUnion Body, duration Timeout);
  asio::awaitable<void> connectAndSend(socket_address Address,
                                       wire::messageUnion Body);
  asio::awaitable<void> exchangeWith(member_record Target);
  asio::awaitable<void> joinThroughSeed();
  asio::awaitable<bool> pingIndirectly(member_record Target);
  /// Stores the entries in \p Answer. If it lists the peer's versions, also
  /// sends the entries that the peer lacks and fetches those that this host
  /// lacks.
  asio::awaitable<void> reconcile(socket_address Address,
                                  const wire::exchange_value &Answer);
  /// \returns a message with this host's record, pending membership updates,
  /// and hashes by which the peer detects differences.
  [[nodiscard]] wire::exchange_value makeExchange();
  void mergeMembers(const wire::exchange_value &Exchange);
  void mergeEntries(const wire::exchange_value &Exchange);
  [[nodiscard]] std::vector<member_record> randomPeers(std::size_t Count);
  /// Forgets closed links and closes those above the maximum.
  void pruneLinks();

  asio::io_context &Context;
  const clock_source &Clock;
  membership_state &Members;
  versioned_table &Table;
  std::vector<std::string> Seeds;
  entry_handler OnEntry;
  membership_handler OnMembership;
  membership_policy Policy;
  std::map<socket_address, std::shared_ptr<frame_link>> Links;
  std::mt19937_64 Random;
  /// Bytes sent on links that were removed from Links.
  std::uint64_t ClosedLinkBytes = 0;
  std::uint64_t Exchanges = 0;
};

} // namespace coriandertray
