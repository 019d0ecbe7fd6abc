/// \file
/// A client of the platform's object API: versioned values, conditional
/// updates, watches and the list of hosts. docs/INTERFACES.md documents the
/// protocol.
#pragma once

#include "http/http_client.h"
#include "utils/address.h"
#include "utils/clock.h"
#include "utils/error.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace coriandertray {

/// A stored value with its key and version.
struct platform_object {
  std::string Key;
  /// Assigned by the platform; increases with every update of the key.
  std::uint64_t Version = 0;
  std::string Value;
  bool operator==(const platform_object &) const = default;
};

/// One entry of the platform's host list, which may be out of date.
struct platform_host {
  std::string Name;
  bool Leaving = false;
  auto operator<=>(const platform_host &) const = default;
};

/// The host list and its version.
struct platform_host_list {
  std::uint64_t Version = 0;
  std::vector<platform_host> Hosts;
  bool operator==(const platform_host_list &) const = default;
};

/// Calls the object API. All members must be called on the thread of the
/// io_context. Every call fails with PlatformUnreachable if no response
/// arrives in time, it has not the id of the request or its status is a server
/// error, and with AnswerMalformed if it can't be parsed.
class platform_client {
public:
  /// \p ClientName identifies this process and is sent with every request.
  platform_client(asio::io_context &Context, socket_address Address,
                  std::string ClientName);

  /// Reads \p Key. Fails with ObjectMissing if it doesn't exist.
  asio::awaitable<result<platform_object>> get(std::string Key);

  /// Writes \p Value if the version of \p Key is \p ExpectedVersion; zero
  /// requires that the key does not exist. \returns the new version. Fails with
  /// VersionConflict if the version differs, and with PlatformUnreachable if it
  /// is unknown whether the write took effect.
  asio::awaitable<result<std::uint64_t>> put(std::string Key, std::string Value,
                                             std::uint64_t ExpectedVersion);

  /// Waits up to \p Wait until the version of \p Key exceeds \p Version. Fails
  /// with TimedOut if it doesn't by then.
  asio::awaitable<result<platform_object>>
  watch(std::string Key, std::uint64_t Version, duration Wait);

  /// \returns the keys that begin with \p Prefix.
  asio::awaitable<result<std::vector<std::string>>> list(std::string Prefix);

  /// \returns the list of hosts, including those that are leaving.
  asio::awaitable<result<platform_host_list>> hosts();

private:
  /// Sends one request. \returns the response whatever its status; fails with
  /// PlatformUnreachable if there is none.
  asio::awaitable<result<http_response>> call(std::string Method,
                                              std::string Target,
                                              std::string Body,
                                              duration Timeout);

  http_client Client;
  socket_address Address;
  std::string ClientName;
  /// Different for each request, so that each response shows which request it
  /// is for.
  std::uint64_t NextRequestId = 1;
};

} // namespace coriandertray
