#include "fleet_fixture.h"

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

asio::awaitable<http_response> respondSuccessfully(http_request Request) {
  co_return signedResponse(Request);
}

asio::awaitable<http_response> hang(http_request Request) {
  co_await pauseFor(seconds(20));
  co_return signedResponse(Request);
}

backend_script fixedResponse(unsigned Status, bool Signed,
                             bool HasNotRunHeader) {
  return [=](http_request Request) -> asio::awaitable<http_response> {
    http_response Response = signedResponse(Request, Status);
    if (!Signed)
      removeHeader(Response.Headers, TestNames.Signature);
    if (HasNotRunHeader)
      setHeader(Response.Headers, TestNames.NotRun, "1");
    co_return Response;
  };
}

std::string get(const std::string &Id = "r1") {
  return fleet_fixture::requestText("GET", "/read/x?y=1", Id);
}

std::string post(const std::string &Id = "r1") {
  return fleet_fixture::requestText("POST", "/book/x", Id);
}

} // namespace

TEST_CASE("a request reaches the backend server of its slot and is answered") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Response = co_await Fleet.sendAndReceive(get());
    CHECK(Fleet.statusOf(Response) == 200);
    CHECK(Response.find("whole") != std::string::npos);
    REQUIRE(Backend.Requests.size() == 1);
    const http_request &Seen = Backend.Requests.front();
    CHECK(Seen.Target == "/read/x?y=1");
    CHECK(findHeader(Seen.Headers, TestNames.TargetBackend) == "server-0");
    CHECK(findHeader(Seen.Headers, TestNames.RequestId) == "r1");
    const auto RemainingMs = findHeader(Seen.Headers, TestNames.DeadlineMs);
    REQUIRE(RemainingMs);
    CHECK(std::stoi(*RemainingMs) <= 1500);
  });
}

// Guards against: the request loses its id on the way, so that its response
// can't be told from others.
TEST_CASE(
    "the request id is sent on also if the caller lists it in Connection") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    std::string Request = post();
    Request.insert(Request.find("\r\n") + 2,
                   "Connection: " + TestNames.RequestId + "\r\n");
    const std::string Response = co_await Fleet.sendAndReceive(Request);
    CHECK(Fleet.statusOf(Response) == 200);
    REQUIRE(Backend.Requests.size() == 1);
    CHECK(findHeader(Backend.Requests.front().Headers, TestNames.RequestId) ==
          "r1");
  });
}

TEST_CASE("an unknown route gets a 404 while the configuration is current") {
  fleet_fixture Fleet;
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Response =
        co_await Fleet.sendAndReceive(Fleet.requestText("GET", "/none/", "r1"));
    CHECK(Fleet.statusOf(Response) == 404);
  });
}

TEST_CASE("without a configuration a request gets a 503 with Retry-After") {
  fleet_fixture Fleet;
  Fleet.Platform.Down = true;
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Response = co_await Fleet.sendAndReceive(get());
    CHECK(Fleet.statusOf(Response) == 503);
    CHECK(Response.find("Retry-After") != std::string::npos);
  });
}

TEST_CASE("a 2xx response without a signature is not forwarded") {
  fleet_fixture Fleet;
  scripted_backend &Backend =
      Fleet.addBackend(fixedResponse(200, false, false));
  Fleet.run([&]() -> asio::awaitable<void> {
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(post())) == 502);
    CHECK(Backend.Requests.size() == 1);
  });
}

TEST_CASE(
    "status 408, 429 or 503 is not forwarded without the not-run header") {
  for (const unsigned Status : {408U, 429U, 503U}) {
    fleet_fixture Fleet;
    scripted_backend &Backend =
        Fleet.addBackend(fixedResponse(Status, true, false));
    Fleet.run([&]() -> asio::awaitable<void> {
      const std::string Response = co_await Fleet.sendAndReceive(post());
      CHECK(Fleet.statusOf(Response) == 502);
      CHECK(Response.find(TestNames.Signature) == std::string::npos);
      CHECK(Backend.Requests.size() == 1);
    });
  }
}

TEST_CASE("a request that a server provably did not run goes to another one") {
  for (const unsigned Status : {503U, 421U}) {
    fleet_fixture Fleet;
    Fleet.addBackend(fixedResponse(Status, false, true));
    Fleet.addBackend(fixedResponse(Status, false, true));
    Fleet.addBackend(fixedResponse(Status, false, true));
    Fleet.run([&]() -> asio::awaitable<void> {
      const std::string Response = co_await Fleet.sendAndReceive(post());
      CHECK(Fleet.statusOf(Response) == 503);
      std::size_t Arrivals = 0;
      for (const auto &Backend : Fleet.Backends) {
        CHECK(Backend->Requests.size() <= 1);
        Arrivals += Backend->Requests.size();
      }
      // The route allows two attempts.
      CHECK(Arrivals == 2);
    });
  }
}

