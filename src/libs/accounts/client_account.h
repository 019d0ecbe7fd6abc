/// \file
/// The client accounts of a configuration, as plain values. Safe to share
/// between threads once built.
#pragma once

#include "utils/clock.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// The request rate that a client account may use over all hosts together.
struct account_quota {
  /// Zero means that there is no limit.
  double RequestsPerSecond = 0;
  /// The requests that may come at once, after a time without requests.
  double Burst = 0;
  auto operator<=>(const account_quota &) const = default;
};

/// A client account and the keys that name it. The keys are secrets: they are
/// neither logged nor dumped.
struct client_account {
  std::string Name;
  std::vector<std::string> Keys;
  /// Zero is the highest priority. Goes before the priority of a route.
  std::uint32_t Priority = 0;
  account_quota Quota;
  bool operator==(const client_account &) const = default;
};

/// What the parts that serve a request know of its client account.
struct request_account {
  std::string Name;
  std::uint32_t Priority = 0;
  account_quota Quota;
  bool operator==(const request_account &) const = default;
};

/// By how much the requests of one account may exceed its quota within a
/// window, while hosts are cut off from each other.
struct quota_tolerance {
  duration Window = seconds(5);
  /// A share of the requests that the quota allows within the window.
  double Overshoot = 0;
  /// Further requests within the window.
  double Slack = 0;
  auto operator<=>(const quota_tolerance &) const = default;
};

} // namespace coriandertray
