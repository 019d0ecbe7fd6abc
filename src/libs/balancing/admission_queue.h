/// \file
/// Admission queue for requests that wait for a backend server. It is fair
/// between accounts, serves the earliest deadline of an account first, and
/// detects early which requests can't meet their deadline.
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

/// Estimate of how fast a service serves the requests of one entry host.
struct throughput_estimate {
  /// How long one request normally runs.
  duration ServiceTime{};
  /// The mean time between two slots that become free for this host.
  duration SlotInterval{};
  auto operator<=>(const throughput_estimate &) const = default;
};

/// The queue of one service at one entry host. Not thread-safe.
class admission_queue {
public:
  /// \returns whether a request with \p Deadline, placed behind those already
  /// waiting, can be served in time and without making the queue needlessly
  /// long. \p Estimate provides the slot interval until this queue has measured
  /// its own.
  [[nodiscard]] bool canMeetDeadline(time_point Deadline,
                                     const throughput_estimate &Estimate,
                                     time_point Now) const;

  /// Adds \p Request. \pre its Id is not in the queue.
  void push(const waiting_request &Request);

  /// \returns the request to dispatch next, or nothing if the queue is empty.
  [[nodiscard]] std::optional<std::uint64_t> front() const;

  /// Removes \p Id to offer it to a backend server, and counts it towards the
  /// share of its account.
  void dispatch(std::uint64_t Id);

  /// Records that a backend server accepted a request that was removed by
  /// dispatch().
  void recordAccepted(const throughput_estimate &Estimate, time_point Now);

  /// Records that a backend server refused a request of \p Account that was
  /// removed by dispatch(), and no longer counts it towards the share of the
  /// account.
  void recordRefused(std::string_view Account);

  /// Removes \p Id because it was rejected or its caller gave up.
  void remove(std::uint64_t Id);

  /// \returns the requests that can no longer meet their deadline if they run
  /// for \p ServiceTime. They stay in the queue until removed.
  [[nodiscard]] std::vector<std::uint64_t> expired(duration ServiceTime,
                                                   time_point Now) const;

  [[nodiscard]] std::size_t size() const { return ById.size(); }

private:
  struct account_queue {
    /// Grows by one with each request dispatched. The account with the lowest
    /// value is next.
    std::uint64_t Dispatched = 0;
    std::set<std::pair<time_point, std::uint64_t>> Waiting;
  };

  std::map<std::uint64_t, waiting_request> ById;
  std::map<std::string, account_queue, std::less<>> Accounts;
  /// Virtual time of the fair queuing: the highest Dispatched that an account
  /// had when its request was dispatched. An account that had no requests
  /// waiting restarts from it.
  std::uint64_t VirtualTime = 0;
  time_point LastAcceptedAt;
  /// Moving average of the time between two accepted requests while others were
  /// waiting. Empty until a request was accepted from the present backlog.
  std::optional<duration> AcceptInterval;
};

} // namespace coriandertray
