/// \file
/// The retry budget of one allocator, which spends it for all hosts.
///
/// An allocator that takes over doesn't know what its predecessors allowed, but
/// the hosts know what they sent. Each reports it with its first request. Until
/// all have reported, the allocator holds back the part of the slack that the
/// others may have used.
#pragma once

#include "allocation/retry_window.h"
#include "utils/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// The attempts of one host that an allocator knows of.
struct host_attempts {
  retry_window Window;
  /// Whether the host has told what it sent before.
  bool HasReported = false;
};

/// Plain state; not thread-safe.
struct retry_budget {
  /// By host; only those with attempts in the last window.
  std::map<std::string, host_attempts, std::less<>> Hosts;
  /// The hosts that may have used other allocators; zero if there were none.
  std::size_t HostCount = 0;
  /// When the allocator got its first request after a pause of a window.
  std::optional<time_point> Since;
  time_point LastUse;
};

/// Counts a first attempt of \p Host.
void recordRequest(retry_budget &Budget, const retry_limits &Limits,
                   const std::string &Host, time_point Now);

/// Takes over what \p Host has sent in the last window. Where more is known of
/// the host, that stays: it may have restarted meanwhile.
void adoptAttempts(retry_budget &Budget, const retry_limits &Limits,
                   const std::string &Host, std::vector<attempt_slice> Sent,
                   time_point Now);

/// Counts a retry of \p Host if that leaves at least \p ReservedShare in [0, 1)
/// of the budget unused. \returns whether the retry is allowed.
[[nodiscard]] bool tryConsumeRetry(retry_budget &Budget,
                                   const retry_limits &Limits,
                                   const std::string &Host,
                                   double ReservedShare, time_point Now);

/// \returns the share in [0, 1] of the slack that no other allocator may have
/// used.
[[nodiscard]] double knownShare(const retry_budget &Budget,
                                const retry_limits &Limits, time_point Now);

} // namespace coriandertray
