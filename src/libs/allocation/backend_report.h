/// \file
/// What backend servers state about themselves in their responses: their rate
/// limit, that they are shutting down, and that they want no requests from one
/// host for a while.
///
/// The host that got the response keeps to these statements itself, because it
/// can't rely on an allocator that may have changed since. It also reports them
/// to the allocators, so that other hosts benefit.
#pragma once

#include "allocation/rate_limit.h"
#include "discovery/backend_registration.h"
#include "utils/clock.h"
#include "utils/error.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// The statements in one response. Immutable value; safe to share between
/// threads.
struct backend_report {
  /// Nothing if the response doesn't tell; a rate_limit without a value if the
  /// server has no limit.
  std::optional<rate_limit> Limit;
  /// The server is shutting down and wants no new requests.
  bool Leaving = false;
  /// For how long the server wants no requests from the host that got the
  /// response; zero if it wants them.
  duration HoldOff{0};
  auto operator<=>(const backend_report &) const = default;
};

/// A longer hold-off is shortened to this, so that one invalid header doesn't
/// take a server away from a host for ever.
inline constexpr duration MaxHoldOff = std::chrono::minutes(10);

/// Parses a decimal number of seconds and limits it to MaxHoldOff. Fails with
/// ValueOutOfRange if \p Text is not a finite number of at least zero.
[[nodiscard]] result<duration> parseHoldOff(std::string_view Text);

/// What one host knows of one start of a backend server.
struct known_backend_report {
  std::string Backend;
  /// Tells the starts of a server apart, see backend_registration.
  std::uint64_t StartedAtUnixMs = 0;
  rate_limit Limit;
  /// When the response with Limit arrived.
  time_point LimitReportedAt;
  bool Leaving = false;
  /// The host sends the server no requests until then.
  time_point HeldUntil;
  bool operator==(const known_backend_report &) const = default;
};

/// The reports that one host has got, by the name of the backend server. Plain
/// state; not thread-safe.
struct backend_reports {
  struct entry {
    known_backend_report Known;
    /// When the last response of the server arrived.
    time_point UpdatedAt;
  };
  std::map<std::string, entry> ByBackend;
};

/// How a report changed what a host knows of a server.
struct report_change {
  bool StartedLeaving = false;
  bool HeldOff = false;
  auto operator<=>(const report_change &) const = default;
};

/// Adds the \p Report of the start \p StartedAtUnixMs of \p Backend. A server
/// that is leaving stays so until it starts again.
report_change addReport(backend_reports &State, const std::string &Backend,
                        std::uint64_t StartedAtUnixMs,
                        const backend_report &Report, time_point Now);

/// \returns whether this host may send a request to the start
/// \p StartedAtUnixMs of \p Backend.
[[nodiscard]] bool acceptsRequests(const backend_reports &State,
                                   const std::string &Backend,
                                   std::uint64_t StartedAtUnixMs,
                                   time_point Now);

/// \returns what is known of \p Servers and still of use to an allocator.
[[nodiscard]] std::vector<known_backend_report>
reportsOf(const backend_reports &State,
          const std::vector<backend_registration> &Servers, time_point Now);

} // namespace coriandertray
