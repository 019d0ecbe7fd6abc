/// \file
/// The state of the platform stand-in: versioned objects, the host list, its
/// faults, and counts of calls.
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
  std::uint64_t Version = 0;
  std::string Value;
  bool operator==(const stored_object &) const = default;
};

/// The faults that can be switched on; see docs/STAND-INS.md.
struct platform_faults {
  bool Down = false;
  milliseconds Slow{0};
  bool LoseAnswers = false;
  bool StallWatches = false;
  milliseconds HostListLag{0};
  std::set<std::string, std::less<>> CutClients;
  /// Their calls take effect; their answers do not arrive.
  std::set<std::string, std::less<>> MuteClients;
  bool operator==(const platform_faults &) const = default;
};

/// Reads faults; fields that are absent are off.
[[nodiscard]] platform_faults readFaults(const json::object &Object);

/// Plain state with one writer. Not thread-safe.
class object_store {
public:
  [[nodiscard]] std::optional<stored_object> find(std::string_view Key) const;

  /// Fails with VersionConflict or ValueTooLarge.
  result<std::uint64_t> put(const std::string &Key, std::string Value,
                            std::uint64_t ExpectedVersion);

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