TEST_CASE("a non-idempotent request that may have run is sent once") {
  const std::vector<std::string> BrokenResponses = {
      "", "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nTest-Request-Id: r1\r\n"
      "Content-Length: 50\r\n\r\nshort"};
  for (const std::string &Bytes : BrokenResponses) {
    fleet_fixture Fleet;
    const backend_script Script =
        [&Bytes](http_request) -> asio::awaitable<http_response> {
      co_return rawResponse(Bytes);
    };
    Fleet.addBackend(Script);
    Fleet.addBackend(Script);
    Fleet.run([&]() -> asio::awaitable<void> {
      CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(post())) == 502);
      CHECK(Fleet.Backends[0]->Requests.size() +
                Fleet.Backends[1]->Requests.size() ==
            1);
    });
  }
}

TEST_CASE("a failed idempotent request is repeated on another server") {
  fleet_fixture Fleet;
  bool Failed = false;
  const backend_script Script =
      [&Failed](http_request Request) -> asio::awaitable<http_response> {
    if (!std::exchange(Failed, true))
      co_return rawResponse("");
    co_return signedResponse(Request);
  };
  Fleet.addBackend(Script);
  Fleet.addBackend(Script);
  Fleet.run([&]() -> asio::awaitable<void> {
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(get())) == 200);
    CHECK(Fleet.Backends[0]->Requests.size() == 1);
    CHECK(Fleet.Backends[1]->Requests.size() == 1);
  });
}

TEST_CASE("a response to another request id is skipped") {
  fleet_fixture Fleet;
  Fleet.addBackend([](http_request) -> asio::awaitable<http_response> {
    co_return rawResponse(
        "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nTest-Request-Id: other\r\n"
        "Content-Length: 5\r\n\r\nwrong"
        "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nTest-Request-Id: r1\r\n"
        "Content-Length: 5\r\n\r\nright");
  });
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Response = co_await Fleet.sendAndReceive(post());
    CHECK(Fleet.statusOf(Response) == 200);
    CHECK(Response.find("right") != std::string::npos);
    CHECK(Response.find("wrong") == std::string::npos);
  });
}

TEST_CASE("a response without a length is complete when its connection ends") {
  fleet_fixture Fleet;
  Fleet.addBackend([](http_request) -> asio::awaitable<http_response> {
    co_return rawResponse("HTTP/1.1 200 OK\r\nTest-Signature: s\r\n"
                          "Test-Request-Id: r1\r\n\r\nto the end");
  });
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Response = co_await Fleet.sendAndReceive(post());
    CHECK(Fleet.statusOf(Response) == 200);
    CHECK(Response.find("to the end") != std::string::npos);
    CHECK(Response.find("Content-Length: 10") != std::string::npos);
  });
}

TEST_CASE("a request to a silent server ends in a timeout (504)") {
  fleet_fixture Fleet;
  Fleet.addBackend(hang);
  Fleet.run([&]() -> asio::awaitable<void> {
    const time_point Start = std::chrono::steady_clock::now();
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(post())) == 504);
    CHECK(std::chrono::steady_clock::now() - Start < seconds(10));
    CHECK(Fleet.Backends[0]->Requests.size() == 1);
  });
}

TEST_CASE("an idempotent request to a silent server is hedged") {
  fleet_fixture Fleet;
  const auto First = std::make_shared<bool>(true);
  const backend_script Script =
      [First](http_request Request) -> asio::awaitable<http_response> {
    if (std::exchange(*First, false))
      co_await pauseFor(seconds(20));
    co_return signedResponse(Request);
  };
  Fleet.addBackend(Script);
  Fleet.addBackend(Script);
  Fleet.run([&]() -> asio::awaitable<void> {
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(get())) == 200);
  });
}

TEST_CASE("pipelined requests are answered in the order they came in") {
  fleet_fixture Fleet;
  Fleet.addBackend([](http_request Request) -> asio::awaitable<http_response> {
    const std::string Id =
        findHeader(Request.Headers, TestNames.RequestId).value_or("");
    co_await pauseFor(milliseconds(Id == "r1" ? 100 : 1));
    co_return signedResponse(Request, 200, "body of " + Id);
  });
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Responses =
        co_await Fleet.sendAndReceive(get("r1") + get("r2") + get("r3"), 3);
    const std::size_t One = Responses.find("body of r1");
    const std::size_t Two = Responses.find("body of r2");
    const std::size_t Three = Responses.find("body of r3");
    REQUIRE(Three != std::string::npos);
    CHECK(One < Two);
    CHECK(Two < Three);
  });
}

