#include "fleet_fixture.h"

#include <set>

// What backend servers state about themselves is kept by all hosts, whichever
// host allocates and whether or not the platform is available.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

asio::awaitable<http_response> respondSuccessfully(http_request Request) {
  co_await pauseFor(milliseconds(5));
  co_return signedResponse(Request);
}

http_response leavingResponse(const http_request &Request) {
  http_response Response = signedResponse(Request);
  setHeader(Response.Headers, TestNames.Leaving, "1");
  return Response;
}

http_response notNowResponse(const http_request &Request,
                             const std::string &RetryAfter) {
  http_response Response;
  Response.Status = 503;
  Response.Headers = {
      {TestNames.RequestId,
       findHeader(Request.Headers, TestNames.RequestId).value_or("")},
      {TestNames.NotRun, "1"},
      {"Retry-After", RetryAfter}};
  return Response;
}

std::string allocatorOf(const entry_host &Host) {
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
asio::awaitable<int> sendRequests(fleet_fixture &Fleet, int Count,
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

} // namespace

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
    for (int Round = 0; Round < 20 && Leaving.Requests.empty(); ++Round)
      co_await sendRequests(Fleet, HostCount);
    Leaving.Requests.clear();
    while (Leaving.Requests.empty())
      co_await sendRequests(Fleet, 1);
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

TEST_CASE("a server that started again under its name gets requests again") {
  fleet_fixture Fleet(1);
  bool Leaves = true;
  scripted_backend &Server = Fleet.addBackend(
      [&](http_request Request) -> asio::awaitable<http_response> {
        co_return Leaves ? leavingResponse(Request) : signedResponse(Request);
      });
  Fleet.run([&]() -> asio::awaitable<void> {
    CHECK(co_await sendRequests(Fleet, 1) == 1);
    CHECK(co_await sendRequests(Fleet, 3) == 0);
    CHECK(Server.Requests.size() == 1);
    Leaves = false;
    Fleet.Platform.Backends[0].StartedAtUnixMs += 1;
    co_await pauseFor(seconds(1));
    CHECK(co_await sendRequests(Fleet, 3) == 3);
  });
}

TEST_CASE("a server that answers 503 with Retry-After gets nothing from that "
          "host until the time ends") {
  fleet_fixture Fleet(1);
  time_point RefusedAt;
  scripted_backend &Busy = Fleet.addBackend(
      [&](http_request Request) -> asio::awaitable<http_response> {
        if (RefusedAt != time_point())
          co_return signedResponse(Request);
        RefusedAt = Fleet.Clock.now();
        co_return notNowResponse(Request, "3.5");
      });
  Fleet.run([&]() -> asio::awaitable<void> {
    while (RefusedAt == time_point())
      co_await sendRequests(Fleet, 1);
    Busy.Requests.clear();
    const time_point End = RefusedAt + milliseconds(3500);
    while (Fleet.Clock.now() < End - milliseconds(1800)) {
      CHECK(co_await sendRequests(Fleet, 1) == 0);
      co_await pauseFor(milliseconds(10));
    }
    CHECK(Busy.Requests.empty());
    co_await pauseFor(End - Fleet.Clock.now());
    CHECK(co_await sendRequests(Fleet, 1) == 1);
  });
}

TEST_CASE("a caller is refused at once, with the time to come back, when all "
          "servers want nothing from the host") {
  fleet_fixture Fleet(1);
  scripted_backend &Busy = Fleet.addBackend(
      [&](http_request Request) -> asio::awaitable<http_response> {
        co_return notNowResponse(Request, "5");
      });
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await sendRequests(Fleet, 1);
    CHECK(Busy.Requests.size() == 1);
    const time_point Before = Fleet.Clock.now();
    const std::string Text = co_await Fleet.sendAndReceive(
        Fleet.requestText("POST", "/book/", "late"));
    CHECK(Fleet.statusOf(Text) == 503);
    CHECK(Fleet.Clock.now() - Before < milliseconds(500));
    const std::size_t At = Text.find("Retry-After: ");
    REQUIRE(At != std::string::npos);
    constexpr std::size_t NameLength = 13;
    const double RetryAfter = std::stod(Text.substr(At + NameLength));
    CHECK(RetryAfter > 4);
    CHECK(RetryAfter <= 5);
    CHECK(Busy.Requests.size() == 1);
  });
}
