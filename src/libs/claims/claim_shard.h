/// \file
/// Claims of idempotency keys: one shard is one object in the platform's store,
/// changed by conditional updates that carry many claims at once.
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

/// Shards of the whole fleet; each is one object of the platform.
constexpr std::uint32_t ClaimShardCount = 16;

/// Who holds a key, and until when.
struct key_claim {
  /// Names the one attempt that may run the request.
  std::string Token;
  /// Milliseconds since 1970-01-01 UTC.
  std::int64_t ExpiresAtMs = 0;
  auto operator<=>(const key_claim &) const = default;
};

/// The content of one shard.
struct claim_shard {
  std::map<std::string, key_claim, std::less<>> Claims;
  bool operator==(const claim_shard &) const = default;
};

enum class claim_action { Claim, Release };

/// One wish to change a shard.
struct claim_change {
  claim_action Action = claim_action::Claim;
  /// The service and the caller's key, see claimKey().
  std::string Key;
  std::string Token;
  std::int64_t ExpiresAtMs = 0;
  auto operator<=>(const claim_change &) const = default;
};

enum class claim_answer {
  Granted,     ///< The token may run the request, or the release is done.
  Duplicate,   ///< Another token has the key.
  Unavailable, ///< The store could not be asked: nothing is known.
};

/// Applies \p Changes in order and drops what expired before \p NowMs. A key
/// held by the same token is granted again, so that a change whose answer was
/// lost can be repeated. \returns an answer for each change.
[[nodiscard]] std::vector<claim_answer>
applyClaimChanges(claim_shard &Shard, const std::vector<claim_change> &Changes,
                  std::int64_t NowMs);

/// \returns the key of \p IdempotencyKey of \p Account within \p Service.
[[nodiscard]] std::string claimKey(std::string_view Service,
                                   std::string_view Account,
                                   std::string_view IdempotencyKey);

/// \returns the shard in [0, ClaimShardCount) that holds \p Key.
[[nodiscard]] std::uint32_t claimShardIndex(std::string_view Key);

/// \returns the platform key of \p Shard.
[[nodiscard]] std::string claimShardObjectKey(std::uint32_t Shard);

[[nodiscard]] std::string serializeClaimShard(const claim_shard &Shard);

/// Reads a shard. Fails with AnswerMalformed.
[[nodiscard]] result<claim_shard> parseClaimShard(std::string_view Text);

} // namespace coriandertray
