/// \file
/// The settings of an entry host's process.
#pragma once

#include "accounts/client_account.h"
#include "allocation/retry_window.h"
#include "membership/view_relays.h"
#include "utils/address.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace coriandertray {

struct host_settings {
  std::string Host;
  std::string Zone;
  /// Address on which callers connect.
  socket_address Listen;
  /// Address on which the load balancer probes readiness.
  socket_address Readiness;
  /// Address on which this host accepts links from other hosts.
  socket_address Peers;
  /// Address under which other hosts reach Peers. Differs from it if the
  /// network in between translates addresses.
  socket_address AdvertisedPeers;
  /// Address on which metrics and state are served.
  socket_address Metrics;
  /// CPU share of this process, in thousandths of a core.
  std::uint32_t CapacityMillicores = 1000;
  /// Memory of this process, in bytes.
  std::uint64_t MemoryBytes = 160U << 20U;
  /// Time after SIGTERM within which the process exits.
  duration GracePeriod = seconds(6);
  retry_limits Retries;
  quota_tolerance Quotas;
  relay_policy Relays;
  bool operator==(const host_settings &) const = default;
};

} // namespace coriandertray