TEST_CASE(
    "a caller that disconnects frees only the slot of an idempotent request") {
  for (const bool Idempotent : {true, false}) {
    fleet_fixture Fleet;
    scripted_backend &Backend = Fleet.addBackend(hang);
    Fleet.run([&]() -> asio::awaitable<void> {
      asio::ip::tcp::socket Socket(Fleet.Context);
      const socket_address Address = Fleet.listenAddress(0);
      co_await Socket.async_connect(
          asio::ip::tcp::endpoint(asio::ip::make_address(Address.Ip),
                                  Address.Port),
          asio::use_awaitable);
      const std::string Text = Idempotent ? get() : post();
      co_await asio::async_write(Socket, asio::buffer(Text),
                                 asio::use_awaitable);
      // A backend server without history gets the request after a short wait.
      while (Backend.Requests.empty())
        co_await pauseFor(milliseconds(5));
      Socket.close();
      co_await pauseFor(milliseconds(100));
      const json::object Dump = Fleet.Hosts[0]->dump();
      const auto Held =
          Dump.at("slots").as_object().at("slots_held").to_number<int>();
      CHECK(Held == (Idempotent ? 0 : 1));
    });
  }
}

// Guards against: a request that must not be repeated is sent to the next
// server after a refusal, though its caller has left meanwhile.
TEST_CASE("a request that was refused is not sent again without its caller") {
  fleet_fixture Fleet;
  const backend_script RefuseLater =
      [](http_request Request) -> asio::awaitable<http_response> {
    co_await pauseFor(milliseconds(200));
    http_response Response = signedResponse(Request, 503);
    setHeader(Response.Headers, TestNames.NotRun, "1");
    co_return Response;
  };
  scripted_backend &One = Fleet.addBackend(RefuseLater);
  scripted_backend &Two = Fleet.addBackend(RefuseLater);
  Fleet.run([&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket Socket(Fleet.Context);
    const socket_address Address = Fleet.listenAddress(0);
    co_await Socket.async_connect(
        {asio::ip::make_address(Address.Ip), Address.Port},
        asio::use_awaitable);
    const std::string Text = post();
    co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
    while (One.Requests.empty() && Two.Requests.empty())
      co_await pauseFor(milliseconds(5));
    Socket.close();
    co_await pauseFor(milliseconds(600));
  });
  CHECK(One.Requests.size() + Two.Requests.size() == 1);
}

TEST_CASE("malformed requests get error 400 and don't affect other requests") {
  fleet_fixture Fleet;
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::vector<std::string> Malformed = {
        "nonsense\r\n\r\n", "GET /read/ HTTP/1.1\r\n\r\n",
        "GET /read/ HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n",
        "POST /book/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};
    for (const std::string &Text : Malformed)
      CHECK_MESSAGE(Fleet.statusOf(co_await Fleet.sendAndReceive(Text)) == 400,
                    Text);
    CHECK(Fleet.Backends[0]->Requests.empty());
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(get())) == 200);
  });
}

TEST_CASE("a request whose chunk header has no end is refused") {
  fleet_fixture Fleet;
  Fleet.addBackend([](http_request Request) -> asio::awaitable<http_response> {
    co_return signedResponse(Request);
  });
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Answer = co_await Fleet.sendAndReceive(
        "POST /book/ HTTP/1.1\r\nHost: a.example\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4;" +
        std::string(1U << 20U, 'x'));
    CHECK(Fleet.statusOf(Answer) == 400);
  });
  CHECK(Fleet.Backends[0]->Requests.empty());
}

TEST_CASE("a chunked body arrives complete at the server") {
  fleet_fixture Fleet;
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Text =
        "POST /book/ HTTP/1.1\r\nHost: a.example\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(Text)) == 200);
    REQUIRE(Fleet.Backends[0]->Requests.size() == 1);
    CHECK(Fleet.Backends[0]->Requests[0].Body == "abcde");
  });
}

TEST_CASE("a leaving host answers open requests with Connection: close") {
  fleet_fixture Fleet;
  Fleet.addBackend([](http_request Request) -> asio::awaitable<http_response> {
    co_await pauseFor(milliseconds(100));
    co_return signedResponse(Request);
  });
  Fleet.run([&]() -> asio::awaitable<void> {
    asio::co_spawn(
        Fleet.Context,
        [&]() -> asio::awaitable<void> {
          co_await pauseFor(milliseconds(50));
          Fleet.Hosts[0]->leave();
        },
        asio::detached);
    const std::string Response = co_await Fleet.sendAndReceive(post());
    CHECK(Fleet.statusOf(Response) == 200);
    CHECK(Response.find("Connection: close") != std::string::npos);
  });
}
