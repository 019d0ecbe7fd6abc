#include "claim_committer.h"

#include "utils/log.h"
#include "wire/conversions.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// Changes that arrive within this time share one update.
constexpr duration BatchDelay = milliseconds(2);
// The minimum time between two updates of a shard. This limits the fleet to
// ClaimShardCount updates of the store in this time, however high its load.
constexpr duration CommitInterval = milliseconds(50);
// How long a requester waits for a change to be committed.
constexpr duration ChangeTimeout = milliseconds(1200);
constexpr duration OwnerTimeout = milliseconds(600);
constexpr int MaxCommitTries = 4;
constexpr duration ReleaseRetryInterval = seconds(2);
constexpr int MaxReleaseTries = 3600;

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

claim_committer::claim_committer(asio::io_context &Context,
                                 const clock_source &Clock,
                                 const membership_state &Members,
                                 const owner_cache &Owners,
                                 peer_exchange &Peers,
                                 platform_client &Platform)
    : Context(Context), Clock(Clock), Members(Members), Owners(Owners),
      Peers(Peers), Platform(Platform) {}

asio::awaitable<claim_answer> claim_committer::commit(claim_change Change,
                                                      milliseconds Retention) {
  const std::uint32_t Shard = claimShardIndex(Change.Key);
  const std::string Owner = Owners.ownerOf(claimShardObjectKey(Shard));
  if (Owner == Members.Self.Host)
    co_return co_await commitLocally(std::move(Change), Retention);
  const result<envelope> Answer = co_await Peers.request(
      Owner, makeBody(toWire(Change, Retention)), OwnerTimeout);
  const auto *Reply = Answer ? Answer->body.Asclaim_reply() : nullptr;
  if (Reply)
    co_return static_cast<claim_answer>(Reply->answer);
  // Committing the same token from this host is safe only if the owner never
  // received the request. Otherwise the owner could release the claim while the
  // claimed request runs.
  if (!Answer && Answer.error().Code == error_code::ConnectFailed)
    co_return co_await commitLocally(std::move(Change), Retention);
  if (Change.Action == claim_action::Claim)
    releaseInBackground(std::move(Change));
  co_return claim_answer::Unavailable;
}

asio::awaitable<claim_answer>
claim_committer::commitLocally(claim_change Change, milliseconds Retention) {
  Change.ExpiresAtMs = unixMs() + Retention.count();
  const std::uint32_t Shard = claimShardIndex(Change.Key);
  const auto Pending = std::make_shared<pending_change>(Context);
  Pending->Change = Change;
  Pending->Deadline = Clock.now() + ChangeTimeout;
  shard_state &State = Shards[Shard];
  State.Waiting.push_back(Pending);
  ++Changes;
  if (!State.Committing) {
    State.Committing = true;
    asio::co_spawn(Context, commitLoop(Shard), asio::detached);
  }
  Pending->Completion.expires_at(Pending->Deadline);
  if (!Pending->Done)
    co_await Pending->Completion.async_wait(UseTuple);
  const bool IsUnavailable = Pending->Answer == claim_answer::Unavailable;
  if (IsUnavailable && Change.Action == claim_action::Claim)
    releaseInBackground(std::move(Change));
  co_return Pending->Answer;
}

void claim_committer::releaseInBackground(claim_change Change) {
  Change.Action = claim_action::Release;
  asio::co_spawn(Context, releaseWithRetries(std::move(Change)),
                 asio::detached);
}

asio::awaitable<void> claim_committer::releaseWithRetries(claim_change Change) {
  const milliseconds Retention(0);
  for (int Try = 0; Try < MaxReleaseTries; ++Try) {
    asio::steady_timer Timer(Context, ReleaseRetryInterval);
    co_await Timer.async_wait(UseTuple);
    const claim_answer Answer = co_await commit(Change, Retention);
    if (Answer == claim_answer::Granted)
      co_return;
  }
}

asio::awaitable<void> claim_committer::commitLoop(std::uint32_t Shard) {
  shard_state &State = Shards[Shard];
  while (!State.Waiting.empty()) {
    const time_point Next =
        std::max(Clock.now() + BatchDelay, State.CommittedAt + CommitInterval);
    asio::steady_timer BatchTimer(Context, Next);
    co_await BatchTimer.async_wait(UseTuple);
    std::vector<pending_pointer> Batch = std::exchange(State.Waiting, {});
    bool Committed = false;
    for (int Try = 0; Try < MaxCommitTries && !Committed; ++Try)
      Committed = co_await commitBatch(Shard, Batch);
    for (const pending_pointer &Pending : Batch) {
      Pending->Done = true;
      Pending->Completion.cancel();
    }
  }
  State.Committing = false;
}

asio::awaitable<bool>
claim_committer::commitBatch(std::uint32_t Shard,
                             std::vector<pending_pointer> Batch) {
  shard_state &State = Shards[Shard];
  if (!State.UpToDate) {
    const bool UpToDate = co_await readShard(Shard);
    if (!UpToDate)
      co_return false;
  }
  // Drop changes whose requester has given up, for example because this process
  // was paused: a key must not be claimed for them.
  std::erase_if(Batch, [this](const pending_pointer &Pending) {
    return Clock.now() >= Pending->Deadline;
  });
  if (Batch.empty())
    co_return true;
  std::vector<claim_change> Wanted;
  for (const pending_pointer &Pending : Batch)
    Wanted.push_back(Pending->Change);
  claim_shard Next = State.Content;
  const std::vector<claim_answer> Answers =
      applyClaimChanges(Next, Wanted, unixMs());
  const result<std::uint64_t> Version = co_await Platform.put(
      claimShardObjectKey(Shard), serializeClaimShard(Next), State.Version);
  if (!Version) {
    // After a version conflict or a lost response, the content of the shard is
    // unknown and must be read again.
    State.UpToDate = false;
    co_return false;
  }
  ++Commits;
  State.CommittedAt = Clock.now();
  State.Content = std::move(Next);
  State.Version = *Version;
  for (std::size_t Index = 0; Index < Batch.size(); ++Index)
    Batch[Index]->Answer = Answers[Index];
  co_return true;
}

asio::awaitable<bool> claim_committer::readShard(std::uint32_t Shard) {
  const result<platform_object> Object =
      co_await Platform.get(claimShardObjectKey(Shard));
  shard_state &State = Shards[Shard];
  if (!Object && Object.error().Code == error_code::ObjectMissing) {
    State.Content = {};
    State.Version = 0;
    State.UpToDate = true;
    co_return true;
  }
  if (!Object)
    co_return false;
  result<claim_shard> Content = parseClaimShard(Object->Value);
  if (!Content) {
    logEvent(log_level::Error, "claim-shard-malformed",
             {{"shard", Shard}, {"detail", Content.error().Detail}});
    co_return false;
  }
  State.Content = std::move(*Content);
  State.Version = Object->Version;
  State.UpToDate = true;
  co_return true;
}

} // namespace coriandertray
