/// \file
/// The state of the fake platform: versioned objects, the host list and call
/// counts; and the faults that can be injected.
#pragma once

#include "utils/clock.h"
#include "utils/error.h"
#include "utils/json.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace coriandertray {

struct stored_object {
  /// Grows by one with each write.
  std::uint64_t Version = 0;
  std::string Value;
  bool operator==(const stored_object &) const = default;
};

/// The faults that can be injected; see docs/STAND-INS.md.
struct platform_faults {
  /// All calls are refused.
  bool Down = false;
  /// The delay of each call.
  milliseconds Slow{0};
  /// Writes take effect, but their responses are not sent.
  bool LoseAnswers = false;
  /// Watches don't report changes.
  bool StallWatches = false;
  /// How old the host list is that callers get.
  milliseconds HostListLag{0};
  /// Clients, by name, whose calls are refused.
  std::set<std::string, std::less<>> CutClients;
  /// Clients, by name, whose calls take effect but get no response.
  std::set<std::string, std::less<>> MuteClients;
  bool operator==(const platform_faults &) const = default;
};

/// Reads faults from \p Object; absent fields keep their defaults.
[[nodiscard]] platform_faults readFaults(const json::object &Object);

/// In-memory state of the fake platform. Not thread-safe.
class object_store {
public:
  [[nodiscard]] std::optional<stored_object> find(std::string_view Key) const;

  /// Writes \p Value if the object has \p ExpectedVersion, 0 meaning that there
  /// is none. \returns the new version. Fails with VersionConflict or
  /// ValueTooLarge.
  result<std::uint64_t> put(const std::string &Key, std::string Value,
                            std::uint64_t ExpectedVersion);

  /// \returns the keys that start with \p Prefix.
  [[nodiscard]] json::array list(std::string_view Prefix) const;

  void setHosts(json::array Hosts, time_point Now);
  /// \returns the host list as it was \p Lag before \p Now, and its version.
  [[nodiscard]] std::pair<json::array, std::uint64_t>
  hostsAt(time_point Now, duration Lag) const;

  void countCall(const std::string &Kind) { ++Calls[Kind]; }
  [[nodiscard]] json::object callCounts() const;

private:
  struct host_list_snapshot {
    time_point RecordedAt;
    json::array Hosts;
  };

  std::map<std::string, stored_object, std::less<>> Objects;
  std::deque<host_list_snapshot> HostLists;
  std::map<std::string, std::uint64_t> Calls;
};

} // namespace coriandertray
