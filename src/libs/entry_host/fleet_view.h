/// \file
/// This host's view of the fleet as stored on the platform: the configuration,
/// the backend servers and the other hosts.
///
/// One host, the reader, reads the platform for all hosts and pushes changes to
/// them, in a large fleet by way of relays. Every host tracks the age of its
/// view. If the view grows too old, the host subscribes to the reader itself
/// and to the next hosts in the rank order of the reader duty, the backup
/// readers, and finally reads the platform itself.
#pragma once

#include "entry_host/peer_network.h"
#include "entry_host/platform_port.h"

#include "discovery/backend_directory.h"
#include "discovery/backend_list_history.h"
#include "discovery/member_directory.h"
#include "routing/routing_config.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coriandertray {

struct fleet_view_handlers {
  std::function<void(const routing_config &)> OnConfig;
  std::function<void(const std::vector<backend_registration> &)> OnBackends;
};

/// All members run on the thread of the io_context.
class fleet_view {
public:
  fleet_view(asio::io_context &Context, const clock_source &Clock,
             platform_port &Platform, peer_network &Peers, fleet_member Self,
             fleet_view_handlers Handlers);

  /// Starts reading the platform and keeps the view current from then on.
  void start();

  /// Handles a message about the view. \returns false if \p Message is not one.
  bool receive(const link_pointer &Link, const envelope &Message);

  /// \returns whether a configuration is known, was recently confirmed to be
  /// the newest one, and no other host has announced a newer one since.
  [[nodiscard]] bool configIsCurrent() const;

  /// \returns whether a configuration and a list of backend servers are known.
  [[nodiscard]] bool isComplete() const {
    return Config.has_value() && Directory.ReadAt.has_value();
  }

  [[nodiscard]] json::object dump() const;

private:
  struct subscriber {
    std::weak_ptr<frame_link> Link;
    time_point LastHeardAt;
    /// Versions of the lists that the subscriber holds.
    std::uint64_t BackendsVersion = 0;
    std::uint64_t MembersVersion = 0;
  };

  asio::awaitable<void> readFirstConfig();
  asio::awaitable<void> join();
  asio::awaitable<void> tickLoop();
  void tick();
  asio::awaitable<void> watchConfigLoop();
  asio::awaitable<void> watchBackendsLoop();
  asio::awaitable<bool> readBackends();
  asio::awaitable<void> readMembers(bool AllowStale);
  asio::awaitable<bool> readConfig();
  asio::awaitable<void> fetchConfigFrom(std::string Host);
  asio::awaitable<void> removeUnresponsiveMembers();
  void subscribe();
  [[nodiscard]] std::string relayOrReader() const;
  void receiveSubscription(const link_pointer &Link,
                           const wire::view_subscribe_value &Value);
  [[nodiscard]] wire::view_subscribe_value makeSubscription() const;
  [[nodiscard]] bool isReader() const;
  [[nodiscard]] bool isStale() const;
  /// \returns the version of the configuration in force, or zero.
  [[nodiscard]] std::uint64_t configVersion() const {
    return Config ? Config->Version : 0;
  }
  [[nodiscard]] bool heardRecently(const std::string &Host) const;
  [[nodiscard]] bool mayReadPlatform() const;
  [[nodiscard]] bool readsForOthers() const;
  [[nodiscard]] duration directReadAge() const;
  [[nodiscard]] std::string readerHost() const;
  void push(subscriber &To);
  void pushAll();
  void applyPlatformConfig(const config_document &Read, time_point ReadAt);
  void applyConfig(const config_document &Next);
  void confirmConfig(time_point At);
  void maintainMembers();
  void applyMembers(std::vector<fleet_member> Listed);
  void updatePeers();
  void publishBackends();
  void recordPlatformResult(const std::optional<error> &Failure);
  void receivePush(const link_pointer &Link, const wire::view_push_value &Push);
  void receiveBackends(const wire::view_push_value &Push);
  void receiveMembers(const wire::view_push_value &Push);
  void receiveConfigAge(const link_pointer &Link,
                        const wire::view_push_value &Push);
  [[nodiscard]] duration subscribeInterval() const;
  [[nodiscard]] duration readInterval() const;
  [[nodiscard]] duration tickInterval() const;
  [[nodiscard]] duration backendsPushInterval() const;
  [[nodiscard]] duration directoryAge() const;
  [[nodiscard]] duration configAge() const;
  [[nodiscard]] duration membersAge() const;
  [[nodiscard]] duration age() const;

  asio::io_context &Context;
  const clock_source &Clock;
  platform_port &Platform;
  peer_network &Peers;
  fleet_member Self;
  fleet_view_handlers Handlers;
  backend_directory Directory;
  backend_list_history BackendLists;
  member_directory Members;
  std::uint64_t MembersVersion = 0;
  std::optional<routing_config> Config;
  std::optional<config_document> Document;
  /// When the current configuration was last known to be the newest one.
  std::optional<time_point> ConfigConfirmedAt;
  std::map<std::string, subscriber> Subscribers;
  /// When a host last subscribed here or at a host that subscribed here.
  std::map<std::string, time_point> HeardAt;
  std::map<std::string, time_point> UnheardSince;
  /// The newest document read from the platform, even if it was rejected.
  history_position SeenPosition;
  /// The highest version that another host has announced.
  std::uint64_t AnnouncedVersion = 0;
  time_point ReaderSince;
  time_point StartedAt;
  time_point MembersRequestedAt;
  time_point SubscribedAt;
  /// Until then this host reads the platform as a backup reader.
  time_point BackupReaderUntil;
  std::size_t BackupReadersAsked = 0;
  std::optional<time_point> MembersReadAt;
  bool PlatformAvailable = true;
  /// Whether this host was cut off from the other hosts as well when it last
  /// failed to read the backend servers.
  bool WasCutOff = false;
  bool ReadingConfig = false;
  bool FetchingConfig = false;
  bool ConfigIsMissing = false;
  bool Registered = false;
  bool Joining = false;
  /// Whether the first attempt to register this host has finished.
  bool FirstJoinFinished = false;
};

} // namespace coriandertray
