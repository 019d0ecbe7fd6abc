#include "raw_fleet.h"

#include <functional>
#include <string>

// The status codes 408, 421, 429 and 503 promise the caller that its request
// was not run. Whatever happens at the host, a request that a server may have
// run never gets one.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

std::string post(const std::string &Id) {
  return fleet_fixture::requestText("POST", "/book/x", Id);
}

std::string idOf(const http_request &Request) {
  return findHeader(Request.Headers, TestNames.RequestId).value_or("");
}

http_response refusalOf(const http_request &Request) {
  http_response Response = signedResponse(Request, 503);
  removeHeader(Response.Headers, TestNames.Signature);
  setHeader(Response.Headers, TestNames.NotRun, "1");
  return Response;
}

constexpr milliseconds TimeLimit{3000};
// No server answers before the deadline of a request then.
constexpr milliseconds BeyondDeadline{4000};
// A leaving host refuses a request that may last longer, unless it may run.
constexpr milliseconds GracePeriod{2500};
// Long enough for the host to act on an event.
constexpr milliseconds Work{500};

/// Two servers, of which the first that gets a request refuses it and the
/// second runs it. \returns the response to one request that may not be
/// repeated, if \p Event happens while the second server works for
/// \p WorkTime.
std::string
respondDuringSecondAttempt(duration WorkTime,
                           const std::function<void(fleet_fixture &)> &Event) {
  fleet_fixture Fleet;
  for (route_rule &Route : Fleet.Platform.Config.Routes)
    Route.Timeout = TimeLimit;
  int Arrivals = 0;
  const backend_script Script =
      [&](http_request Request) -> asio::awaitable<http_response> {
    if (++Arrivals == 1)
      co_return refusalOf(Request);
    Event(Fleet);
    co_await pauseFor(WorkTime);
    co_return signedResponse(Request);
  };
  Fleet.addBackend(Script);
  Fleet.addBackend(Script);
  std::string Response;
  Fleet.run([&]() -> asio::awaitable<void> {
    Response = co_await Fleet.sendAndReceive(post("r1"));
  });
  CHECK(Arrivals == 2);
  return Response;
}

} // namespace

TEST_CASE("a request that times out after a refusal and a second sending gets "
          "no refusal") {
  const std::string Response =
      respondDuringSecondAttempt(BeyondDeadline, [](fleet_fixture &) {});
  CHECK(fleet_fixture::statusOf(Response) == 504);
}

TEST_CASE("a host that leaves sees a second sending to its end") {
  const std::string Response =
      respondDuringSecondAttempt(Work, [](fleet_fixture &Fleet) {
        host_settings Settings;
        Settings.GracePeriod = GracePeriod;
        Fleet.Hosts[0]->reload(Settings);
        Fleet.Hosts[0]->leave();
      });
  CHECK(fleet_fixture::statusOf(Response) == 200);
}

TEST_CASE("a request whose route and server are removed during its second "
          "sending is answered") {
  const std::string Response =
      respondDuringSecondAttempt(Work, [](fleet_fixture &Fleet) {
        Fleet.Platform.Config.Routes.pop_back();
        ++Fleet.Platform.Config.Version;
        ++Fleet.Platform.Position.Revision;
        Fleet.Platform.Backends.clear();
      });
  CHECK(fleet_fixture::statusOf(Response) == 200);
}

// Guards against: the status of one pipelined request is given to another.
TEST_CASE("pipelined requests of which one is refused get their own statuses") {
  fleet_fixture Fleet;
  const backend_script Script =
      [](http_request Request) -> asio::awaitable<http_response> {
    if (idOf(Request) == "r2")
      co_return refusalOf(Request);
    co_await pauseFor(milliseconds(idOf(Request) == "r1" ? 150 : 1));
    co_return signedResponse(Request, 200, "body of " + idOf(Request));
  };
  Fleet.addBackend(Script);
  Fleet.addBackend(Script);
  std::string Responses;
  Fleet.run([&]() -> asio::awaitable<void> {
    Responses =
        co_await Fleet.sendAndReceive(post("r1") + post("r2") + post("r3"), 3);
  });
  REQUIRE(fleet_fixture::countResponses(Responses) == 3);
  std::size_t At = 0;
  for (const std::string Part :
       {"HTTP/1.1 200", "Test-Request-Id: r1", "HTTP/1.1 503",
        "Test-Request-Id: r2", "HTTP/1.1 200", "Test-Request-Id: r3"}) {
    CAPTURE(Part);
    At = Responses.find(Part, At);
    REQUIRE(At != std::string::npos);
  }
}

TEST_CASE("a 421 without the id of the request proves nothing") {
  for (const std::string Id : {"", "other"}) {
    CAPTURE(Id);
    raw_fleet Fleet([&Id](const raw_request &) -> raw_reply {
      return {refusal(Id, 421), after_reply::Close};
    });
    CHECK(fleet_fixture::statusOf(Fleet.book(1).front()) == 502);
    CHECK(Fleet.Arrivals == std::map<std::string, int>{{"r0", 1}});
  }
}

TEST_CASE("a copied refusal on an idle connection is not taken for an answer") {
  raw_fleet Fleet(
      [](const raw_request &Request) -> raw_reply {
        const std::string Id = testing::idOf(Request);
        return {Request.Number == 0 && Request.Connection == 0
                    ? refusal(Id, 421) + refusal(Id, 421)
                    : success(Id)};
      },
      {{"before", "now"}});
  CHECK(fleet_fixture::statusOf(Fleet.book(1).front()) == 200);
  CHECK(Fleet.Arrivals == std::map<std::string, int>{{"r0", 2}});
}
