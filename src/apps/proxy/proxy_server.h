/// \file
/// The proxy of one entry host. It accepts callers' requests, selects their
/// route, and responds with the complete response of a backend server or with
/// its own response that states outcome and reason.
#pragma once

#include "agent_session.h"
#include "backend_call.h"
#include "service_runtime.h"

#include "balancing/caller_limits.h"
#include "balancing/route_table.h"
#include "claims/claim_token.h"
#include "http/attributing_client.h"
#include "http/http_server.h"
#include "manifest/manifest.h"
#include "metrics/metrics.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace coriandertray {

struct proxy_settings {
  std::string Host;
  std::string Zone;
  /// The address for callers.
  socket_address Listen;
  /// The address for operators and for scraping metrics.
  socket_address Admin;
  /// The agent on this host.
  socket_address Agent;
  /// The bearer token that operators must send to change something.
  std::string AdminToken;
  balancing_policy Policy = balancing_policy::LateBinding;
  /// Whether the proxy applies the fleet-wide verdicts, or excludes backend
  /// servers only by its own requests.
  bool UseVerdicts = true;
  /// How long a shutdown waits at most for requests in flight.
  seconds LeaveTimeout{30};
  /// Seeds the random choices, together with the name of the host.
  std::uint64_t Seed = 0;
  bool operator==(const proxy_settings &) const = default;
};

/// Not thread-safe; all members run on the thread of the io_context.
class proxy_server {
public:
  proxy_server(asio::io_context &Context, const clock_source &Clock,
               proxy_settings Settings);

  /// Starts to serve callers and operators. Fails if an address can't be
  /// listened on.
  result<void> start();

  /// Reports not ready, completes the requests in flight for at most
  /// LeaveTimeout, then stops the io_context.
  void leave();

  /// \returns the complete state, for operators.
  [[nodiscard]] json::object dump() const;

private:
  asio::awaitable<http_response> serve(http_request Request,
                                       std::shared_ptr<peer_connection> Peer);
  asio::awaitable<http_response> serveAdmin(http_request Request);
  /// Runs an admitted request on a backend server.
  asio::awaitable<http_response> forward(http_request Request,
                                         const route_match &Match,
                                         const std::string &Account,
                                         time_point Start);
  /// Runs a request only if \p Key, as returned by claimKey(), can be claimed;
  /// releases the claim if the request was not run.
  asio::awaitable<request_result>
  runWithIdempotencyKey(std::shared_ptr<service_runtime> Runtime,
                        http_request Request, routed_request Routed,
                        std::size_t RouteIndex, std::string Key);
  asio::awaitable<void> releaseClaim(claim_change Change, seconds Retention);
  /// Sends the collected evidence to the agent at regular intervals.
  asio::awaitable<void> reportLoop();
  asio::awaitable<void> leaveLoop();
  /// Probes backend servers for the start or end of a drain.
  asio::awaitable<void> probeLoop();
  asio::awaitable<void> probeBackend(std::shared_ptr<service_runtime> Runtime,
                                     backend_server Server);
  void receiveVerdicts(const verdict_set &Verdicts);
  void applyConfig(std::uint64_t Version, manifest Next);
  void applyFleetSize(std::uint32_t Hosts);
  void recordResponse(const std::string &Service, const http_response &Response,
                      time_point Start);
  void updateGauges();

  asio::io_context &Context;
  const clock_source &Clock;
  proxy_settings Settings;
  attributing_client Client;
  metric_registry Metrics;
  call_environment Environment;
  agent_session Agent;
  http_server CallerServer;
  http_server AdminServer;
  caller_limits CallerLimits;
  manifest Manifest;
  std::uint64_t ConfigVersion = 0;
  std::optional<route_table> Routes;
  std::map<std::string, std::shared_ptr<service_runtime>, std::less<>> Services;
  /// Verdicts that arrived before the configuration of their service.
  std::map<std::string, verdict_set, std::less<>> PendingVerdicts;
  std::mt19937_64 Random;
  claim_token_source ClaimTokens;
  /// The number of live entry hosts in the fleet, at least 1.
  std::uint32_t LiveHosts = 1;
  bool Leaving = false;
};

/// \returns the state of one service, for operators.
[[nodiscard]] json::object dumpService(const service_runtime &Runtime,
                                       time_point Now);

} // namespace coriandertray
