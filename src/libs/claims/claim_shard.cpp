#include "claims/claim_shard.h"

#include "utils/hash.h"
#include "utils/json.h"

#include <algorithm>

namespace coriandertray {

namespace {

claim_answer claim(claim_shard &Shard, const claim_change &Change) {
  const auto [Entry, Inserted] = Shard.Claims.try_emplace(
      Change.Key, key_claim{Change.Token, Change.ExpiresAtMs});
  const bool SameToken = Entry->second.Token == Change.Token;
  return Inserted || SameToken ? claim_answer::Granted
                               : claim_answer::Duplicate;
}

// Granted even if the token does not hold the key; the claim of another token
// is left in place.
claim_answer release(claim_shard &Shard, const claim_change &Change) {
  const auto Found = Shard.Claims.find(Change.Key);
  if (Found != Shard.Claims.end() && Found->second.Token == Change.Token)
    Shard.Claims.erase(Found);
  return claim_answer::Granted;
}

} // namespace

std::vector<claim_answer>
applyClaimChanges(claim_shard &Shard, const std::vector<claim_change> &Changes,
                  std::int64_t NowMs) {
  std::erase_if(Shard.Claims, [NowMs](const auto &Entry) {
    return Entry.second.ExpiresAtMs <= NowMs;
  });
  std::vector<claim_answer> Answers;
  std::ranges::transform(Changes, std::back_inserter(Answers),
                         [&Shard](const claim_change &Change) {
                           return Change.Action == claim_action::Claim
                                      ? claim(Shard, Change)
                                      : release(Shard, Change);
                         });
  return Answers;
}

std::string claimKey(std::string_view Service, std::string_view Account,
                     std::string_view IdempotencyKey) {
  constexpr std::uint64_t SecondSeed = 2;
  std::string Identity(Service);
  Identity += '\n';
  Identity += Account;
  Identity += '\n';
  Identity += IdempotencyKey;
  return toHex(stableHash(Identity)) + toHex(stableHash(Identity, SecondSeed));
}

std::uint32_t claimShardIndex(std::string_view Key) {
  return static_cast<std::uint32_t>(stableHash(Key) % ClaimShardCount);
}

std::string claimShardObjectKey(std::uint32_t Shard) {
  return "claims/" + std::to_string(Shard);
}

std::string serializeClaimShard(const claim_shard &Shard) {
  json::object Claims;
  for (const auto &[Key, Claim] : Shard.Claims)
    Claims[Key] = json::array{json::string(Claim.Token), Claim.ExpiresAtMs};
  return json::serialize(json::object{{"claims", std::move(Claims)}});
}

result<claim_shard> parseClaimShard(std::string_view Text) {
  const result<json::value> Value = parseJson(Text);
  if (!Value || !Value->is_object())
    return fail(error_code::AnswerMalformed,
                "claim shard is not a JSON object");
  const json::value *Claims = Value->get_object().if_contains("claims");
  if (!Claims || !Claims->is_object())
    return fail(error_code::AnswerMalformed,
                "claim shard has no object \"claims\"");
  claim_shard Shard;
  for (const auto &[Key, Claim] : Claims->get_object()) {
    const json::array *Pair = Claim.if_array();
    const bool IsWellFormed = Pair && Pair->size() == 2 &&
                              (*Pair)[0].is_string() && (*Pair)[1].is_int64();
    if (!IsWellFormed)
      return fail(error_code::AnswerMalformed,
                  "claim is not a pair of token and expiry time");
    Shard.Claims[std::string(Key)] = {std::string((*Pair)[0].get_string()),
                                      (*Pair)[1].get_int64()};
  }
  return Shard;
}

} // namespace coriandertray
