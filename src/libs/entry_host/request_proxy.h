/// \file
/// The course of one request: its route, its attempts at backend servers, and
/// what its caller is told.
#pragma once

#include "entry_host/header_names.h"
#include "entry_host/slot_broker.h"

#include "http/http_client.h"
#include "http/http_message.h"
#include "metrics/metrics.h"
#include "routing/routing_config.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace coriandertray {

/// What the requests of one host share.
struct proxy_environment {
  asio::io_context &Context;
  const clock_source &Clock;
  http_client &Client;
  slot_broker &Slots;
  metric_registry &Metrics;
  header_names Names;
  /// Backend servers that this host could not connect to, and until when they
  /// are left out.
  std::map<std::string, time_point> UnreachableUntil;
};

/// Whether the caller of a request is still there.
struct caller_connection_status {
  bool Disconnected = false;
  /// Called once when the caller leaves.
  std::function<void()> OnDisconnect;
};

/// Tells that the caller left.
void notifyDisconnected(caller_connection_status &Caller);

/// A request with what its route says of it.
struct proxied_request {
  http_request Message;
  route_rule Route;
  std::string Service;
  std::uint64_t ConfigVersion = 0;
  /// When the request was read whole.
  time_point Start;
};

/// \returns an answer of this host's own that promises that the request was
/// not run.
[[nodiscard]] http_response
notRunResponse(unsigned Status, std::string_view Reason, duration RetryAfter);

/// Serves \p Request before its deadline. A request that is not idempotent is
/// sent again only after proof that it was not run. \p Environment must outlive
/// the call.
asio::awaitable<http_response>
proxyRequest(proxy_environment &Environment, proxied_request Request,
             std::shared_ptr<caller_connection_status> Caller);

} // namespace coriandertray
