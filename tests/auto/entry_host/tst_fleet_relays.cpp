#include "fleet_fixture.h"

// A fleet that is large enough for relays.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr int HostCount = 8;

asio::awaitable<http_response> respondSuccessfully(http_request Request) {
  co_await pauseFor(milliseconds(5));
  co_return signedResponse(Request);
}

double viewNumber(const entry_host &Host, std::string_view Key) {
  return Host.dump().at("view").as_object().at(Key).to_number<double>();
}

std::string readerOf(const entry_host &Host) {
  return std::string(
      Host.dump().at("view").as_object().at("reader").as_string());
}

std::size_t numberOf(const std::string &Host) {
  return static_cast<std::size_t>(Host.back() - '0');
}

/// \returns the name of the host that most others subscribe to, apart from the
/// reader.
std::size_t relayIn(const fleet_fixture &Fleet) {
  const std::size_t Reader = numberOf(readerOf(*Fleet.Hosts[0]));
  std::size_t Relay = Reader;
  double Most = 0;
  for (std::size_t Number = 0; Number < Fleet.Hosts.size(); ++Number) {
    const double Count = viewNumber(*Fleet.Hosts[Number], "subscribers");
    if (Number == Reader || Count <= Most)
      continue;
    Most = Count;
    Relay = Number;
  }
  return Relay;
}

fleet_fixture makeRelayedFleet() {
  relay_policy Relays;
  Relays.MinHosts = 3;
  Relays.HostsPerRelay = 100;
  return fleet_fixture(HostCount, Relays);
}

} // namespace

TEST_CASE("the reader pushes to the relay only, and the relay to the others") {
  fleet_fixture Fleet = makeRelayedFleet();
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(6));
    const std::size_t Reader = numberOf(readerOf(*Fleet.Hosts[0]));
    const std::size_t Relay = relayIn(Fleet);
    CHECK(Relay != Reader);
    CHECK(viewNumber(*Fleet.Hosts[Reader], "subscribers") <= 1);
    CHECK(viewNumber(*Fleet.Hosts[Relay], "subscribers") >= HostCount - 2);
    for (const auto &Path : Fleet.PlatformConnections)
      Path->BackendReads = 0;
    co_await pauseFor(seconds(2));
    for (std::size_t Number = 0; Number < HostCount; ++Number) {
      CHECK(viewNumber(*Fleet.Hosts[Number], "age_ms") < 1200);
      const int Reads = Fleet.PlatformConnections[Number]->BackendReads;
      CHECK((Number == Reader ? Reads > 2 : Reads == 0));
    }
  });
}

TEST_CASE("changes reach all hosts through the relay, and without it") {
  fleet_fixture Fleet = makeRelayedFleet();
  Fleet.addBackend(respondSuccessfully);
  Fleet.addBackend(respondSuccessfully);
  const auto CheckUnused = [&](std::size_t Server,
                               std::size_t LostHost) -> asio::awaitable<void> {
    Fleet.Backends[Server]->Requests.clear();
    for (int Count = 0; Count < 3 * HostCount; ++Count)
      if (static_cast<std::size_t>(Count % HostCount) != LostHost)
        co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/read/", "r"),
                                      1, Count % HostCount);
    CHECK(Fleet.Backends[Server]->Requests.empty());
  };
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(3));
    Fleet.Platform.Backends[0].Draining = true;
    co_await pauseFor(milliseconds(500));
    co_await CheckUnused(0, HostCount);
    Fleet.Platform.Backends[0].Draining = false;
    co_await pauseFor(milliseconds(500));
    const std::size_t Relay = relayIn(Fleet);
    Fleet.Hosts[Relay]->leave();
    Fleet.Platform.Backends[1].Draining = true;
    co_await pauseFor(seconds(2));
    co_await CheckUnused(1, Relay);
  });
}

TEST_CASE("a configuration reaches all hosts through the relay") {
  fleet_fixture Fleet = makeRelayedFleet();
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(3));
    Fleet.addRoute("new", "/new/", true);
    Fleet.Platform.Config.Version = 5;
    Fleet.Platform.Position.Revision = 5;
    co_await pauseFor(seconds(1));
    for (int Number = 0; Number < HostCount; ++Number) {
      const std::string Response = co_await Fleet.sendAndReceive(
          Fleet.requestText("GET", "/new/x", "r"), 1, Number);
      CHECK(Fleet.statusOf(Response) == 200);
    }
  });
}
