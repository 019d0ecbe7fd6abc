#include "fleet_fixture.h"

#include <map>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

// A service of this many servers has one pool; with more it has two.
constexpr std::size_t ServersOfOnePool = 48;

/// A server that is always full.
asio::awaitable<http_response> reject(http_request Request) {
  http_response Response = signedResponse(Request, 503, "full");
  Response.Headers.push_back({TestNames.NotRun, "1"});
  co_return Response;
}

/// The arrivals beyond the first of each request.
std::size_t countRepeats(const fleet_fixture &Fleet) {
  std::map<std::string, std::size_t> Arrivals;
  for (const auto &Backend : Fleet.Backends)
    for (const http_request &Request : Backend->Requests)
      ++Arrivals[findHeader(Request.Headers, TestNames.RequestId).value_or("")];
  std::size_t Repeats = 0;
  for (const auto &[Id, Count] : Arrivals)
    Repeats += Count - 1;
  return Repeats;
}

std::size_t poolCountOf(const entry_host &Host) {
  const json::object Dump = Host.dump();
  std::size_t Count = 0;
  for (const auto &Entry : Dump.at("slots").as_object().at("pools").as_object())
    Count += Entry.value().at("allocator").as_string().empty() ? 0 : 1;
  return Count;
}

} // namespace

// Guards against: each time the number of a service's servers crosses the limit
// of a pool, the allocators are replaced and hand out the whole retry budget
// once more.
TEST_CASE("servers that come and go don't renew the retry budget") {
  constexpr int HostCount = 3;
  constexpr int Rounds = 6;
  constexpr int RequestsPerRound = 30;
  fleet_fixture Fleet(HostCount);
  for (std::size_t Number = 0; Number <= ServersOfOnePool; ++Number)
    Fleet.addBackend(reject);
  const std::vector<backend_registration> All = Fleet.Platform.Backends;
  Fleet.Platform.Backends.pop_back();
  int Sent = 0;
  std::size_t MostPools = 0;
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(2));
    for (int Round = 0; Round < Rounds; ++Round) {
      if (Round > 0 && Round % 2 == 0)
        Fleet.Platform.Backends.pop_back();
      else if (Round > 0)
        Fleet.Platform.Backends = All;
      co_await pauseFor(milliseconds(400));
      for (int Count = 0; Count < RequestsPerRound; ++Count, ++Sent)
        co_await Fleet.sendAndReceive(
            Fleet.requestText("GET", "/read/", "r" + std::to_string(Sent)), 1,
            Sent % HostCount);
      MostPools = std::max(MostPools, poolCountOf(*Fleet.Hosts[0]));
    }
  });
  CHECK(MostPools >= 2);
  const retry_limits Limits = {0.2, seconds(10), 60};
  const auto Repeats = static_cast<double>(countRepeats(Fleet));
  CHECK(Repeats > Limits.Slack / 4);
  CHECK(Repeats <= Limits.Ratio * Sent + Limits.Slack);
}
