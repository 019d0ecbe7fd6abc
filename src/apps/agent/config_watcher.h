/// \file
/// Watches the platform for a new configuration and for leaving hosts. Only a
/// few hosts in each availability zone do this; the other hosts receive the
/// entries from their peers.
#pragma once

#include "exchange/versioned_table.h"
#include "membership/membership.h"
#include "platform/platform_client.h"
#include "utils/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <random>

namespace coriandertray {

/// The table key of the names that the platform's host list marks as leaving.
inline constexpr std::string_view LeavingHostsKey = "hosts/leaving";

/// All members run on the thread of the io_context.
class config_watcher {
public:
  /// Called with each entry read from the platform.
  using entry_handler = std::function<void(const versioned_entry &)>;

  config_watcher(asio::io_context &Context, const membership_state &Members,
                 const versioned_table &Table, platform_client &Platform,
                 entry_handler OnEntry);

  /// Watches the configuration whenever this host is a watcher; never returns.
  asio::awaitable<void> watchConfig();

  /// Polls the host list whenever this host is a watcher; never returns.
  asio::awaitable<void> watchHosts();

  /// \returns whether this host is one of the watchers of its availability
  /// zone.
  [[nodiscard]] bool isWatcher() const;

private:
  /// Waits for a new configuration root and reads it with its parts. \returns
  /// false on failure; a timeout without a change is none.
  asio::awaitable<bool> pollRoot();
  /// Reads the parts that the table lacks. \returns whether all are present.
  asio::awaitable<bool> fetchParts(std::string_view RootText);
  asio::awaitable<void> pause(duration Time);

  asio::io_context &Context;
  const membership_state &Members;
  const versioned_table &Table;
  platform_client &Platform;
  entry_handler OnEntry;
  /// The platform's version of the last root that was read completely.
  std::uint64_t SeenObjectVersion = 0;
  std::mt19937_64 Random;
};

} // namespace coriandertray
