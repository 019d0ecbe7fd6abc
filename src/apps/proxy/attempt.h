/// \file
/// One attempt at one backend server, and what its end tells.
#pragma once

#include "service_runtime.h"

#include "http/http_client.h"
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

/// What the calls of all requests share.
struct call_environment {
  asio::io_context &Context;
  const clock_source &Clock;
  http_client &Client;
  metric_registry &Metrics;
};

/// One attempt, shared between the coroutine that makes it and the one that
/// waits for it.
struct attempt {
  placement Place;
  std::string BackendName;
  std::string RequestId;
  std::shared_ptr<call_canceller> Canceller;
  std::optional<call_result> Result;
  attempt_outcome Outcome = attempt_outcome::Cancelled;
  time_point Start;
  bool LateRecorded = false;
  bool HungRecorded = false;
  /// Whether another attempt ran at the same time.
  bool WasHedged = false;
};

using attempt_pointer = std::shared_ptr<attempt>;

/// The attempts of one request that run at the same time.
struct attempt_group {
  explicit attempt_group(asio::io_context &Context) : Changed(Context) {}
  asio::steady_timer Changed;
  std::vector<attempt_pointer> Attempts;
};

/// \returns whether \p Attempt, which has ended, was provably not run.
[[nodiscard]] bool provesNotRun(const attempt &Attempt);

/// \returns \p Request with the headers of one attempt that has \p Left to end.
[[nodiscard]] http_request makeAttemptRequest(const http_request &Request,
                                              const attempt &Attempt,
                                              duration Remaining);

/// Makes \p Attempt and notes its end everywhere. \p Environment must outlive
/// it.
asio::awaitable<void> runAttempt(call_environment &Environment,
                                 std::shared_ptr<service_runtime> Runtime,
                                 std::shared_ptr<attempt_group> Group,
                                 attempt_pointer Attempt, http_request Request,
                                 routed_request Routed, socket_address Address);

} // namespace coriandertray
