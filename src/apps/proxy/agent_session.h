/// \file
/// A proxy's link to the agent on its host: configuration and verdicts come
/// in, evidence and claims go out. While the agent is away the proxy goes on
/// with what it has.
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

struct agent_session_handlers {
  std::function<void(std::uint64_t Version, manifest Manifest)> OnConfig;
  std::function<void(const verdict_set &)> OnVerdicts;
  std::function<void(std::uint32_t LiveHosts)> OnFleetSize;
};

/// Keeps one link open. All members run on the thread of the io_context.
class agent_session {
public:
  agent_session(asio::io_context &Context, socket_address Agent,
                std::string Host, std::string Zone,
                agent_session_handlers Handlers);

  /// Connects, and connects again whenever the link breaks; never ends.
  asio::awaitable<void> run();

  void sendEvidence(const evidence_report &Report);

  /// Asks for a change of a claim. \returns Unavailable when nobody answers
  /// within \p Timeout.
  asio::awaitable<claim_answer>
  changeClaim(claim_change Change, milliseconds Retention, duration Timeout);

  [[nodiscard]] bool isConnected() const;
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
