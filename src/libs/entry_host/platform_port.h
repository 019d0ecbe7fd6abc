/// \file
/// The interface between an entry host and the platform that it runs on.
#pragma once

#include "discovery/backend_registration.h"
#include "routing/routing_config.h"
#include "utils/clock.h"
#include "utils/error.h"

#include <boost/asio/awaitable.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

namespace asio = boost::asio;

/// A position in the history of the platform's store. Each restore of the store
/// from an older copy begins a new epoch, in which revisions of the one before
/// are given out again.
struct history_position {
  /// Zero if the platform reports none.
  std::uint64_t Epoch = 0;
  std::uint64_t Revision = 0;
  auto operator<=>(const history_position &) const = default;
};

/// The backend servers that the platform lists.
struct backend_listing {
  std::vector<backend_registration> Servers;
  /// The epoch of the store's history that the list is from.
  std::uint64_t Epoch = 0;
  /// The list holds all changes up to this time, and maybe later ones.
  time_point CurrentAt;
  bool operator==(const backend_listing &) const = default;
};

/// A configuration as stored on the platform.
struct config_document {
  history_position Position;
  std::string Text;
  bool operator==(const config_document &) const = default;
};

/// Implemented by the platform adapter. All members run on the thread of the
/// io_context and fail with PlatformUnreachable, PlatformRefused, ObjectMissing
/// or AnswerMalformed.
class platform_port {
public:
  virtual ~platform_port() = default;

  /// Reads the current configuration.
  virtual asio::awaitable<result<config_document>> readConfig() = 0;

  /// Waits up to \p Timeout for a configuration stored after \p Since.
  /// \returns nothing if there is none by then.
  virtual asio::awaitable<result<std::optional<config_document>>>
  awaitConfig(history_position Since, duration Timeout) = 0;

  /// Decodes a configuration. Fails with AnswerMalformed.
  [[nodiscard]] virtual result<routing_config>
  decodeConfig(const config_document &Document) const = 0;

  /// Lists the backend servers. Entries that can't be decoded are skipped.
  virtual asio::awaitable<result<backend_listing>> readBackends() = 0;

  /// Waits up to \p Wait for a change of the backend servers since the last
  /// call. \returns the list as soon as there is one, or after \p Wait.
  virtual asio::awaitable<result<backend_listing>>
  awaitBackends(duration Wait) = 0;

  /// Lists the hosts of this fleet. With \p AllowStale the list may be seconds
  /// old, which costs the platform less.
  virtual asio::awaitable<result<std::vector<fleet_member>>>
  readMembers(bool AllowStale) = 0;

  /// Adds \p Member, replacing an existing entry of the same name.
  virtual asio::awaitable<result<void>> addMember(fleet_member Member) = 0;

  /// Removes the entry of the host called \p Host.
  virtual asio::awaitable<result<void>> removeMember(std::string Host) = 0;
};

} // namespace coriandertray
