/// \file
/// The routes in force on an entry host, as plain values. Safe to share between
/// threads once built.
#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// A service that a route sends a share of its requests to.
struct weighted_service {
  std::string Service;
  std::uint32_t Weight = 1;
  auto operator<=>(const weighted_service &) const = default;
};

/// One route: which requests it takes, and how they are served.
struct route_rule {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// Whether its requests may run more than once.
  bool Idempotent = false;
  /// The longest that a request is kept waiting.
  milliseconds Timeout{1000};
  /// The time within which an answer is worth most.
  milliseconds TargetLatency{1000};
  /// To how many backend servers one request may go.
  std::uint32_t MaxAttempts = 1;
  /// Zero is the most urgent.
  std::uint32_t Priority = 0;
  std::vector<weighted_service> Services;
  bool operator==(const route_rule &) const = default;
};

/// What is configured of one service beside its backend servers.
struct service_config {
  std::string Name;
  std::string HealthCheckPath;
  /// Connections that one backend server takes from all hosts together.
  std::uint32_t ConnectionLimit = 0;
  bool operator==(const service_config &) const = default;
};

/// Bounds on what a caller may send and how long it may take.
struct caller_bounds {
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = 64U << 20U;
  milliseconds HeaderTimeout{3000};
  milliseconds IdleTimeout{15000};
  auto operator<=>(const caller_bounds &) const = default;
};

/// One whole configuration.
struct routing_config {
  /// Chosen by the operator; grows.
  std::uint64_t Version = 0;
  /// Chosen by the platform; grows with each accepted configuration.
  std::uint64_t Revision = 0;
  std::vector<route_rule> Routes;
  std::vector<service_config> Services;
  caller_bounds Bounds;
  bool operator==(const routing_config &) const = default;
};

} // namespace coriandertray
