/// \file
/// The messages that hosts and the allocator of a pool exchange, independent of
/// their encoding.
#pragma once

#include "allocation/backend_report.h"
#include "allocation/retry_window.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// Identifies a request for a slot and the lease granted for it. Id is unique
/// for the requesting host.
struct slot_key {
  std::string Host;
  std::uint64_t Id = 0;
  auto operator<=>(const slot_key &) const = default;
};

/// Why a request needs a slot at another backend server after its first one.
enum class retry_reason : std::uint8_t {
  None,        ///< Not a retry: no backend server has received it yet.
  NotExecuted, ///< The previous server provably did not execute it.
  Failed,      ///< It is idempotent, and the previous attempt failed.
  Hedge,       ///< It is idempotent, and the first attempt is still pending.
};

struct slot_request {
  slot_key Key;
  /// Availability zone of the requesting host.
  std::string Zone;
  /// Requests of the same class take about the same time.
  std::string RequestClass;
  bool Idempotent = false;
  /// The size of the request's body and the usual size of the responses to its
  /// class, in bytes. Zero if unknown.
  std::uint64_t BodyBytes = 0;
  /// The client account; empty if there is none.
  std::string Account;
  /// Zero is the most urgent. Goes before Priority.
  std::uint32_t AccountPriority = 0;
  /// The share of the account among those of the same priority, above zero.
  double AccountWeight = 1;
  /// Zero is the most urgent.
  std::uint32_t Priority = 0;
  time_point RequestedAt;
  /// An answer is worth less after this time.
  time_point Target;
  /// An answer is worth nothing after this time.
  time_point Deadline;
  retry_reason RetryReason = retry_reason::None;
  /// Backend servers that have already been tried for this request.
  std::vector<std::string> Tried;
  /// Backend servers that the requesting host cannot reach.
  std::vector<std::string> Unreachable;
  /// What the requesting host knows of the backend servers and the allocator
  /// may not, because it has just taken over.
  std::vector<known_backend_report> KnownReports;
  /// What the requesting host has sent to the servers of the pool in the last
  /// retry window, if the allocator may not know it. Empty otherwise.
  std::vector<attempt_slice> RecentAttempts;
  bool operator==(const slot_request &) const = default;
};

enum class slot_verdict : std::uint8_t { Granted, Queued, Refused };

struct slot_answer {
  slot_key Key;
  slot_verdict Verdict = slot_verdict::Refused;
  /// The name, address and start of the backend server, if granted.
  std::string Backend;
  socket_address Address;
  std::uint64_t StartedAtUnixMs = 0;
  /// How long after it was sent an idempotent request should be hedged.
  duration HedgeAfter{0};
  /// When capacity is expected to be available, if refused.
  duration RetryAfter{0};
  /// Why the request was refused.
  std::string Reason;
  bool operator==(const slot_answer &) const = default;
};

/// The reason of a refusal by a host that doesn't know the pool, because it has
/// another list of backend servers than the requesting host.
inline constexpr std::string_view PoolUnknownReason = "pool-unknown";

/// The reason of a refusal because no backend server of the pool will take the
/// request.
inline constexpr std::string_view NoServerReason = "no-server";

/// The reason of a refusal because the requests before it would delay the
/// request for too long.
inline constexpr std::string_view OverloadedReason = "overloaded";

/// The reason of a refusal because the request would miss its deadline even if
/// it started at once.
inline constexpr std::string_view DeadlineReason = "deadline";

/// The reason of a refusal because the budget for retries is used up.
inline constexpr std::string_view RetryBudgetReason = "retry-budget";

/// \returns a refusal of the request \p Key with PoolUnknownReason.
[[nodiscard]] slot_answer makeUnknownPoolRefusal(const slot_key &Key);

/// How a lease ended.
enum class slot_outcome : std::uint8_t {
  Succeeded,
  Failed,      ///< An error response, a malformed one, or a lost connection.
  Silent,      ///< Abandoned by the host without a response.
  Unreachable, ///< No connection; not executed.
  Full,        ///< Rejected by the backend server; not executed.
  Misdirected, ///< A different backend server has the address; not executed.
  NotUsed,     ///< The host did not send the request.
};

/// \returns the stable, kebab-case name of \p Outcome.
[[nodiscard]] std::string_view slotOutcomeName(slot_outcome Outcome);

/// Releases a slot, or cancels a request that is still queued.
struct slot_release {
  slot_key Key;
  slot_outcome Outcome = slot_outcome::NotUsed;
  duration Elapsed{0};
  /// What the backend server stated about itself; nothing if there was no
  /// response.
  std::optional<backend_report> Report;
  bool operator==(const slot_release &) const = default;
};

/// Reports a lease that another allocator granted to the current allocator.
struct slot_lease_report {
  slot_key Key;
  std::string Backend;
  std::string RequestClass;
  time_point Start;
  time_point Deadline;
  bool operator==(const slot_lease_report &) const = default;
};

} // namespace coriandertray
