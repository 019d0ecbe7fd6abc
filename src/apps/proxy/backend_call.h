/// \file
/// One request's attempts at backend servers: placing, hedging, retrying, and
/// what may be said to the caller of it.
#pragma once

#include "attempt.h"
#include "service_runtime.h"

#include "http/http_client.h"
#include "http/http_message.h"
#include "metrics/metrics.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace coriandertray {

/// How a request ended, for its caller.
enum class request_outcome {
  Answered, ///< A backend server's own answer.
  NotRun,   ///< Provably run nowhere.
  Unknown,  ///< It may have run.
};

struct request_result {
  request_outcome Outcome = request_outcome::NotRun;
  /// The answer, if there is one.
  http_response Response;
  /// Why there is none.
  std::string Reason;
  bool operator==(const request_result &) const = default;
};

/// Runs \p Request on some backend server of \p Runtime before its deadline. A
/// request that is not idempotent is written to a connection again only after
/// an outcome that proves that it was not run.
asio::awaitable<request_result>
runRequest(call_environment &Environment,
           std::shared_ptr<service_runtime> Runtime, http_request Request,
           routed_request Routed, std::size_t RouteIndex);

} // namespace coriandertray
