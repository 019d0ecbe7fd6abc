#include "raw_fleet.h"

#include <set>

// What callers get when a server sends bytes that belong to no request, or ends
// in the middle of a response.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

/// Refuses the first request on each connection, and answers the later ones
/// with that refusal once more, as \p Repeat makes it from the ids of both.
raw_server::script repeatRefusal(
    std::function<std::string(const std::string &, const std::string &)>
        Repeat) {
  auto FirstIds = std::make_shared<std::map<std::string, std::string>>();
  return [=](const raw_request &Request) -> raw_reply {
    const std::string Key = headerIn(Request.Head, TestNames.TargetBackend) +
                            std::to_string(Request.Connection);
    const std::string Id = idOf(Request);
    if (Request.Number > 0)
      return {Repeat((*FirstIds)[Key], Id)};
    (*FirstIds)[Key] = Id;
    return {refusal(Id)};
  };
}

} // namespace

TEST_CASE("a refusal that names another request or none proves nothing") {
  const std::vector<
      std::function<std::string(const std::string &, const std::string &)>>
      Repeats = {
          [](const std::string &First, const std::string &) {
            return refusal(First);
          },
          [](const std::string &, const std::string &) { return refusal(""); },
      };
  for (const auto &Repeat : Repeats) {
    std::set<std::string> TakenOver;
    const raw_server::script Refusing = repeatRefusal(Repeat);
    raw_fleet Fleet([&](const raw_request &Request) {
      // From the second request of a connection on, the server runs it.
      if (Request.Number > 0)
        TakenOver.insert(idOf(Request));
      return Refusing(Request);
    });
    const std::vector<std::string> Responses = Fleet.book(6);
    REQUIRE_FALSE(TakenOver.empty());
    for (std::size_t Number = 0; Number < Responses.size(); ++Number) {
      const std::string Id = "r" + std::to_string(Number);
      if (!TakenOver.contains(Id))
        continue;
      CAPTURE(Id);
      const unsigned Status = fleet_fixture::statusOf(Responses[Number]);
      CHECK((Status == 502 || Status == 504));
      // It may have been refused by the other server first.
      CHECK(Fleet.Arrivals[Id] <= 2);
    }
  }
}

TEST_CASE("a repeated refusal before the response is skipped") {
  raw_fleet Fleet(
      repeatRefusal([](const std::string &First, const std::string &Id) {
        return refusal(First) + success(Id);
      }));
  int Answered = 0;
  for (const std::string &Response : Fleet.book(6))
    Answered += fleet_fixture::statusOf(Response) == 200 ? 1 : 0;
  CHECK(Answered >= 1);
}

TEST_CASE("a connection with a repeated refusal on it is not used again") {
  int Reused = 0;
  raw_fleet Fleet([&Reused](const raw_request &Request) -> raw_reply {
    Reused += Request.Number > 0 ? 1 : 0;
    return {refusal(idOf(Request)) + refusal(idOf(Request))};
  });
  Fleet.book(4);
  CHECK(Reused == 0);
}

TEST_CASE("a response that ends in its head is not passed on as whole") {
  const std::string Head = "HTTP/1.1 200 OK\r\n" + TestNames.Signature +
                           ": s\r\n" + TestNames.RequestId + ": ";
  for (const after_reply End : {after_reply::Close, after_reply::Reset}) {
    raw_fleet Fleet([&](const raw_request &Request) -> raw_reply {
      return {Head + idOf(Request) + "\r\nContent-Len", End};
    });
    for (const std::string &Response : Fleet.book(3)) {
      CHECK(fleet_fixture::statusOf(Response) == 502);
      CHECK(fleet_fixture::countResponses(Response) == 1);
    }
    for (const auto &[Id, Count] : Fleet.Arrivals)
      CHECK(Count == 1);
  }
}

// Guards against: a caller gets an answer whose status doesn't exist, or with a
// line that is not a header.
TEST_CASE("a response with a malformed head is not passed on") {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> Begins = {"HTTP/1.1 000 Odd\r\n",
                                           Ok + "X Odd: 1\r\n",
                                           Ok + "X-Odd : 1\r\n",
                                           Ok + "X-\x01Odd: 1\r\n",
                                           Ok + "X-Odd: 1\r\n X-Folded: 2\r\n",
                                           Ok + "Transfer-Encoding: gzip\r\n"};
  for (const std::string &Begin : Begins) {
    CAPTURE(Begin);
    raw_fleet Fleet([&](const raw_request &Request) -> raw_reply {
      const std::string Rest = success(idOf(Request)).substr(Ok.size());
      return {Begin + Rest, after_reply::Close};
    });
    for (const std::string &Response : Fleet.book(2)) {
      CHECK(fleet_fixture::statusOf(Response) == 502);
      CHECK(Response.find("whole") == std::string::npos);
      CHECK(Response.find("Odd") == std::string::npos);
    }
    for (const auto &[Id, Count] : Fleet.Arrivals)
      CHECK(Count == 1);
  }
}
