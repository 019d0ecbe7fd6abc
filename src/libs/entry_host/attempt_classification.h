/// \file
/// Classifies the end of one attempt at a backend server, for the caller and
/// for the allocator. Performs no I/O.
#pragma once

#include "allocation/backend_report.h"
#include "allocation/slot_messages.h"
#include "entry_host/header_names.h"
#include "http/http_client.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace coriandertray {

namespace status {
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned Unavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;
} // namespace status

enum class attempt_state : std::uint8_t {
  InProgress,
  /// A response below 500 that is forwarded and ends the request.
  Accepted,
  /// A 5xx response, forwarded unless another attempt is accepted.
  ServerError,
  /// No response that may be forwarded; the request may have run.
  Failed,
  /// The request was provably not run.
  NotRun,
  /// No slot was granted, or the granted one was not used.
  SlotRefused,
};

/// What proves that the backend server did not run the request.
enum class not_run_proof : std::uint8_t {
  None,
  ConnectFailed,
  NotSent,
  /// A response with this status and, but for 421, with the not-run header.
  Refused408,
  Refused421,
  Refused429,
  Refused503,
};

/// \returns the stable, kebab-case name of \p Proof, empty for None.
[[nodiscard]] std::string_view notRunProofName(not_run_proof Proof);

/// \returns what in \p Result proves that the request was not run. A 408, 429
/// or 503 does so only with the not-run header; a 421 always does.
[[nodiscard]] not_run_proof notRunProof(const call_result &Result,
                                        const header_names &Names);

struct attempt_classification {
  attempt_state State = attempt_state::Failed;
  slot_outcome Outcome = slot_outcome::Failed;
  auto operator<=>(const attempt_classification &) const = default;
};

/// \returns the classification of \p Result: NotRun if there is a
/// notRunProof(). A 2xx response is a success only with a signature.
[[nodiscard]] attempt_classification
classifyCallResult(const call_result &Result, const header_names &Names);

/// The report of a backend server as read from a response.
struct report_reading {
  /// Nothing if there is no response of the backend server that the attempt was
  /// meant for.
  std::optional<backend_report> Report;
  /// A ValueOutOfRange error for each header with a malformed value.
  std::vector<error> Faults;
};

/// \returns what the backend server states about itself in the response in
/// \p Result. A malformed header counts as absent.
[[nodiscard]] report_reading readBackendReport(const call_result &Result,
                                               const header_names &Names);

} // namespace coriandertray
