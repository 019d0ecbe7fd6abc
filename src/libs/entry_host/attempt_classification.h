/// \file
/// What the end of one attempt at a backend server means: for the caller, and
/// for the allocator. No I/O.
#pragma once

#include "allocation/slot_messages.h"
#include "entry_host/header_names.h"
#include "http/http_client.h"

#include <compare>
#include <cstdint>

namespace coriandertray {

namespace status {
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned Unavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;
} // namespace status

enum class attempt_state : std::uint8_t {
  InProgress,
  Accepted,    ///< A whole success.
  ServerError, ///< Another answer of the backend server, which is final.
  Failed,      ///< No answer to pass on; it may have run.
  NotRun,      ///< Provably not run.
  SlotRefused, ///< No slot was to be had.
};

struct attempt_classification {
  attempt_state State = attempt_state::Failed;
  slot_outcome Outcome = slot_outcome::Failed;
  auto operator<=>(const attempt_classification &) const = default;
};

/// \returns what \p Result means. An answer is a success only if it is signed,
/// and proves that the request was not run only if it says so by itself.
[[nodiscard]] attempt_classification
classifyCallResult(const call_result &Result, const header_names &Names);

} // namespace coriandertray
