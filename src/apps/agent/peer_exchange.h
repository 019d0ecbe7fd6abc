/// \file
/// Gossip between agents: checks each other's life, passes news of members on,
/// spreads new entries at once and repairs what was missed.
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
  /// Called with each entry that the table has taken from a peer.
  using entry_handler = std::function<void(const versioned_entry &)>;
  using membership_handler = std::function<void()>;

  peer_exchange(asio::io_context &Context, const clock_source &Clock,
                membership_state &Members, versioned_table &Table,
                const std::vector<socket_address> &Seeds, entry_handler OnEntry,
                membership_handler OnMembership);

  /// Exchanges with one peer after another; never ends.
  asio::awaitable<void> run();

  /// Sends \p Entry to a few peers, each of which does the same once.
  void disseminate(const versioned_entry &Entry);

  /// Tells a few peers that this host leaves.
  void announceLeave();

  /// Answers an exchange or a one-way push of a peer.
  void answer(const std::shared_ptr<frame_link> &Link, const envelope &Message);

  /// Checks a third host on a peer's behalf and answers.
  asio::awaitable<void> answerIndirectPing(std::shared_ptr<frame_link> Link,
                                           envelope Message);

  /// Sends \p Body to \p Host without waiting for an answer.
  void sendTo(const std::string &Host, wire::messageUnion Body);

  /// Sends \p Body to \p Host and waits for the answer.
  asio::awaitable<result<envelope>>
  request(std::string Host, wire::messageUnion Body, duration Timeout);

  [[nodiscard]] std::uint64_t bytesSent() const;
  [[nodiscard]] std::uint64_t exchanges() const { return Exchanges; }

private:
  asio::awaitable<result<std::shared_ptr<frame_link>>>
  linkTo(socket_address Address);
  asio::awaitable<result<envelope>>
  requestAt(socket_address Address, wire::messageUnion Body, duration Timeout);
  asio::awaitable<void> connectAndSend(socket_address Address,
                                       wire::messageUnion Body);
  asio::awaitable<void> exchangeWith(member_record Target);
  asio::awaitable<void> joinThroughSeed();
  asio::awaitable<bool> pingIndirectly(member_record Target);
  asio::awaitable<void> reconcile(socket_address Address,
                                  const wire::exchange_value &Answer);
  [[nodiscard]] wire::exchange_value makeExchange();
  void mergeMembers(const wire::exchange_value &Exchange);
  void mergeEntries(const wire::exchange_value &Exchange);
  [[nodiscard]] std::vector<member_record> randomPeers(std::size_t Count);
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
  std::uint64_t ClosedLinkBytes = 0;
  std::uint64_t Exchanges = 0;
};

} // namespace coriandertray
