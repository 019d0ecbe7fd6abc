/// \file
/// Makes servers and requests for the tests of slot allocation.
#pragma once

#include "allocation/slot_allocator.h"

#include <string>
#include <vector>

namespace coriandertray::testing {

inline backend_registration makeServer(const std::string &Name,
                                       std::uint32_t Slots = 3,
                                       const std::string &Zone = "a") {
  constexpr std::uint64_t StartedAtUnixMs = 1;
  return {Name,  "service", {"10.0.0.1", 80}, Zone, Slots,
          false, {},        StartedAtUnixMs};
}

inline std::vector<backend_registration> makeServers(int Count,
                                                     int FirstNumber = 0) {
  std::vector<backend_registration> Servers;
  for (int Number = FirstNumber; Number < FirstNumber + Count; ++Number)
    Servers.push_back(makeServer("server-" + std::to_string(Number)));
  return Servers;
}

/// Makes a request with a target of one second and a deadline of two seconds
/// after \p Now.
inline slot_request makeRequest(std::uint64_t Id, time_point Now,
                                bool Idempotent = false) {
  slot_request Request;
  Request.Key = {"host", Id};
  Request.Zone = "a";
  Request.Idempotent = Idempotent;
  Request.RequestedAt = Now;
  Request.Target = Now + seconds(1);
  Request.Deadline = Now + seconds(2);
  return Request;
}

/// Makes a report that says nothing but the rate limit of a server of
/// makeServer().
inline known_backend_report knownLimit(const std::string &Backend,
                                       rate_limit Limit,
                                       time_point ReportedAt) {
  known_backend_report Known;
  Known.Backend = Backend;
  Known.StartedAtUnixMs = makeServer(Backend).StartedAtUnixMs;
  Known.Limit = Limit;
  Known.LimitReportedAt = ReportedAt;
  return Known;
}

} // namespace coriandertray::testing
