#include "fleet_fixture.h"

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr milliseconds GracePeriod{3000};
// The time limit of the routes, see fleet_fixture.
constexpr milliseconds TimeLimit{1500};

std::string post(const std::string &Id) {
  return fleet_fixture::requestText("POST", "/book/x", Id);
}

std::string get(const std::string &Id) {
  return fleet_fixture::requestText("GET", "/read/x", Id);
}

std::string idOf(const http_request &Request) {
  return findHeader(Request.Headers, TestNames.RequestId).value_or("");
}

/// Responds to r1, r2 and r3 after 100, 200 and 300 ms.
asio::awaitable<http_response> respondInTurn(http_request Request) {
  const std::string Id = idOf(Request);
  co_await pauseFor(milliseconds(100) * (Id.back() - '0'));
  co_return signedResponse(Request, 200, "body of " + Id);
}

/// Makes the first host of \p Fleet leave after \p Delay.
asio::awaitable<void> leaveAfter(fleet_fixture &Fleet, duration Delay) {
  co_await pauseFor(Delay);
  Fleet.Hosts[0]->leave();
}

backend_script respondAfter(milliseconds Work) {
  return [Work](http_request Request) -> asio::awaitable<http_response> {
    co_await pauseFor(Work);
    co_return signedResponse(Request);
  };
}

void setGracePeriod(fleet_fixture &Fleet, duration Period) {
  host_settings Settings;
  Settings.GracePeriod = Period;
  Settings.Retries = {0.2, seconds(10), 60};
  for (const auto &Host : Fleet.Hosts)
    Host->reload(Settings);
}

/// A request on a connection of its own, and when it was sent after the signal.
struct sent_request {
  std::string Id;
  duration SentAfterSignal{0};
  std::string Response;
};

asio::awaitable<void> send(fleet_fixture &Fleet, sent_request &Request) {
  Request.Response = co_await Fleet.sendAndReceive(post(Request.Id));
}

} // namespace

// Guards against: a host that leaves passes on a request that it can't see to
// its end, and cuts its connection when it exits.
TEST_CASE("a leaving host refuses the requests that might outlast it") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAfter(milliseconds(700)));
  std::vector<sent_request> Requests;
  // The host exits within the grace period, which ends the run.
  Fleet.run([&]() -> asio::awaitable<void> {
    setGracePeriod(Fleet, GracePeriod);
    const time_point Signal = Fleet.Clock.now();
    Fleet.Hosts[0]->leave();
    Requests.reserve(GracePeriod / milliseconds(100));
    for (duration At{0}; At < GracePeriod; At += milliseconds(200)) {
      Requests.push_back({"r" + std::to_string(Requests.size()), At, {}});
      asio::co_spawn(Fleet.Context, send(Fleet, Requests.back()),
                     asio::detached);
      co_await pauseFor(Signal + At + milliseconds(200) - Fleet.Clock.now());
    }
  });
  std::size_t Served = 0;
  for (const sent_request &Request : Requests) {
    INFO(Request.Id);
    const bool Arrived = std::ranges::any_of(
        Backend.Requests, [&Request](const http_request &Seen) {
          return idOf(Seen) == Request.Id;
        });
    const unsigned Status = Fleet.statusOf(Request.Response);
    Served += Status == 200 ? 1 : 0;
    CHECK((!Arrived || Status == 200));
    if (Request.SentAfterSignal > GracePeriod - TimeLimit)
      CHECK_FALSE(Arrived);
    if (Status == 503)
      CHECK(Request.Response.find("Retry-After") != std::string::npos);
  }
  CHECK(Served >= 2);
}

// Guards against: a host that did not run when the platform sent the signal
// counts its grace period from the moment at which it handles the signal, and
// passes on requests that the kill at the end of the grace period cuts off.
TEST_CASE("a host that was paused refuses what the end of its grace cuts") {
  const milliseconds Pause = GracePeriod - TimeLimit;
  std::function<void(shifted_clock &)> PauseClock;
  SUBCASE("frozen") {
    PauseClock = [&](shifted_clock &Clock) { Clock.pause(Pause); };
  }
  SUBCASE("suspended") {
    PauseClock = [&](shifted_clock &Clock) { Clock.suspend(Pause); };
  }
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAfter(milliseconds(10)));
  std::string Response;
  Fleet.run([&]() -> asio::awaitable<void> {
    setGracePeriod(Fleet, GracePeriod);
    PauseClock(Fleet.Clock);
    Fleet.Hosts[0]->leave();
    Response = co_await Fleet.sendAndReceive(post("r1"));
  });
  CHECK(Fleet.statusOf(Response) == 503);
  CHECK(Response.find("Retry-After") != std::string::npos);
  CHECK(Backend.Requests.empty());
}

