/// \file
/// The settings of an entry host's process.
#pragma once

#include "allocation/retry_window.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace coriandertray {

struct host_settings {
  std::string Host;
  std::string Zone;
  /// Where callers connect.
  socket_address Listen;
  /// Where the balancer asks whether this host is ready.
  socket_address Readiness;
  /// Where this host accepts other hosts.
  socket_address Peers;
  /// Where other hosts reach it, through what lies between them.
  socket_address AdvertisedPeers;
  /// Where metrics and state are served.
  socket_address Metrics;
  /// Thousandths of a core that this process may use.
  std::uint32_t CapacityMillicores = 1000;
  /// How long after SIGTERM the process may run on.
  duration GracePeriod = seconds(6);
  retry_limits Retries;
  bool operator==(const host_settings &) const = default;
};

} // namespace coriandertray
