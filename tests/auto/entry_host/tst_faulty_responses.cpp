#include "../http/raw_server.h"
#include "fleet_fixture.h"

#include <set>

// What callers get when a server sends bytes that belong to no request, or ends
// in the middle of a response.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

std::string headerIn(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find(Name + ": ");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 2;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

std::string idOf(const raw_request &Request) {
  return headerIn(Request.Head, TestNames.RequestId);
}

std::string refusal(const std::string &Id) {
  const std::string IdLine =
      Id.empty() ? "" : TestNames.RequestId + ": " + Id + "\r\n";
  return "HTTP/1.1 503 Service Unavailable\r\n" + IdLine + TestNames.NotRun +
         ": 1\r\nContent-Length: 0\r\n\r\n";
}

std::string success(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\n" + TestNames.RequestId + ": " + Id + "\r\n" +
         TestNames.Signature + ": s\r\nContent-Length: 5\r\n\r\nwhole";
}

/// A fleet of one host and two servers that reply with raw bytes.
class raw_fleet {
public:
  explicit raw_fleet(raw_server::script Script) : Script(std::move(Script)) {
    for (const char *Name : {"server-0", "server-1"})
      addServer(Name);
  }

  /// Sends requests one after the other that may not be repeated. \returns the
  /// response to each.
  std::vector<std::string> book(int Count) {
    std::vector<std::string> Responses;
    Fleet.run([&]() -> asio::awaitable<void> {
      for (int Number = 0; Number < Count; ++Number) {
        const std::string Id = "r" + std::to_string(Number);
        std::string Response = co_await Fleet.sendAndReceive(
            fleet_fixture::requestText("GET", "/book/x", Id));
        Responses.push_back(std::move(Response));
      }
    });
    return Responses;
  }

  /// How often the servers got each request, by its id.
  std::map<std::string, int> Arrivals;

private:
  void addServer(const std::string &Name) {
    const socket_address Address = {
        "127.97.4." + std::to_string(1 + Servers.size()), 18'400};
    Servers.push_back(std::make_unique<raw_server>(
        Fleet.Context, Address, [this](const raw_request &Request) {
          ++Arrivals[idOf(Request)];
          return Script(Request);
        }));
    Fleet.Platform.Backends.push_back(
        {Name, "one", Address, "a", 2, false, milliseconds(0), 1});
  }

  raw_server::script Script;
  fleet_fixture Fleet;
  std::vector<std::unique_ptr<raw_server>> Servers;
};

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
