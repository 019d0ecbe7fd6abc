/// \file
/// Commits claims on idempotency keys to the platform's store, batching many of
/// them in one conditional update. One agent owns each shard of the claims and
/// updates it for the fleet. If two hosts consider themselves the owner, the
/// conditional updates still keep the claims consistent.
#pragma once

#include "claims/claim_shard.h"
#include "membership/membership.h"
#include "membership/owner_cache.h"
#include "peer_exchange.h"
#include "platform/platform_client.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace coriandertray {

/// All members run on the thread of the io_context.
class claim_committer {
public:
  claim_committer(asio::io_context &Context, const clock_source &Clock,
                  const membership_state &Members, const owner_cache &Owners,
                  peer_exchange &Peers, platform_client &Platform);

  /// Commits \p Change through the owner of its shard, which may be this host.
  /// A claim expires after \p Retention. If its outcome is unknown, the answer
  /// is Unavailable and the claim is released in the background.
  asio::awaitable<claim_answer> commit(claim_change Change,
                                       milliseconds Retention);

  /// Commits \p Change from this host, with the next update of its shard.
  /// Called for requests of peers, which consider this host the owner. A claim
  /// with an unknown outcome is released as in commit().
  asio::awaitable<claim_answer> commitLocally(claim_change Change,
                                              milliseconds Retention);

  /// \returns the number of successful updates of shards.
  [[nodiscard]] std::uint64_t commits() const { return Commits; }
  /// \returns the number of changes queued at this host.
  [[nodiscard]] std::uint64_t changes() const { return Changes; }

private:
  struct pending_change {
    explicit pending_change(asio::io_context &Context) : Completion(Context) {}
    claim_change Change;
    /// The time until which the requester waits for the change.
    time_point Deadline;
    /// Expires at Deadline; cancelled when the change is done.
    asio::steady_timer Completion;
    claim_answer Answer = claim_answer::Unavailable;
    bool Done = false;
  };
  using pending_pointer = std::shared_ptr<pending_change>;

  struct shard_state {
    claim_shard Content;
    /// The version of the platform object.
    std::uint64_t Version = 0;
    /// Content and Version match the store, as far as this host knows.
    bool UpToDate = false;
    /// A commitLoop() runs for the shard.
    bool Committing = false;
    time_point CommittedAt;
    std::vector<pending_pointer> Waiting;
  };

  /// Commits the waiting changes of \p Shard in batches until there are none.
  asio::awaitable<void> commitLoop(std::uint32_t Shard);
  /// Commits \p Batch with one conditional update. \returns whether no retry is
  /// needed.
  asio::awaitable<bool> commitBatch(std::uint32_t Shard,
                                    std::vector<pending_pointer> Batch);
  /// Reads \p Shard from the store. \returns whether that succeeded.
  asio::awaitable<bool> readShard(std::uint32_t Shard);
  /// Releases a claim that may still be written after its requester has given
  /// up on it, so that it does not block its key.
  void releaseInBackground(claim_change Change);
  asio::awaitable<void> releaseWithRetries(claim_change Change);

  asio::io_context &Context;
  const clock_source &Clock;
  const membership_state &Members;
  const owner_cache &Owners;
  peer_exchange &Peers;
  platform_client &Platform;
  std::map<std::uint32_t, shard_state> Shards;
  std::uint64_t Commits = 0;
  std::uint64_t Changes = 0;
};

} // namespace coriandertray
