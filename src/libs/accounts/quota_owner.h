/// \file
/// Decides how many requests of client accounts may be passed on, for the hosts
/// that ask this one. Plain state; the caller passes the time in. Not
/// thread-safe.
///
/// The requests beyond a quota that are tolerated in a window are divided: half
/// for the buckets of new owners, a quarter for stand-ins, and a quarter for
/// isolated hosts, in equal parts. A new bucket begins with a quarter, so
/// that two changes of the owner within a window stay within the half.
#pragma once

#include "accounts/client_account.h"
#include "accounts/quota_bucket.h"
#include "utils/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// The capacity in which a host grants tokens.
enum class quota_role : std::uint8_t {
  /// The first usable host of the duty.
  Owner,
  /// Asked while another host is considered to be the owner.
  StandIn,
  /// Reaches too few other hosts to own accounts, or grants to itself because
  /// it reached none.
  Isolated
};

/// \returns the name of \p Role for logs.
[[nodiscard]] std::string_view nameOf(quota_role Role);

/// A request for tokens.
struct token_request {
  /// The host whose callers sent the requests.
  std::string Host;
  std::string Account;
  std::uint32_t Count = 0;
  /// The quota in the configuration of that host, and its version.
  account_quota Quota;
  std::uint64_t ConfigVersion = 0;
  /// The time since another owner last granted tokens of the account to Host.
  std::optional<duration> GrantedElsewhere;
  bool operator==(const token_request &) const = default;
};

/// What one host has granted to all hosts that ask it, by account.
struct quota_owner {
  quota_tolerance Tolerance;
  /// The number of hosts among which the share of isolated hosts is divided.
  std::size_t HostCount = 1;
  std::map<std::string, quota_bucket, std::less<>> Buckets;
  /// Grants in the last window, as StandIn and as Isolated.
  std::map<std::string, windowed_grants, std::less<>> StandInGrants;
  std::map<std::string, windowed_grants, std::less<>> IsolatedGrants;
  /// By duty; only those that this host owns or owned.
  std::map<std::string, ownership, std::less<>> Ownerships;
  /// When the process last ran, by the steady clock and by a clock that also
  /// counts while the system is suspended.
  std::optional<time_point> LastRun;
  duration LastUptime{0};
};

/// Records that the process runs. If it did not for \p MaxPause or longer, it
/// owned nothing in the meantime, because the other hosts asked another one.
/// \p Uptime is from a clock that also counts while the system is suspended.
/// \returns the length of the pause, or zero. To be called more often than
/// every \p MaxPause, and before every call of the other functions.
duration recordRunning(quota_owner &State, time_point Now, duration Uptime,
                       duration MaxPause);

/// Forgets when the process last ran, because recordRunning() is not called
/// until further notice. Nothing may be granted until then.
void stopRecordingRuns(quota_owner &State);

/// Sets whether this host owns \p Duty. \returns whether that changed.
bool setOwned(quota_owner &State, const std::string &Duty, bool Owned,
              time_point Now);

/// Forgets the duties for which \p IsDuty returns false.
void removeDuties(quota_owner &State,
                  const std::function<bool(const std::string &)> &IsDuty);

/// Applies the quota of a newer configuration to the bucket of \p Account, if
/// there is one. \p Duty is the duty of the account.
void updateQuota(quota_owner &State, const std::string &Duty,
                 const std::string &Account, const account_quota &Quota,
                 std::uint64_t ConfigVersion, time_point Now);

/// Grants up to as many tokens as \p Request asks for, as \p Role. A quota that
/// is not valid grants none. \p Duty is the duty of the account.
[[nodiscard]] quota_grant decide(quota_owner &State, const std::string &Duty,
                                 const token_request &Request, quota_role Role,
                                 time_point Now);

/// Drops what has no effect on later decisions.
void dropIdle(quota_owner &State,
              const std::function<std::string(const std::string &)> &DutyOf,
              time_point Now);

/// The tokens of an account that may be granted at once.
struct bucket_level {
  std::string Account;
  double Level = 0;
  account_quota Quota;
  std::uint64_t ConfigVersion = 0;
  bool operator==(const bucket_level &) const = default;
};

/// \returns the buckets with the highest rates, at most \p Count, as of their
/// last use.
[[nodiscard]] std::vector<bucket_level> largestBuckets(const quota_owner &State,
                                                       std::size_t Count);

} // namespace coriandertray
