/// \file
/// The agent of one entry host. It takes part in the gossip membership of the
/// fleet, replicates the configuration and the verdicts, runs the outlier
/// detection of some services, commits claims on idempotency keys, and keeps
/// the proxy of its host up to date.
#pragma once

#include "claim_committer.h"
#include "config_watcher.h"
#include "outlier_detection_runner.h"
#include "peer_exchange.h"

#include "exchange/versioned_table.h"
#include "http/http_server.h"
#include "manifest/manifest.h"
#include "manifest/manifest_split.h"
#include "membership/membership.h"
#include "membership/owner_cache.h"
#include "metrics/metrics.h"
#include "outlier_detection/evidence.h"
#include "platform/platform_client.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "utils/json.h"
#include "wire/frame_link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace coriandertray {

struct agent_settings {
  std::string Host;
  std::string Zone;
  /// Where other agents and this host's proxy connect.
  socket_address Listen;
  socket_address Admin;
  socket_address Platform;
  /// Agents to contact in order to join the fleet.
  std::vector<socket_address> Seeds;
  std::string AdminToken;
  bool operator==(const agent_settings &) const = default;
};

/// All members run on the thread of the io_context.
class agent_server {
public:
  agent_server(asio::io_context &Context, const clock_source &Clock,
               agent_settings Settings);

  /// Opens the listening sockets and starts all loops. Fails with
  /// AddressMalformed when a socket can't be bound.
  result<void> start();

  /// Announces to peers that this host leaves the fleet, and stops the
  /// io_context shortly after.
  void leave();

  /// \returns the state dump, as served at /dump.
  [[nodiscard]] json::object dump() const;

private:
  void acceptLink(const std::shared_ptr<frame_link> &Link);
  void handleMessage(const std::shared_ptr<frame_link> &Link, envelope Message);
  /// Queues evidence from this host's proxy for the detector hosts, and passes
  /// evidence from other hosts to this host's outlier detection.
  void handleEvidence(evidence_report Report);
  /// Periodically sends the queued evidence and updates the verdicts.
  asio::awaitable<void> evidenceLoop();
  asio::awaitable<void> answerClaim(std::shared_ptr<frame_link> Link,
                                    envelope Message);
  asio::awaitable<void> stopAfterGracePeriod();
  asio::awaitable<void> drainProbeLoop();
  /// Puts a new entry of the table into effect.
  void handleEntry(const versioned_entry &Entry);
  /// Puts the newest configuration of the table in force, unless some of its
  /// parts have not been received yet.
  void applyConfig();
  /// Erases the configuration parts from the table that \p Root does not list.
  void eraseOutdatedParts(const config_root &Root);
  void subscribeProxy(const std::shared_ptr<frame_link> &Link,
                      const wire::subscribe_value &Subscribe);
  void pushToProxies(const envelope &Message);
  void pushConfig(frame_link &Link) const;
  void handleMembershipChange();
  asio::awaitable<http_response> serveAdmin(http_request Request);
  /// \returns the verdict changes on \p Service, or on all services if the name
  /// is empty, as served at /explain.
  [[nodiscard]] json::array explain(std::string_view Service) const;

  asio::io_context &Context;
  const clock_source &Clock;
  agent_settings Settings;
  metric_registry Metrics;
  membership_state Members;
  owner_cache Owners;
  versioned_table Table;
  manifest Manifest;
  /// The version of the configuration in force; zero if there is none.
  std::uint64_t ConfigVersion = 0;
  /// The manifest in force, as JSON.
  std::string ManifestText;
  platform_client Platform;
  peer_exchange Peers;
  config_watcher Watcher;
  outlier_detection_runner Detection;
  claim_committer Claims;
  http_server AdminServer;
  /// The links of subscribed proxies.
  std::set<std::shared_ptr<frame_link>> Proxies;
  /// Evidence from this host's proxy that is yet to be sent, by detector host.
  std::map<std::string, evidence_report, std::less<>> EvidenceByDetector;
  std::uint32_t LiveHostCount = 1;
  bool Leaving = false;
};

} // namespace coriandertray
