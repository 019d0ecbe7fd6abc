#include "raw_fleet.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

// A server may send the copy of a refusal when the request that it refused is
// under way again on the same connection: to the same address, under another
// name. The copy is not the answer to the second sending.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr std::array RefusalStatuses = {421U, 429U, 503U};

// The server that was there before, whose entry is still listed, and the one
// that is there now.
const std::vector<server_names> OneAddressTwoNames = {{"before", "now"}};

/// How a server replies to the second sending of a request.
struct second_reply {
  /// If the first sending came on another connection.
  std::function<raw_reply(const std::string &Id)> Fresh;
  /// If the refusal of the first sending was sent on this connection.
  std::function<raw_reply(const std::string &Id, unsigned Status)> Shared;
};

/// A server that refuses each request once and runs it when it comes again.
struct refusing_server {
  unsigned Status;
  second_reply Second;
  /// What follows the refusal by itself.
  raw_reply AfterRefusal = {};
  std::map<std::string, int> Runs = {};
  std::map<std::string, int> FirstConnections = {};

  raw_reply operator()(const raw_request &Request) {
    const std::string Id = idOf(Request);
    const auto [First, IsFirst] =
        FirstConnections.try_emplace(Id, Request.Connection);
    if (IsFirst) {
      raw_reply Reply = AfterRefusal;
      Reply.Bytes = refusal(Id, Status) + Reply.Bytes;
      if (Reply.Pause.count() > 0)
        Reply.Late = refusal(Id, Status);
      return Reply;
    }
    ++Runs[Id];
    return First->second == Request.Connection ? Second.Shared(Id, Status)
                                               : Second.Fresh(Id);
  }
};

raw_reply runAndAnswer(const std::string &Id) { return {success(Id)}; }

raw_reply runAndBreakOff(const std::string &) {
  return {"", after_reply::Close};
}

/// \returns the status of the response to one request that may not be repeated
/// and that \p Server refuses and then runs.
unsigned bookOnce(refusing_server &Server) {
  raw_fleet Fleet([&](const raw_request &Request) { return Server(Request); },
                  OneAddressTwoNames);
  const std::vector<std::string> Responses = Fleet.book(1);
  CHECK(Server.Runs == std::map<std::string, int>{{"r0", 1}});
  return fleet_fixture::statusOf(Responses.front());
}

bool promisesNotRun(unsigned Status) {
  constexpr std::array Promises = {408U, 421U, 429U, 503U};
  return std::ranges::find(Promises, Status) != Promises.end();
}

/// Servers that refuse, run and break off requests at random, and that send
/// copies of earlier refusals on the same connection before or after their
/// response, or late.
struct random_servers {
  explicit random_servers(unsigned Seed) : Random(Seed) {}

  struct history {
    int Runs = 0;
    /// Whether the last sending was the first request on its connection and got
    /// a success.
    bool Succeeded = false;
  };
  std::mt19937 Random;
  /// The refusals on each connection of each server, by its address.
  std::map<std::pair<std::string, int>, std::vector<std::string>> Refusals;
  std::map<std::string, history> Requests;
  int SentAgain = 0;

  int draw(int Below) { return static_cast<int>(Random() % Below); }

  /// \returns up to two copies of \p Earlier refusals.
  std::string drawCopies(const std::vector<std::string> &Earlier) {
    std::string Copies;
    for (int Count = Earlier.empty() ? 0 : draw(3); Count > 0; --Count)
      Copies += Earlier[Random() % Earlier.size()];
    return Copies;
  }

  raw_reply operator()(const raw_request &Request) {
    const std::string Id = idOf(Request);
    const std::string Name = headerIn(Request.Head, TestNames.TargetBackend);
    // Both names of a server begin with its letter.
    std::vector<std::string> &Earlier =
        Refusals[{Name.substr(0, 1), Request.Connection}];
    SentAgain += Requests.contains(Id) ? 1 : 0;
    history &History = Requests[Id];
    const std::string Copies = drawCopies(Earlier);
    constexpr int Cases = 10;
    const int Case = draw(Cases);
    const bool Refuses = Case < 6;
    const bool Answers = Case < 9;
    const auto Late = milliseconds(draw(2) * draw(20));
    History.Runs += Refuses ? 0 : 1;
    History.Succeeded = !Refuses && Answers && Request.Number == 0;
    if (!Answers)
      return {Copies, after_reply::Close};
    std::string Response = success(Id);
    if (Refuses) {
      Response = refusal(Id, RefusalStatuses[draw(RefusalStatuses.size())]);
      Earlier.push_back(Response);
    }
    const std::string Surplus = draw(4) == 0 ? drawCopies(Earlier) : "";
    return {Copies + Response + Surplus, after_reply::Keep, Late,
            Late.count() > 0 ? drawCopies(Earlier) : ""};
  }
};

} // namespace

TEST_CASE("a copied refusal before the answer to the second sending is not "
          "taken for it") {
  for (const unsigned Status : RefusalStatuses) {
    CAPTURE(Status);
    refusing_server Server = {
        Status,
        {runAndAnswer, [](const std::string &Id, unsigned Copied) -> raw_reply {
           return {refusal(Id, Copied) + success(Id)};
         }}};
    CHECK(bookOnce(Server) == 200);
  }
}

