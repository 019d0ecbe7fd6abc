/// \file
/// Commits claims of idempotency keys to the platform, many in one conditional
/// update. Each shard has an owner among the agents; when two hosts take
/// themselves for the owner, the conditional update keeps the claims right.
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

  /// Settles \p Change, here or at the shard's owner.
  asio::awaitable<claim_answer> commit(claim_change Change,
                                       milliseconds Retention);

  /// Settles \p Change here, in whatever update comes next for its shard.
  asio::awaitable<claim_answer> commitLocally(claim_change Change,
                                              milliseconds Retention);

  [[nodiscard]] std::uint64_t commits() const { return Commits; }
  [[nodiscard]] std::uint64_t changes() const { return Changes; }

private:
  struct pending_change {
    explicit pending_change(asio::io_context &Context) : Completion(Context) {}
    claim_change Change;
    /// Nobody waits for it any more after this time.
    time_point Deadline;
    asio::steady_timer Completion;
    claim_answer Answer = claim_answer::Unavailable;
    bool Done = false;
  };
  using pending_pointer = std::shared_ptr<pending_change>;

  struct shard_state {
    claim_shard Content;
    std::uint64_t Version = 0;
    bool UpToDate = false;
    bool Committing = false;
    time_point CommittedAt;
    std::vector<pending_pointer> Waiting;
  };

  asio::awaitable<void> commitLoop(std::uint32_t Shard);
  asio::awaitable<bool> commitBatch(std::uint32_t Shard,
                                    std::vector<pending_pointer> Batch);
  asio::awaitable<bool> readShard(std::uint32_t Shard);
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