// Guards against: a leaving host that is suspended counts its grace period by a
// clock that stands still meanwhile.
TEST_CASE("a leaving host that was suspended refuses what it can't end") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAfter(milliseconds(10)));
  std::string Response;
  Fleet.run([&]() -> asio::awaitable<void> {
    setGracePeriod(Fleet, GracePeriod);
    Fleet.Hosts[0]->leave();
    co_await pauseFor(milliseconds(50));
    Fleet.Clock.suspend(GracePeriod - TimeLimit);
    co_await pauseFor(milliseconds(300));
    Response = co_await Fleet.sendAndReceive(post("r1"));
  });
  CHECK(Fleet.statusOf(Response) == 503);
  CHECK(Backend.Requests.empty());
}

// Guards against: a request that waits for a slot when the signal arrives is
// cut without a response when the host exits.
TEST_CASE("a leaving host refuses a waiting request that might outlast it") {
  fleet_fixture Fleet;
  route_rule &Route = Fleet.Platform.Config.Routes[1];
  Route.Timeout = seconds(20);
  Route.TargetLatency = seconds(10);
  // Both slots of the server are in use for longer than the host stays.
  scripted_backend &Backend = Fleet.addBackend(respondAfter(seconds(20)));
  std::string Refusal;
  Fleet.run([&]() -> asio::awaitable<void> {
    setGracePeriod(Fleet, GracePeriod);
    std::string LongRequest = post("r");
    LongRequest.replace(LongRequest.find(": 3000"), 6, ": 20000");
    const auto Send = [&]() -> asio::awaitable<void> {
      const std::string Response = co_await Fleet.sendAndReceive(LongRequest);
      if (!Response.empty())
        Refusal = Response;
    };
    for (int Count = 0; Count < 3; ++Count)
      asio::co_spawn(Fleet.Context, Send(), asio::detached);
    while (Backend.Requests.size() < 2)
      co_await pauseFor(milliseconds(5));
    co_await pauseFor(milliseconds(200));
    CHECK(Refusal.empty());
    Fleet.Hosts[0]->leave();
    co_await pauseFor(milliseconds(200));
    CHECK(Fleet.statusOf(Refusal) == 503);
    co_await pauseFor(GracePeriod);
  });
  CHECK(Fleet.statusOf(Refusal) == 503);
  CHECK(Refusal.find("Retry-After") != std::string::npos);
  CHECK(Backend.Requests.size() == 2);
}

// Guards against: a host that leaves closes a connection after one response and
// drops the pipelined requests behind it that it has passed on.
TEST_CASE("a leaving host answers all pipelined requests that it passed on") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondInTurn);
  Fleet.addBackend(respondInTurn);
  std::string Responses;
  Fleet.run([&]() -> asio::awaitable<void> {
    setGracePeriod(Fleet, GracePeriod);
    asio::co_spawn(Fleet.Context, leaveAfter(Fleet, milliseconds(50)),
                   asio::detached);
    Responses =
        co_await Fleet.sendAndReceive(get("r1") + get("r2") + get("r3"), 3);
  });
  CHECK(Backend.Requests.size() + Fleet.Backends[1]->Requests.size() == 3);
  CHECK(Fleet.countResponses(Responses) == 3);
  const std::size_t Last = Responses.find("body of r2");
  REQUIRE(Last != std::string::npos);
  // Only the last response announces that the connection closes.
  CHECK(Responses.find("Connection: close") > Last);
  CHECK(Responses.find("Connection: close") != std::string::npos);
}

// Guards against: a request that is read completely after the last response of
// a leaving host is passed on, though its response can't be sent any more.
TEST_CASE("a leaving host passes on nothing behind its last response") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondInTurn);
  Fleet.run([&]() -> asio::awaitable<void> {
    setGracePeriod(Fleet, GracePeriod);
    const socket_address Address = fleet_fixture::listenAddress(0);
    asio::ip::tcp::socket Socket(Fleet.Context);
    co_await Socket.async_connect(
        {asio::ip::make_address(Address.Ip), Address.Port},
        asio::use_awaitable);
    const std::string Second = get("r2");
    const std::string Begin = get("r1") + Second.substr(0, 20);
    const std::string Rest = Second.substr(20);
    co_await asio::async_write(Socket, asio::buffer(Begin),
                               asio::use_awaitable);
    co_await pauseFor(milliseconds(50));
    Fleet.Hosts[0]->leave();
    // The first response, which is the last one, is written meanwhile.
    co_await pauseFor(milliseconds(200));
    co_await asio::async_write(Socket, asio::buffer(Rest), asio::use_awaitable);
    co_await pauseFor(milliseconds(300));
  });
  REQUIRE(Backend.Requests.size() == 1);
  CHECK(idOf(Backend.Requests.front()) == "r1");
}
