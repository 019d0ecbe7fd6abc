/// \file
/// Running one request on the backend servers of a service: choosing a backend
/// server, hedging, retrying, and the outcome for the caller.
#pragma once

#include "attempt.h"
#include "service_runtime.h"

#include "http/http_message.h"
#include "metrics/metrics.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace coriandertray {

/// How a request ended, as reported to the caller.
enum class request_outcome {
  Answered, ///< The response of a backend server, successful or not.
  NotRun,   ///< Provably not run by any backend server.
  Unknown,  ///< It may have run; there is no response.
};

struct request_result {
  request_outcome Outcome = request_outcome::NotRun;
  /// Set if the outcome is Answered.
  http_response Response;
  /// Why there is no response; empty if the outcome is Answered.
  std::string Reason;
  bool operator==(const request_result &) const = default;
};

/// Runs \p Request on a backend server of \p Runtime before its deadline. A
/// request that is not idempotent is sent again only if the previous attempt
/// provably was not run. \p RouteIndex selects the latency statistics of the
/// route. \p Environment must outlive the coroutine.
asio::awaitable<request_result>
runRequest(call_environment &Environment,
           std::shared_ptr<service_runtime> Runtime, http_request Request,
           routed_request Routed, std::size_t RouteIndex);

} // namespace coriandertray
