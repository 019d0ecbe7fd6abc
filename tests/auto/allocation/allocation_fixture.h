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
  return {Name, "service", {"10.0.0.1", 80}, Zone, Slots, false, {}, 1};
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

} // namespace coriandertray::testing
