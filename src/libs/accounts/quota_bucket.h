/// \file
/// The token bucket of one client account, and the record of when a host owned
/// it. Plain values; the caller passes the time in. Not thread-safe.
#pragma once

#include "accounts/client_account.h"
#include "utils/clock.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace coriandertray {

/// A time during which a host did not own its buckets or did not run, so that
/// another host may have granted tokens.
struct ownership_gap {
  time_point Begin;
  time_point End;
  /// At least End - Begin. Longer if the steady clock stood still meanwhile.
  duration Length{0};
  auto operator<=>(const ownership_gap &) const = default;
};

/// When a host owned the accounts of a duty.
struct ownership {
  /// The start of the ownership, if it owns them.
  time_point Since;
  /// In order of time, after Since.
  std::vector<ownership_gap> Gaps;
  /// When the current gap began; empty while this host is the owner.
  std::optional<time_point> LostAt;
  bool operator==(const ownership &) const = default;
};

/// Starts a gap at \p Now. Does nothing if one has not ended.
void loseOwnership(ownership &Record, time_point Now);

/// Ends the gap that has not ended, if there is one.
void regainOwnership(ownership &Record, time_point Now);

/// Adds \p Gap. Only the latest gaps are kept: buckets that were not used since
/// an older one count as new. \pre \p Gap is after those of \p Record.
void addGap(ownership &Record, const ownership_gap &Gap);

/// \returns the requests beyond \p Quota that are tolerated in one window.
[[nodiscard]] double toleratedExcess(const account_quota &Quota,
                                     const quota_tolerance &Tolerance);

/// \returns whether the rate of \p Quota is limited.
[[nodiscard]] bool isLimited(const account_quota &Quota);

/// \returns whether the numbers of \p Quota are finite and not negative.
[[nodiscard]] bool isValid(const account_quota &Quota);

/// \returns the longest time after which a refused caller of an account with
/// \p Quota is told to come back: that of a few tokens if they accrue slowly.
/// \pre \p Quota is limited.
[[nodiscard]] duration maxRetryAfter(const account_quota &Quota);

/// The result of a request for tokens.
struct quota_grant {
  std::uint32_t Granted = 0;
  /// If not all were granted: the time until the next one may be.
  duration RetryAfter{0};
  auto operator<=>(const quota_grant &) const = default;
};

/// The tokens of one account at its owner. They accrue at the rate of the quota
/// up to its burst, or to one token if the burst is smaller.
struct quota_bucket {
  account_quota Quota;
  /// The configuration version that Quota is from.
  std::uint64_t ConfigVersion = 0;
  /// Tokens that have accrued.
  double Accrued = 0;
  /// Tokens that a new owner grants beside those that accrue, because it can't
  /// know how many the previous owner has left.
  double Credit = 0;
  time_point UpdatedAt;
  /// When the last refused caller was told to come back. The next one is told a
  /// later time, so that they don't compete for one token.
  time_point LastReturn;
  time_point UsedAt;
  /// When the burst was last lowered, if that is not a window ago.
  std::optional<time_point> LoweredAt;
  /// The highest burst that was lowered since then, as a number of tokens.
  double FormerCapacity = 0;
  /// Tokens that lower bursts took away since then.
  double Dropped = 0;
  bool operator==(const quota_bucket &) const = default;
};

/// \returns the bucket of a new owner since \p Since, with a quarter of the
/// tolerated excess and at most the burst.
[[nodiscard]] quota_bucket makeBucket(const account_quota &Quota,
                                      std::uint64_t ConfigVersion,
                                      const quota_tolerance &Tolerance,
                                      time_point Since);

/// Adds the tokens that accrued until \p Now while this host owned the account.
/// \pre the gaps of \p Record have ended.
void advanceBucket(quota_bucket &Bucket, const ownership &Record,
                   const quota_tolerance &Tolerance, time_point Now);

/// Replaces the quota if \p ConfigVersion is higher than the bucket's. A lower
/// burst takes effect on the level at once. A higher one adds the difference to
/// the highest burst of the last \p Window, and what was taken away since then.
/// \pre \p Bucket is advanced to now.
void updateQuota(quota_bucket &Bucket, const account_quota &Quota,
                 std::uint64_t ConfigVersion, duration Window);

/// Limits the accrued tokens to those of the last \p Time, because another host
/// granted tokens before.
void limitToAccrualOf(quota_bucket &Bucket, duration Time);

/// Takes up to \p Count tokens. Those who are refused are told to come back one
/// after the other, as tokens accrue, within maxRetryAfter(); RetryAfter is the
/// time of the first of them. \pre \p Bucket is advanced to \p Now.
[[nodiscard]] quota_grant takeTokens(quota_bucket &Bucket, std::uint32_t Count,
                                     time_point Now);

/// \returns whether \p Bucket is full and was not used for \p Time.
/// \pre \p Bucket is advanced to \p Now.
[[nodiscard]] bool isIdle(const quota_bucket &Bucket, duration Time,
                          time_point Now);

/// Counts tokens granted within a sliding window.
struct windowed_grants {
  struct entry {
    time_point Earliest;
    time_point Latest;
    std::uint32_t Count = 0;
    auto operator<=>(const entry &) const = default;
  };
  /// In order of time.
  std::deque<entry> Entries;
  bool operator==(const windowed_grants &) const = default;
};

/// Takes up to \p Count tokens so that at most \p Limit are taken in any
/// \p Window.
[[nodiscard]] quota_grant takeWithin(windowed_grants &Grants,
                                     std::uint32_t Count, double Limit,
                                     duration Window, time_point Now);

} // namespace coriandertray
