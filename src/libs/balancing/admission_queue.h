/// \file
/// Requests waiting for a backend server: fair between accounts, the earliest
/// deadline first within one, and refused early when they can't make it.
#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

struct waiting_request {
  std::uint64_t Id = 0;
  std::string Account;
  time_point Deadline;
  auto operator<=>(const waiting_request &) const = default;
};

/// How fast a service is believed to serve one entry host.
struct throughput_estimate {
  /// How long one request usually runs.
  duration ServiceTime{};
  /// The time between two slots that fall free for this host.
  duration SlotInterval{};
  auto operator<=>(const throughput_estimate &) const = default;
};

/// The queue of one service at one entry host. Not thread-safe.
class admission_queue {
public:
  /// \returns whether a request with \p Deadline would be served in time, and
  /// without a needlessly long queue, behind those already waiting. \p Pace
  /// holds while nothing is known of this queue's own.
  [[nodiscard]] bool canMeetDeadline(time_point Deadline,
                                     const throughput_estimate &Estimate,
                                     time_point Now) const;

  /// Adds \p Request. \pre its Id is not in the queue.
  void push(const waiting_request &Request);

  /// \returns the request whose turn it is.
  [[nodiscard]] std::optional<std::uint64_t> front() const;

  /// Removes \p Id because a backend server is asked for it, which counts
  /// towards its account's share.
  void dispatch(std::uint64_t Id);

  /// Notes that a request which left by popAsked() was taken.
  void recordAccepted(const throughput_estimate &Estimate, time_point Now);

  /// Notes that a request of \p Account which left by popAsked() was refused,
  /// and takes it off its account's share.
  void recordRefused(std::string_view Account);

  /// Removes \p Id because it was refused or gave up.
  void remove(std::uint64_t Id);

  /// \returns the requests that can't be served any more if they run for
  /// \p Usual; they stay in the queue until removed.
  [[nodiscard]] std::vector<std::uint64_t> expired(duration ServiceTime,
                                                   time_point Now) const;

  [[nodiscard]] std::size_t size() const { return ById.size(); }

private:
  struct account_queue {
    /// Grows with each request served; the lowest has its turn.
    std::uint64_t Dispatched = 0;
    std::set<std::pair<time_point, std::uint64_t>> Waiting;
  };

  std::map<std::uint64_t, waiting_request> ById;
  std::map<std::string, account_queue, std::less<>> Accounts;
  std::uint64_t VirtualTime = 0;
  time_point LastAcceptedAt;
  /// The smoothed time between two takings while requests were waiting.
  std::optional<duration> AcceptInterval;
};

} // namespace coriandertray
