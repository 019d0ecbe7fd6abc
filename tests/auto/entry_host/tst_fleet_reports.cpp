#include "report_fixture.h"

// What backend servers state about themselves is kept by all hosts, whichever
// host allocates and whether or not the platform is available.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

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

} // namespace

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
