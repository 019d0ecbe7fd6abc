/// \file
/// Watching the platform for a new configuration and for leaving hosts. Only a
/// few hosts of each availability zone do it; the others hear from them.
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

/// The table key of the names that the platform lists as leaving.
inline constexpr std::string_view LeavingHostsKey = "hosts/leaving";

/// All members run on the thread of the io_context.
class config_watcher {
public:
  /// Called with each entry read from the platform.
  using entry_handler = std::function<void(const versioned_entry &)>;

  config_watcher(asio::io_context &Context, const membership_state &Members,
                 const versioned_table &Table, platform_client &Platform,
                 entry_handler OnEntry);

  /// Watches the configuration while it is this host's turn; never ends.
  asio::awaitable<void> watchConfig();

  /// Reads the host list while it is this host's turn; never ends.
  asio::awaitable<void> watchHosts();

  /// \returns whether this host watches for its availability zone.
  [[nodiscard]] bool isWatcher() const;

private:
  asio::awaitable<bool> pollRoot();
  asio::awaitable<bool> fetchParts(std::string_view RootText);
  asio::awaitable<void> pause(duration Time);

  asio::io_context &Context;
  const membership_state &Members;
  const versioned_table &Table;
  platform_client &Platform;
  entry_handler OnEntry;
  std::uint64_t SeenObjectVersion = 0;
  std::mt19937_64 Random;
};

} // namespace coriandertray
