/// \file
/// Connection of a proxy to the agent on its host. The proxy receives its
/// configuration, verdicts and the size of the fleet, and sends evidence and
/// claim changes. Without the agent it continues with the last configuration
/// and verdicts that it received.
#pragma once

#include "claims/claim_shard.h"
#include "manifest/manifest.h"
#include "outlier_detection/evidence.h"
#include "outlier_detection/verdict.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "wire/frame_link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace coriandertray {

/// Called for messages from the agent, on the thread of the io_context.
struct agent_session_handlers {
  std::function<void(std::uint64_t Version, manifest Manifest)> OnConfig;
  std::function<void(const verdict_set &)> OnVerdicts;
  std::function<void(std::uint32_t LiveHosts)> OnFleetSize;
};

/// Keeps one connection to the agent open. Not thread-safe; all members run on
/// the thread of the io_context.
class agent_session {
public:
  agent_session(asio::io_context &Context, socket_address Agent,
                std::string Host, std::string Zone,
                agent_session_handlers Handlers);

  /// Connects, and reconnects whenever the connection is lost. Never returns.
  asio::awaitable<void> run();

  /// Sends \p Report, or drops it while there is no connection.
  void sendEvidence(const evidence_report &Report);

  /// Asks the agent to claim or release an idempotency key. A claim is kept for
  /// \p Retention. \returns Unavailable if there is no answer within \p
  /// Timeout.
  asio::awaitable<claim_answer>
  changeClaim(claim_change Change, milliseconds Retention, duration Timeout);

  [[nodiscard]] bool isConnected() const;
  /// \returns the version of the last valid configuration, or 0 before the
  /// first.
  [[nodiscard]] std::uint64_t configVersion() const { return ConfigVersion; }

private:
  void receive(const envelope &Message);
  void receiveConfig(const wire::config_push_value &Push);

  asio::io_context &Context;
  socket_address Agent;
  std::string Host;
  std::string Zone;
  agent_session_handlers Handlers;
  std::shared_ptr<frame_link> Link;
  std::uint64_t ConfigVersion = 0;
};

} // namespace coriandertray
