#include "report_fixture.h"

using namespace coriandertray;
using namespace coriandertray::testing;

TEST_CASE("a server that states that it leaves gets no new requests from any "
          "host, with the platform away and another allocator") {
  constexpr int HostCount = 3;
  fleet_fixture Fleet(HostCount);
  bool Leaves = false;
  scripted_backend &Leaving = Fleet.addBackend(
      [&](http_request Request) -> asio::awaitable<http_response> {
        co_return Leaves ? leavingResponse(Request) : signedResponse(Request);
      });
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(3));
    Fleet.Platform.Down = true;
    co_await sendRequests(Fleet, 12);
    Leaves = true;
    Leaving.Requests.clear();
    const time_point Limit = Fleet.Clock.now() + seconds(10);
    while (Leaving.Requests.empty() && Fleet.Clock.now() < Limit)
      co_await sendRequests(Fleet, 1);
    CHECK_FALSE(Leaving.Requests.empty());
    Leaving.Requests.clear();
    co_await sendRequests(Fleet, 30);
    CHECK(Leaving.Requests.empty());
    const int Left = allocatorOf(*Fleet.Hosts[0]).back() - '0';
    Fleet.Hosts[static_cast<std::size_t>(Left)]->leave();
    co_await pauseFor(milliseconds(50));
    Leaving.Requests.clear();
    // The hosts that have not seen the statement learn it from the one that
    // has, or see it once themselves.
    co_await sendRequests(Fleet, 30, Left);
    CHECK(Leaving.Requests.size() <= HostCount - 1);
    Leaving.Requests.clear();
    co_await sendRequests(Fleet, 30, Left);
    CHECK(Leaving.Requests.empty());
  });
}
