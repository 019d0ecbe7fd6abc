/// \file
/// The validated configuration of a fleet: its services, backend servers,
/// routes and limits. Plain values; safe to share between threads once built.
#pragma once

#include "utils/address.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// The version of the manifest format that this code reads and writes.
constexpr std::int64_t ManifestFormatVersion = 1;
/// The largest value that the platform stores, in bytes.
constexpr std::size_t MaxPlatformValueBytes = 1'000'000;

struct backend_server {
  std::string Name;
  socket_address Address;
  std::string Zone;
  /// The number of requests that the server runs concurrently.
  std::uint32_t Slots = 1;
  /// The number of connections that the server accepts from the whole fleet.
  std::uint32_t ConnectionLimit = 0;
  bool operator==(const backend_server &) const = default;
};

struct route {
  std::string Name;
  /// Empty matches every host.
  std::string Host;
  /// Matches whole path segments.
  std::string PathPrefix;
  std::vector<std::string> Methods;
  /// The subset of Methods whose requests are safe to repeat.
  std::vector<std::string> IdempotentMethods;
  milliseconds Deadline{1000};
  bool operator==(const route &) const = default;
};

/// How a request with an idempotency key is handled while the platform's object
/// store is unavailable: RunWithoutClaim runs it without a claim on its key.
enum class store_unavailable_policy { Refuse, RunWithoutClaim };

struct service {
  std::string Name;
  /// The floor: the number of slots that stay in service however many backend
  /// servers look unhealthy.
  std::uint32_t FloorSlots = 0;
  std::vector<backend_server> BackendServers;
  std::vector<route> Routes;
  /// Retries and hedges allowed, as percentages of requests.
  std::uint32_t RetryBudgetPercent = 10;
  std::uint32_t HedgeBudgetPercent = 5;
  /// The number of requests that may wait at one host.
  std::uint32_t QueueLimit = 200;
  store_unavailable_policy KeyedRequestsWhileStoreUnavailable =
      store_unavailable_policy::Refuse;
  /// How long the claim on an idempotency key is kept.
  seconds KeyRetention{600};
  bool operator==(const service &) const = default;
};

/// Limits for one client account at one entry host.
struct account_limits {
  std::uint32_t MaxInFlight = 64;
  /// Zero means unlimited.
  std::uint32_t RequestsPerSecond = 0;
  bool operator==(const account_limits &) const = default;
};

struct account {
  std::string Name;
  account_limits Limits;
  bool operator==(const account &) const = default;
};

struct manifest {
  std::string Fleet;
  std::vector<std::string> Zones;
  account_limits DefaultLimits;
  std::vector<account> Accounts;
  std::vector<service> Services;
  bool operator==(const manifest &) const = default;
};

/// \returns the service called \p Name, or null.
[[nodiscard]] const service *findService(const manifest &Manifest,
                                         std::string_view Name);

/// \returns the backend server called \p Name, or null.
[[nodiscard]] const backend_server *findBackendServer(const service &Service,
                                                      std::string_view Name);

/// \returns the sum of the slots of all backend servers of \p Service.
[[nodiscard]] std::uint32_t totalSlots(const service &Service);

/// \returns \p Policy as it is spelled in manifests.
[[nodiscard]] std::string_view
storeUnavailablePolicyName(store_unavailable_policy Policy);

} // namespace coriandertray
