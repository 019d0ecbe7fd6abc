#include "fleet_fixture.h"

#include "entry_host/slot_wire.h"
#include "wire/frame_link.h"

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

asio::awaitable<http_response> respondSuccessfully(http_request Request) {
  co_await pauseFor(milliseconds(5));
  co_return signedResponse(Request);
}

std::int64_t numberAt(const json::object &Dump, std::string_view Part,
                      std::string_view Key) {
  return Dump.at(Part).as_object().at(Key).to_number<std::int64_t>();
}

std::size_t readerOf(const entry_host &Host) {
  const json::object Dump = Host.dump();
  const json::string &Name =
      Dump.at("view").as_object().at("reader").as_string();
  return static_cast<std::size_t>(Name.back() - '0');
}

std::string allocatorOf(const entry_host &Host) {
  const json::object Dump = Host.dump();
  const json::object &Pools =
      Dump.at("slots").as_object().at("pools").as_object();
  if (!Pools.contains("one"))
    return {};
  return std::string(Pools.at("one").as_object().at("allocator").as_string());
}

} // namespace

TEST_CASE("hosts discover each other and use the same allocator") {
  constexpr int HostCount = 4;
  fleet_fixture Fleet(HostCount);
  Fleet.addBackend(respondSuccessfully);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(3));
    std::set<std::string> Allocators;
    for (int Number = 0; Number < HostCount; ++Number) {
      CHECK(numberAt(Fleet.Hosts[static_cast<std::size_t>(Number)]->dump(),
                     "view", "members") == HostCount);
      const std::string Response = co_await Fleet.sendAndReceive(
          Fleet.requestText("GET", "/read/", "r" + std::to_string(Number)), 1,
          Number);
      CHECK(Fleet.statusOf(Response) == 200);
      Allocators.insert(
          allocatorOf(*Fleet.Hosts[static_cast<std::size_t>(Number)]));
    }
    CHECK(Allocators.size() == 1);
  });
}

TEST_CASE("a host that loses its allocator still serves requests") {
  constexpr int HostCount = 3;
  fleet_fixture Fleet(HostCount);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(3));
    co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/read/", "r0"));
    const std::string Allocator = allocatorOf(*Fleet.Hosts[0]);
    const int Lost = Allocator.back() - '0';
    const int Kept = (Lost + 1) % HostCount;
    Fleet.Hosts[static_cast<std::size_t>(Lost)]->leave();
    co_await pauseFor(milliseconds(20));
    const std::string Response = co_await Fleet.sendAndReceive(
        Fleet.requestText("POST", "/book/", "r1"), 1, Kept);
    CHECK(Fleet.statusOf(Response) == 200);
    CHECK(allocatorOf(*Fleet.Hosts[static_cast<std::size_t>(Kept)]) !=
          Allocator);
  });
}

TEST_CASE("a newer configuration reaches all hosts, an older one is rejected") {
  fleet_fixture Fleet(2);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(2));
    Fleet.addRoute("new", "/new/", true);
    Fleet.Platform.Config.Version = 5;
    Fleet.Platform.Position.Revision = 5;
    co_await pauseFor(seconds(2));
    for (int Number = 0; Number < 2; ++Number) {
      const std::string Response = co_await Fleet.sendAndReceive(
          Fleet.requestText("GET", "/new/x", "r"), 1, Number);
      CHECK(Fleet.statusOf(Response) == 200);
    }
    Fleet.Platform.Config.Version = 3;
    Fleet.Platform.Position.Revision = 6;
    Fleet.Platform.Config.Routes.pop_back();
    co_await pauseFor(seconds(2));
    const std::string Response =
        co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/new/x", "r"));
    CHECK(Fleet.statusOf(Response) == 200);
  });
}

TEST_CASE(
    "without the platform hosts keep serving and report no route as unknown") {
  fleet_fixture Fleet(1);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(1));
    Fleet.Platform.Down = true;
    co_await pauseFor(seconds(4));
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(
              Fleet.requestText("GET", "/read/", "r1"))) == 200);
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(
              Fleet.requestText("GET", "/none/", "r2"))) == 503);
  });
}

