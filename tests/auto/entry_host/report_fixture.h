/// \file
/// Backend servers that state something about themselves, and callers that use
/// all hosts of a fleet.
#pragma once

#include "fleet_fixture.h"

namespace coriandertray::testing {

inline asio::awaitable<http_response>
respondSuccessfully(http_request Request) {
  co_await pauseFor(milliseconds(5));
  co_return signedResponse(Request);
}

inline http_response leavingResponse(const http_request &Request) {
  http_response Response = signedResponse(Request);
  setHeader(Response.Headers, TestNames.Leaving, "1");
  return Response;
}

inline std::string allocatorOf(const entry_host &Host) {
  const json::object Dump = Host.dump();
  const json::object &Pools =
      Dump.at("slots").as_object().at("pools").as_object();
  return Pools.contains("one")
             ? std::string(
                   Pools.at("one").as_object().at("allocator").as_string())
             : std::string();
}

/// Sends \p Count requests one after the other, through all hosts but
/// \p Excluded in turn. \returns how many were answered with 200.
inline asio::awaitable<int> sendRequests(fleet_fixture &Fleet, int Count,
                                         int Excluded = -1) {
  int Answered = 0;
  for (int Number = 0; Number < Count; ++Number) {
    const int Host = Number % static_cast<int>(Fleet.Hosts.size());
    if (Host == Excluded)
      continue;
    const std::string Text = co_await Fleet.sendAndReceive(
        Fleet.requestText("GET", "/read/", "r" + std::to_string(Number)), 1,
        Host);
    Answered += Fleet.statusOf(Text) == 200 ? 1 : 0;
  }
  co_return Answered;
}

} // namespace coriandertray::testing
