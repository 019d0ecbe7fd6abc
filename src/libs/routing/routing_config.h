/// \file
/// The routing configuration that an entry host applies, as plain values. Safe
/// to share between threads once built.
#pragma once

#include "accounts/client_account.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// One service of a route's traffic split.
struct weighted_service {
  std::string Service;
  /// The service's share of the requests, relative to the route's other
  /// services.
  std::uint32_t Weight = 1;
  auto operator<=>(const weighted_service &) const = default;
};

/// Which requests a route matches, and how they are served.
struct route_rule {
  std::string Name;
  /// The virtual host; its port, if any, is ignored.
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// Whether the route's requests may be executed more than once.
  bool Idempotent = false;
  /// The maximum time from the arrival of a request to its response.
  milliseconds Timeout{1000};
  /// The latency to aim for; a later response is worth less.
  milliseconds TargetLatency{1000};
  /// The maximum number of backend servers that a request is sent to.
  std::uint32_t MaxAttempts = 1;
  /// Zero is the highest priority.
  std::uint32_t Priority = 0;
  /// Whether the route serves requests without a client account. Has no meaning
  /// if the configuration has no accounts.
  bool AllowAnonymous = false;
  std::vector<weighted_service> Services;
  bool operator==(const route_rule &) const = default;
};

/// The configuration of one service, apart from its backend servers.
struct service_config {
  std::string Name;
  std::string HealthCheckPath;
  /// The maximum number of connections that one backend server accepts from
  /// all hosts together.
  std::uint32_t ConnectionLimit = 0;
  bool operator==(const service_config &) const = default;
};

/// Limits on the size of a caller's requests and on the time it takes.
struct caller_bounds {
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = 64U << 20U;
  milliseconds HeaderTimeout{3000};
  milliseconds IdleTimeout{15000};
  auto operator<=>(const caller_bounds &) const = default;
};

/// A complete configuration.
struct routing_config {
  /// Set by the operator; increases.
  std::uint64_t Version = 0;
  std::vector<route_rule> Routes;
  std::vector<service_config> Services;
  /// Empty if requests need no client account.
  std::vector<client_account> Accounts;
  caller_bounds Bounds;
  bool operator==(const routing_config &) const = default;
};

} // namespace coriandertray
