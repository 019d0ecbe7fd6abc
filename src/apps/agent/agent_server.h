/// \file
/// The agent of one entry host: member of the fleet, keeper of what the fleet
/// agrees on, judge of some services, and server of its host's proxy.
#pragma once

#include "claim_committer.h"
#include "config_watcher.h"
#include "outlier_detection_runner.h"
#include "peer_exchange.h"

#include "exchange/versioned_table.h"
#include "http/http_client.h"
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
  /// Agents to ask for the fleet at the start.
  std::vector<socket_address> Seeds;
  std::string AdminToken;
  bool operator==(const agent_settings &) const = default;
};

/// All members run on the thread of the io_context.
class agent_server {
public:
  agent_server(asio::io_context &Context, const clock_source &Clock,
               agent_settings Settings);

  result<void> start();

  /// Tells the fleet that this host leaves, then stops the io_context.
  void leave();

  [[nodiscard]] json::object dump() const;

private:
  void acceptLink(const std::shared_ptr<frame_link> &Link);
  void handleMessage(const std::shared_ptr<frame_link> &Link, envelope Message);
  void handleEvidence(evidence_report Report);
  asio::awaitable<void> evidenceLoop();
  asio::awaitable<void> answerClaim(std::shared_ptr<frame_link> Link,
                                    envelope Message);
  asio::awaitable<void> stopAfterGracePeriod();
  asio::awaitable<void> drainProbeLoop();
  void handleEntry(const versioned_entry &Entry);
  void applyConfig();
  void eraseOutdatedParts(const config_root &Root);
  void subscribeProxy(const std::shared_ptr<frame_link> &Link,
                      const wire::subscribe_value &Subscribe);
  void pushToProxies(const envelope &Message);
  void pushConfig(frame_link &Link) const;
  void handleMembershipChange();
  asio::awaitable<http_response> serveAdmin(http_request Request);
  [[nodiscard]] json::array explain(std::string_view Service) const;

  asio::io_context &Context;
  const clock_source &Clock;
  agent_settings Settings;
  metric_registry Metrics;
  membership_state Members;
  owner_cache Owners;
  versioned_table Table;
  manifest Manifest;
  std::uint64_t ConfigVersion = 0;
  std::string ManifestText;
  platform_client Platform;
  http_client ProbeClient;
  peer_exchange Peers;
  config_watcher Watcher;
  outlier_detection_runner Detection;
  claim_committer Claims;
  http_server AdminServer;
  std::set<std::shared_ptr<frame_link>> Proxies;
  /// Evidence of this host's proxy, waiting to be sent to its judges.
  std::map<std::string, evidence_report, std::less<>> EvidenceByDetector;
  std::uint32_t LiveHostCount = 1;
  bool Leaving = false;
};

} // namespace coriandertray