TEST_CASE("a draining server gets no new requests") {
  fleet_fixture Fleet(1);
  Fleet.addBackend(respondSuccessfully);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    Fleet.Platform.Backends[0].Draining = true;
    co_await pauseFor(seconds(1));
    Fleet.Backends[0]->Requests.clear();
    for (int Count = 0; Count < 10; ++Count)
      co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/read/", "r"));
    CHECK(Fleet.Backends[0]->Requests.empty());
    CHECK(Fleet.Backends[1]->Requests.size() >= 10);
  });
}

TEST_CASE("only the reader reads the platform") {
  constexpr int HostCount = 4;
  fleet_fixture Fleet(HostCount);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(1));
    const std::size_t Reader = readerOf(*Fleet.Hosts[0]);
    for (const auto &Path : Fleet.PlatformConnections)
      Path->BackendReads = 0;
    co_await pauseFor(seconds(2));
    for (std::size_t Number = 0; Number < HostCount; ++Number) {
      CHECK(readerOf(*Fleet.Hosts[Number]) == Reader);
      const int Reads = Fleet.PlatformConnections[Number]->BackendReads;
      CHECK((Number == Reader ? Reads > 2 : Reads == 0));
    }
  });
}

TEST_CASE("a draining server is noticed in time while the reader is cut off") {
  // The reader loses its connection to the platform at the moment at which a
  // backend server starts draining, so the other hosts get no push about it.
  constexpr int HostCount = 4;
  fleet_fixture Fleet(HostCount);
  Fleet.addBackend(respondSuccessfully);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(1));
    Fleet.PlatformConnections[readerOf(*Fleet.Hosts[0])]->Disconnected = true;
    Fleet.Platform.Backends[0].Draining = true;
    // Requests may still reach the draining server for two seconds.
    co_await pauseFor(seconds(2));
    Fleet.Backends[0]->Requests.clear();
    for (int Count = 0; Count < 3 * HostCount; ++Count)
      co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/read/", "r"), 1,
                                    Count % HostCount);
    CHECK(Fleet.Backends[0]->Requests.empty());
    CHECK(Fleet.Backends[1]->Requests.size() >= 3 * HostCount);
  });
}

// Guards against: the host that takes over from the reader keeps a server whose
// entry was removed meanwhile, and makes the other hosts keep it too.
TEST_CASE("a server whose entry is removed gets no new requests in time while "
          "the reader is cut off") {
  constexpr int HostCount = 4;
  fleet_fixture Fleet(HostCount);
  Fleet.addBackend(respondSuccessfully);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    // The list doesn't change in this time.
    co_await pauseFor(seconds(4));
    const std::size_t Reader = readerOf(*Fleet.Hosts[0]);
    Fleet.PlatformConnections[Reader]->Disconnected = true;
    Fleet.Platform.Backends.erase(Fleet.Platform.Backends.begin());
    // Requests may still reach the server for two seconds.
    co_await pauseFor(seconds(2));
    Fleet.Backends[0]->Requests.clear();
    for (int Count = 0; Count < 3 * HostCount; ++Count)
      co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/read/", "r"), 1,
                                    Count % HostCount);
    CHECK(Fleet.Backends[0]->Requests.empty());
    CHECK(Fleet.Backends[1]->Requests.size() >= 3 * HostCount);
  });
}

namespace {

/// Cuts the only host of \p Fleet off from the platform, removes the entry of a
/// server meanwhile, and \returns the requests that this server gets from the
/// first read after the cut on.
std::size_t requestsToRemovedServer(fleet_fixture &Fleet) {
  Fleet.addBackend(respondSuccessfully);
  Fleet.addBackend(respondSuccessfully);
  std::size_t Requests = 0;
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(1));
    Fleet.PlatformConnections[0]->Disconnected = true;
    Fleet.Platform.Backends.erase(Fleet.Platform.Backends.begin());
    co_await pauseFor(seconds(4));
    Fleet.PlatformConnections[0]->Disconnected = false;
    // Longer than the interval at which the platform is tried.
    co_await pauseFor(milliseconds(1700));
    Fleet.Backends[0]->Requests.clear();
    for (int Count = 0; Count < 6; ++Count)
      co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/read/", "r"));
    Requests = Fleet.Backends[0]->Requests.size();
  });
  return Requests;
}

} // namespace

