/// \file
/// One attempt to run a request on one backend server, and the evidence that
/// its end provides.
#pragma once

#include "service_runtime.h"

#include "http/attributing_client.h"
#include "metrics/metrics.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// The objects that the calls of all requests share.
struct call_environment {
  asio::io_context &Context;
  const clock_source &Clock;
  attributing_client &Client;
  metric_registry &Metrics;
};

/// One attempt, shared between the coroutine that runs it and the one that
/// waits for it.
struct attempt {
  placement Place;
  /// Identifies the backend server if a new configuration moves it to another
  /// index.
  std::string BackendName;
  std::string RequestId;
  std::shared_ptr<call_canceller> Canceller;
  /// Empty until the attempt has ended.
  std::optional<call_result> Result;
  /// Valid once Result is set.
  attempt_outcome Outcome = attempt_outcome::Cancelled;
  time_point Start;
  /// It ran longer than the late threshold and was counted as late.
  bool LateRecorded = false;
  /// It ran longer than the hung threshold and was counted as failed.
  bool HungRecorded = false;
  /// Whether another attempt ran at the same time.
  bool WasHedged = false;
};

using attempt_pointer = std::shared_ptr<attempt>;

/// The attempts of one request that run concurrently: the first one and its
/// hedge. The first success wins.
struct attempt_group {
  explicit attempt_group(asio::io_context &Context) : Changed(Context) {}
  /// Cancelled when an attempt ends, to wake the waiting coroutine.
  asio::steady_timer Changed;
  std::vector<attempt_pointer> Attempts;
};

/// \returns whether the backend server provably did not run \p Attempt.
/// \pre \p Attempt has ended.
[[nodiscard]] bool provesNotRun(const attempt &Attempt);

/// \returns \p Request with the headers of \p Attempt, whose deadline is
/// \p Remaining from now.
[[nodiscard]] http_request makeAttemptRequest(const http_request &Request,
                                              const attempt &Attempt,
                                              duration Remaining);

/// Sends \p Request to \p Address. When the call has ended, sets the result of
/// \p Attempt, updates the state of the service, dispatches queued requests and
/// wakes the coroutine that waits for \p Group. \p Environment must outlive the
/// coroutine.
asio::awaitable<void> runAttempt(call_environment &Environment,
                                 std::shared_ptr<service_runtime> Runtime,
                                 std::shared_ptr<attempt_group> Group,
                                 attempt_pointer Attempt, http_request Request,
                                 routed_request Routed, socket_address Address);

} // namespace coriandertray
