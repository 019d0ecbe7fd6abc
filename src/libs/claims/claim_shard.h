/// \file
/// Claims on idempotency keys: leases that let only one attempt run a keyed
/// request. The claims are spread over shards. Each shard is one object in the
/// platform's store, changed by conditional updates that batch many claims.
///
/// Plain values and free functions; not thread-safe.
#pragma once

#include "utils/error.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// The number of claim shards in the fleet; each is one platform object.
constexpr std::uint32_t ClaimShardCount = 16;

/// A lease on one idempotency key.
struct key_claim {
  /// Identifies the attempt that holds the lease and may run the request.
  std::string Token;
  /// Milliseconds since 1970-01-01 UTC.
  std::int64_t ExpiresAtMs = 0;
  auto operator<=>(const key_claim &) const = default;
};

/// The claims of one shard, by the key that claimKey() returns.
struct claim_shard {
  std::map<std::string, key_claim, std::less<>> Claims;
  bool operator==(const claim_shard &) const = default;
};

enum class claim_action { Claim, Release };

/// A request to claim or release one key.
struct claim_change {
  claim_action Action = claim_action::Claim;
  /// The result of claimKey().
  std::string Key;
  /// Identifies the attempt that claims or releases the key.
  std::string Token;
  /// Milliseconds since 1970-01-01 UTC; not used by a release.
  std::int64_t ExpiresAtMs = 0;
  auto operator<=>(const claim_change &) const = default;
};

enum class claim_answer {
  Granted,     ///< The token holds the key, or a release is complete.
  Duplicate,   ///< Another token holds the key.
  Unavailable, ///< The store can't be reached; the outcome is unknown.
};

/// Removes the claims that have expired at \p NowMs, then applies \p Changes in
/// order. A key that the same token already holds is granted again with its
/// expiry unchanged, so that a change can be retried when its response was
/// lost. \returns an answer for each change.
[[nodiscard]] std::vector<claim_answer>
applyClaimChanges(claim_shard &Shard, const std::vector<claim_change> &Changes,
                  std::int64_t NowMs);

/// \returns the key under which \p IdempotencyKey of \p Account is claimed in
/// \p Service: a 128-bit hash of the three in hexadecimal.
[[nodiscard]] std::string claimKey(std::string_view Service,
                                   std::string_view Account,
                                   std::string_view IdempotencyKey);

/// \returns the index in [0, ClaimShardCount) of the shard that holds \p Key.
[[nodiscard]] std::uint32_t claimShardIndex(std::string_view Key);

/// \returns the key of the platform object that stores \p Shard.
[[nodiscard]] std::string claimShardObjectKey(std::uint32_t Shard);

/// \returns \p Shard as JSON.
[[nodiscard]] std::string serializeClaimShard(const claim_shard &Shard);

/// Parses the result of serializeClaimShard(). Fails with AnswerMalformed.
[[nodiscard]] result<claim_shard> parseClaimShard(std::string_view Text);

} // namespace coriandertray