// Guards against: a host that was cut off from everything takes this for an
// outage of the platform, and keeps servers that left meanwhile.
TEST_CASE("a host that was cut off from the fleet too drops removed servers") {
  fleet_fixture Fleet;
  // None of them can be linked.
  for (const char *Name : {"a", "b", "c", "d"})
    Fleet.Platform.Members.push_back({Name, "a", {"127.97.9.9", 18'999}, 1000});
  CHECK(requestsToRemovedServer(Fleet) == 0);
}

TEST_CASE("after an outage of the platform servers may register again") {
  fleet_fixture Fleet;
  CHECK(requestsToRemovedServer(Fleet) > 0);
}

// Guards against: a host that holds no list of servers yet ends by a fault when
// a host that holds one subscribes to it.
TEST_CASE("a host without a list of servers can be subscribed to") {
  fleet_fixture Fleet;
  Fleet.run([&]() -> asio::awaitable<void> {
    const socket_address Peers = {fleet_fixture::listenAddress(0).Ip, 18'202};
    const result<link_pointer> Link =
        co_await connectLink(Fleet.Context, Peers, seconds(1));
    REQUIRE(Link);
    bool HasList = true;
    (*Link)->start([&HasList](const link_pointer &, envelope Message) {
      if (const auto *Push = Message.body.Asview_push())
        HasList = Push->has_backends;
    });
    wire::view_subscribe_value Subscription;
    Subscription.host = "subscriber";
    Subscription.backends_version = 7;
    envelope Message;
    Message.body = makeBody(Subscription);
    (*Link)->send(Message);
    co_await pauseFor(milliseconds(300));
    CHECK_FALSE(HasList);
    (*Link)->close();
  });
}

TEST_CASE("changed settings apply without a restart") {
  fleet_fixture Fleet(1);
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    host_settings Changed;
    Changed.Retries = {0.5, seconds(10), 7};
    Fleet.Hosts[0]->reload(Changed);
    CHECK(numberAt(Fleet.Hosts[0]->dump(), "slots", "retry_slack") == 7);
    co_return;
  });
}

TEST_CASE("all hosts together keep to a server's rate limit, also when its "
          "allocator leaves") {
  constexpr int HostCount = 4;
  constexpr double RequestsPerSecond = 2;
  fleet_fixture Fleet(HostCount);
  std::vector<time_point> Arrivals;
  Fleet.addBackend([&](http_request Request) -> asio::awaitable<http_response> {
    Arrivals.push_back(Fleet.Clock.now());
    http_response Response = signedResponse(Request);
    setHeader(Response.Headers, TestNames.RateLimit,
              std::to_string(RequestsPerSecond));
    co_return Response;
  });
  host_settings LongGrace;
  LongGrace.GracePeriod = seconds(10);
  int Left = HostCount;
  const auto SendLoad = [&](duration Length) -> asio::awaitable<void> {
    const time_point End = Fleet.Clock.now() + Length;
    for (int Count = 0; Fleet.Clock.now() < End; ++Count) {
      const int Number = Count % HostCount;
      if (Number != Left)
        asio::co_spawn(
            Fleet.Context,
            [&Fleet, Count, Number]() -> asio::awaitable<void> {
              (void)co_await Fleet.sendAndReceive(
                  Fleet.requestText("GET", "/read/",
                                    "r" + std::to_string(Count)),
                  1, Number);
            },
            asio::detached);
      co_await pauseFor(milliseconds(15));
    }
  };
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(3));
    co_await SendLoad(seconds(3));
    Left = allocatorOf(*Fleet.Hosts[0]).back() - '0';
    Fleet.Hosts[static_cast<std::size_t>(Left)]->reload(LongGrace);
    Fleet.Hosts[static_cast<std::size_t>(Left)]->leave();
    co_await SendLoad(milliseconds(2500));
  });
  REQUIRE_FALSE(Arrivals.empty());
  constexpr double Seconds = 4.5;
  const auto CountedFrom =
      std::ranges::upper_bound(Arrivals, Arrivals.front() + seconds(1));
  const auto Counted = static_cast<double>(Arrivals.end() - CountedFrom);
  CHECK(Counted <= 1.5 * Seconds * RequestsPerSecond + 5);
  CHECK(Counted >= Seconds * RequestsPerSecond - 2);
}
