/// \file
/// What hosts and the allocator of a service say to each other, as values.
#pragma once

#include "utils/address.h"
#include "utils/clock.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// Names one wait for a slot, or its use, by the host that asked.
struct slot_key {
  std::string Host;
  std::uint64_t Id = 0;
  auto operator<=>(const slot_key &) const = default;
};

/// Why a request asks for another backend server after its first one.
enum class retry_reason : std::uint8_t {
  None,        ///< It has been at none yet.
  NotExecuted, ///< The one before provably didn't run it.
  Failed,      ///< It may be repeated, and failed.
  Hedge,       ///< It may be repeated, and has no answer yet.
};

struct slot_request {
  slot_key Key;
  std::string Zone;
  /// Names the kind of work; requests of one kind take about equally long.
  std::string RequestClass;
  bool Idempotent = false;
  /// Zero is the most urgent.
  std::uint32_t Priority = 0;
  time_point RequestedAt;
  /// When an answer is worth most.
  time_point Target;
  /// When an answer is worth nothing.
  time_point Deadline;
  retry_reason RetryReason = retry_reason::None;
  std::vector<std::string> Tried;
  /// Backend servers that the asking host can't reach.
  std::vector<std::string> Unreachable;
  bool operator==(const slot_request &) const = default;
};

enum class slot_verdict : std::uint8_t { Granted, Queued, Refused };

struct slot_answer {
  slot_key Key;
  slot_verdict Verdict = slot_verdict::Refused;
  std::string Backend;
  socket_address Address;
  /// From when on an idempotent request should ask for a second slot.
  duration HedgeAfter{0};
  /// When room is expected; of a refusal.
  duration RetryAfter{0};
  std::string Reason;
  bool operator==(const slot_answer &) const = default;
};

/// How the use of a slot ended.
enum class slot_outcome : std::uint8_t {
  Succeeded,
  Failed,      ///< An error answer, a broken one, or a lost connection.
  Silent,      ///< Given up without an answer.
  Unreachable, ///< No connection; not run.
  Full,        ///< Refused by the backend server; not run.
  Misdirected, ///< Another backend server has the address; not run.
  NotUsed,     ///< The host didn't send the request.
};

/// \returns the stable, kebab-case name of \p Outcome.
[[nodiscard]] std::string_view slotOutcomeName(slot_outcome Outcome);

struct slot_release {
  slot_key Key;
  slot_outcome Outcome = slot_outcome::NotUsed;
  duration Elapsed{0};
  bool operator==(const slot_release &) const = default;
};

/// A use under way that another allocator granted.
struct slot_lease_report {
  slot_key Key;
  std::string Backend;
  std::string RequestClass;
  time_point Start;
  time_point Deadline;
  bool operator==(const slot_lease_report &) const = default;
};

} // namespace coriandertray
