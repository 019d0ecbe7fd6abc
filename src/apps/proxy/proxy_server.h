/// \file
/// The proxy of one entry host: takes callers' requests, finds their route,
/// and answers with a backend server's whole answer or with a typed refusal.
#pragma once

#include "agent_session.h"
#include "backend_call.h"
#include "service_runtime.h"

#include "balancing/caller_limits.h"
#include "balancing/route_table.h"
#include "http/http_client.h"
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
  /// Where callers connect.
  socket_address Listen;
  /// Where operators and scrapers connect.
  socket_address Admin;
  /// The agent on this host.
  socket_address Agent;
  /// Operators' changes carry this token.
  std::string AdminToken;
  balancing_policy Policy = balancing_policy::LateBinding;
  /// Whether this proxy judges by the fleet's evidence or by its own alone.
  bool UseVerdicts = true;
  /// The longest a shutdown waits for requests in flight.
  seconds LeaveTimeout{30};
  std::uint64_t Seed = 0;
  bool operator==(const proxy_settings &) const = default;
};

/// All members run on the thread of the io_context.
class proxy_server {
public:
  proxy_server(asio::io_context &Context, const clock_source &Clock,
               proxy_settings Settings);

  /// Starts to serve callers and operators.
  result<void> start();

  /// Fails readiness, serves what is in flight, then stops the io_context.
  void leave();

  /// \returns the whole state, for operators.
  [[nodiscard]] json::object dump() const;

private:
  asio::awaitable<http_response> serve(http_request Request,
                                       std::shared_ptr<peer_connection> Peer);
  asio::awaitable<http_response> serveAdmin(http_request Request);
  asio::awaitable<http_response> forward(http_request Request,
                                         const route_match &Match,
                                         const std::string &Account,
                                         time_point Start);
  asio::awaitable<request_result>
  runWithIdempotencyKey(std::shared_ptr<service_runtime> Runtime,
                        http_request Request, routed_request Routed,
                        std::size_t RouteIndex, std::string Key);
  asio::awaitable<void> releaseClaim(claim_change Change, seconds Retention);
  asio::awaitable<void> reportLoop();
  asio::awaitable<void> leaveLoop();
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
  http_client Client;
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
  /// Verdicts on services that are not configured yet.
  std::map<std::string, verdict_set, std::less<>> PendingVerdicts;
  std::mt19937_64 Random;
  std::uint32_t LiveHosts = 1;
  bool Leaving = false;
};

/// \returns the state of one service, for operators.
[[nodiscard]] json::object dumpService(const service_runtime &Runtime,
                                       time_point Now);

} // namespace coriandertray