TEST_CASE("a copied refusal after the second sending was written is not taken "
          "for its answer") {
  for (const unsigned Status : RefusalStatuses) {
    CAPTURE(Status);
    refusing_server Server = {
        Status, {runAndAnswer, [](const std::string &Id, unsigned) {
                   return runAndAnswer(Id);
                 }}};
    // Within this time the second sending is on its way.
    Server.AfterRefusal.Pause = milliseconds(60);
    CHECK(bookOnce(Server) == 200);
  }
}

TEST_CASE("a copied refusal in place of the answer to the second sending "
          "proves nothing") {
  for (const unsigned Status : RefusalStatuses) {
    CAPTURE(Status);
    refusing_server Server = {
        Status,
        {runAndBreakOff,
         [](const std::string &Id, unsigned Copied) -> raw_reply {
           return {refusal(Id, Copied), after_reply::Close};
         }}};
    const unsigned Answered = bookOnce(Server);
    CHECK((Answered == 502 || Answered == 504));
  }
}

TEST_CASE("no request that ran is refused or runs twice, whatever refusals are "
          "copied") {
  constexpr unsigned Seeds = 12;
  constexpr int RequestsPerSeed = 25;
  int SentAgain = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    random_servers Servers(Seed);
    raw_fleet Fleet(
        [&](const raw_request &Request) { return Servers(Request); },
        {{"a-before", "a-now"}, {"b-before", "b-now"}});
    for (route_rule &Route : Fleet.Fleet.Platform.Config.Routes)
      Route.MaxAttempts = 4;
    const std::vector<std::string> Responses = Fleet.book(RequestsPerSeed);
    SentAgain += Servers.SentAgain;
    for (int Number = 0; Number < RequestsPerSeed; ++Number) {
      const std::string Id = "r" + std::to_string(Number);
      CAPTURE(Id);
      const unsigned Status = fleet_fixture::statusOf(Responses[Number]);
      CAPTURE(Status);
      const random_servers::history &History = Servers.Requests[Id];
      CHECK(History.Runs <= 1);
      CHECK_FALSE((History.Runs > 0 && promisesNotRun(Status)));
      if (History.Succeeded)
        CHECK(Status == 200);
    }
  }
  // Each seed makes some requests come a second time.
  CHECK(SentAgain >= static_cast<int>(Seeds));
}

// Guards against: a refusal that is cut in its head and the answer behind it
// are read as one head, with the status of the one and the id of the other.
TEST_CASE("a refusal that is cut before the answer refuses no other request") {
  std::vector<std::string> Cut;
  for (const unsigned Status : RefusalStatuses) {
    std::string Whole = refusal("r0", Status);
    Whole.insert(Whole.find("\r\n") + 2, TestNames.NotRun + ": 1\r\n");
    for (std::size_t Length = 1; Length < Whole.size(); ++Length)
      Cut.push_back(Whole.substr(0, Length));
  }
  std::size_t Sent = 0;
  std::set<std::string> Ran;
  raw_fleet Fleet(
      [&](const raw_request &Request) -> raw_reply {
        const std::string Id = idOf(Request);
        if (Request.Number == 0)
          return {success(Id)};
        Ran.insert(Id);
        return {Cut[Sent++ % Cut.size()] + success(Id), after_reply::Close};
      },
      {{"server-0"}});
  const int Requests = 2 * static_cast<int>(Cut.size());
  const std::vector<std::string> Responses = Fleet.book(Requests);
  CHECK(Sent > 0);
  for (int Number = 0; Number < Requests; ++Number) {
    const std::string Id = "r" + std::to_string(Number);
    const unsigned Status = fleet_fixture::statusOf(Responses[Number]);
    CAPTURE(Id);
    CAPTURE(Status);
    CHECK(Fleet.Arrivals[Id] == 1);
    CHECK_FALSE((Ran.contains(Id) && promisesNotRun(Status)));
  }
}

// Guards against: any response that is due to another request counts as the
// answer to one that has no id.
TEST_CASE("a copied response is not taken for the answer to a request without "
          "an id") {
  for (const bool Refused : {true, false}) {
    CAPTURE(Refused);
    std::string Copied;
    raw_fleet Fleet(
        [&](const raw_request &Request) -> raw_reply {
          const std::string Id = idOf(Request);
          if (!Id.empty()) {
            Copied = Refused ? refusal(Id) : success(Id);
            return {Copied};
          }
          // The server runs it and breaks off.
          return {Request.Number > 0 ? Copied : "", after_reply::Close};
        },
        {{"server-0"}});
    std::string WithoutId = fleet_fixture::requestText("GET", "/book/x", "");
    const std::string IdLine = TestNames.RequestId + ": \r\n";
    WithoutId.erase(WithoutId.find(IdLine), IdLine.size());
    std::string Response;
    Fleet.Fleet.run([&]() -> asio::awaitable<void> {
      co_await Fleet.Fleet.sendAndReceive(
          fleet_fixture::requestText("GET", "/book/x", "r0"));
      Response = co_await Fleet.Fleet.sendAndReceive(WithoutId);
    });
    CHECK(Fleet.Arrivals[""] == 1);
    CHECK(fleet_fixture::statusOf(Response) == 502);
  }
}
