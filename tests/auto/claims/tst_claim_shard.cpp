#include "claims/claim_shard.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <optional>

using namespace coriandertray;

namespace {

constexpr std::int64_t RetentionMs = 1000;
constexpr std::size_t CommitterCount = 3;

/// The platform object of one shard, with conditional updates.
struct fake_store {
  std::string Value;
  std::uint64_t Version = 0;

  bool put(const std::string &Next, std::uint64_t Expected) {
    if (Expected != Version)
      return false;
    Value = Next;
    ++Version;
    return true;
  }
};

/// One agent's cached copy of the shard, possibly stale.
struct committer {
  claim_shard Content;
  std::uint64_t Version = 0;

  void read(const fake_store &Store) {
    Content =
        Store.Version == 0 ? claim_shard{} : *parseClaimShard(Store.Value);
    Version = Store.Version;
  }
};

struct system_under_test {
  fake_store Store;
  std::vector<committer> Committers = std::vector<committer>(CommitterCount);
};

/// The reference model: the claim that is expected on each key.
struct claim_model {
  std::map<std::string, key_claim> Holders;
  std::int64_t NowMs = 1;
  int NextToken = 0;
};

using claim_command = rc::state::Command<claim_model, system_under_test>;

struct claim_key : claim_command {
  std::string Key = *rc::gen::element<std::string>("k", "l");
  std::size_t CommitterIndex =
      *rc::gen::inRange<std::size_t>(0, CommitterCount);
  bool ResponseLost = *rc::gen::inRange(0, 3) == 0;

  [[nodiscard]] static bool isFree(const claim_model &Model,
                                   const std::string &Key) {
    const auto Found = Model.Holders.find(Key);
    return Found == Model.Holders.end() ||
           Found->second.ExpiresAtMs <= Model.NowMs;
  }
  [[nodiscard]] static std::string tokenOf(const claim_model &Model) {
    return "t" + std::to_string(Model.NextToken);
  }
  void apply(claim_model &Model) const override {
    if (isFree(Model, Key))
      Model.Holders[Key] = {tokenOf(Model), Model.NowMs + RetentionMs};
    ++Model.NextToken;
  }
  // Like the agent's claim_committer, starts from a possibly stale copy. After
  // a conflict or a lost response it reads the store again and retries the
  // change with the same token.
  void run(const claim_model &Model, system_under_test &Sut) const override {
    committer &Committer = Sut.Committers[CommitterIndex];
    const claim_change Change = {claim_action::Claim, Key, tokenOf(Model),
                                 Model.NowMs + RetentionMs};
    std::optional<claim_answer> Answer;
    bool LoseResponse = ResponseLost;
    while (!Answer) {
      claim_shard Next = Committer.Content;
      const auto Answers = applyClaimChanges(Next, {Change}, Model.NowMs);
      const bool Written =
          Sut.Store.put(serializeClaimShard(Next), Committer.Version);
      if (Written && !LoseResponse) {
        Committer.Content = Next;
        ++Committer.Version;
        Answer = Answers.front();
      } else {
        Committer.read(Sut.Store);
      }
      LoseResponse = false;
    }
    RC_ASSERT((*Answer == claim_answer::Granted) == isFree(Model, Key));
  }
};

struct release_key : claim_command {
  std::string Key = *rc::gen::element<std::string>("k", "l");
  bool OwnToken = *rc::gen::arbitrary<bool>();

  void checkPreconditions(const claim_model &Model) const override {
    RC_PRE(Model.Holders.contains(Key));
  }
  void apply(claim_model &Model) const override {
    if (OwnToken)
      Model.Holders.erase(Key);
  }
  void run(const claim_model &Model, system_under_test &Sut) const override {
    committer &Committer = Sut.Committers.front();
    Committer.read(Sut.Store);
    claim_change Change = {claim_action::Release, Key, "foreign", 0};
    if (OwnToken)
      Change.Token = Model.Holders.at(Key).Token;
    (void)applyClaimChanges(Committer.Content, {Change}, Model.NowMs);
    RC_ASSERT(Sut.Store.put(serializeClaimShard(Committer.Content),
                            Committer.Version++));
  }
};

struct advance_clock : claim_command {
  int AdvanceMs = *rc::gen::inRange(1, 800);

  void apply(claim_model &Model) const override { Model.NowMs += AdvanceMs; }
};

} // namespace

TEST_CASE("a key is granted to one token until it expires, by any committer") {
  CHECK(rc::check([] {
    system_under_test Sut;
    rc::state::check(
        claim_model(), Sut,
        rc::state::gen::execOneOfWithArgs<claim_key, claim_key, release_key,
                                          advance_clock>());
  }));
}

TEST_CASE("a serialized shard parses to the same shard") {
  claim_shard Shard;
  Shard.Claims["k"] = {"host-1-\"x\"", 17};
  CHECK(*parseClaimShard(serializeClaimShard(Shard)) == Shard);
  CHECK(parseClaimShard("{}").error().Code == error_code::AnswerMalformed);
  CHECK(parseClaimShard("{\"claims\":{\"k\":[1]}}").error().Code ==
        error_code::AnswerMalformed);
}

TEST_CASE(
    "equal keys of different accounts or services are claimed separately") {
  CHECK(claimKey("s", "a", "k") != claimKey("s", "b", "k"));
  CHECK(claimKey("s", "a", "k") != claimKey("t", "a", "k"));
  CHECK(claimShardIndex(claimKey("s", "a", "k")) < ClaimShardCount);
}
