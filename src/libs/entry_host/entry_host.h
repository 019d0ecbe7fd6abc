/// \file
/// The process of one entry host: proxies the requests of callers to backend
/// servers, and performs the duties assigned to this host (peer_network.h).
#pragma once

#include "entry_host/caller_server.h"
#include "entry_host/fleet_view.h"
#include "entry_host/header_names.h"
#include "entry_host/host_settings.h"
#include "entry_host/leave_schedule.h"
#include "entry_host/peer_network.h"
#include "entry_host/platform_port.h"
#include "entry_host/quota_broker.h"
#include "entry_host/request_proxy.h"
#include "entry_host/slot_broker.h"

#include "http/http_client.h"
#include "http/http_server.h"
#include "metrics/metrics.h"
#include "routing/route_index.h"
#include "utils/json.h"
#include "utils/run_history.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace coriandertray {

/// All members run on the thread of the io_context, which must outlive the
/// object, as must \p Clock and \p Platform.
class entry_host {
public:
  entry_host(asio::io_context &Context, const clock_source &Clock,
             host_settings Settings, header_names Names,
             platform_port &Platform);

  /// Starts serving. Fails with AddressMalformed if it can't listen.
  result<void> start();

  /// Starts a graceful shutdown: reports not ready, serves the requests that
  /// can end in time, refuses the others, and stops the io_context within the
  /// grace period. The grace period counts from the earliest moment at which
  /// the signal for it may have been sent. Idempotent.
  void leave();

  /// Applies the grace period, the retry limits and the quota tolerance of
  /// \p Changed. The other settings, such as addresses, take effect at the next
  /// start.
  void reload(const host_settings &Changed);

  /// \returns the state of this host, for operators.
  [[nodiscard]] json::object dump() const;

private:
  asio::awaitable<http_response>
  serve(http_request Request, std::shared_ptr<caller_connection_status> Caller);
  asio::awaitable<std::optional<http_response>>
  refuseBeyondQuota(const proxied_request &Request);
  asio::awaitable<http_response> serveReadiness();
  asio::awaitable<http_response> serveOperatorRequest(http_request Request);
  [[nodiscard]] event_loop_run currentRun() const;
  asio::awaitable<void> recordRunsLoop();
  asio::awaitable<void> leaveLoop(leave_schedule Schedule);
  void applyConfig(const routing_config &Config);

  asio::io_context &Context;
  const clock_source &Clock;
  host_settings Settings;
  http_client Client;
  metric_registry Metrics;
  peer_network Peers;
  slot_broker Slots;
  quota_broker Quotas;
  fleet_view View;
  proxy_environment ProxyEnvironment;
  caller_server CallerServer;
  http_server ReadinessServer;
  http_server OperatorServer;
  /// Null before the first configuration.
  std::shared_ptr<route_index> Routes;
  const key_secret KeySecret = makeKeySecret();
  std::uint64_t ConfigVersion = 0;
  run_history Runs;
  bool Leaving = false;
};

} // namespace coriandertray
