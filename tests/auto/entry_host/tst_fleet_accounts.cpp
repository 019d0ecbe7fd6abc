#include "fleet_fixture.h"

#include <array>
#include <cstdio>
#include <set>
#include <sstream>

#include <unistd.h>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const bool InfoIsLogged = [] {
  TestLogLevel = log_level::Info;
  return true;
}();

// A host applies a new configuration within this time.
constexpr milliseconds ApplyTime{400};
// Longer than a configuration stays confirmed.
constexpr milliseconds ConfirmationTime{2900};

client_account makeAccount(const std::string &Name,
                           std::vector<std::string> Keys) {
  client_account Account;
  Account.Name = Name;
  Account.Keys = std::move(Keys);
  return Account;
}

/// A fleet with the account acme, whose key is key-1, and the route /open/ for
/// anonymous requests. Requests may wait long for a slot.
void configure(fleet_fixture &Fleet) {
  Fleet.addRoute("open", "/open/", true);
  routing_config &Config = Fleet.Platform.Config;
  Config.Routes.back().AllowAnonymous = true;
  for (route_rule &Route : Config.Routes) {
    Route.Timeout = milliseconds(5000);
    Route.TargetLatency = milliseconds(100);
  }
  Config.Accounts = {makeAccount("acme", {"key-1"}),
                     makeAccount("other", {"key-2"})};
}

/// Stores the configuration of \p Fleet as a new version.
void publish(fleet_fixture &Fleet) {
  ++Fleet.Platform.Config.Version;
  ++Fleet.Platform.Position.Revision;
}

std::string bearer(const std::string &Key) {
  return "Authorization: Bearer " + Key + "\r\n";
}

/// \returns a request whose header section ends with the lines \p Lines.
std::string request(const std::string &Target, const std::string &Lines,
                    const std::string &Method = "GET",
                    const std::string &Id = "r") {
  return Method + " " + Target + " HTTP/1.1\r\nHost: a.example\r\n" +
         TestNames.RequestId + ": " + Id + "\r\n" + TestNames.DeadlineMs +
         ": 5000\r\n" + Lines + "Content-Length: 0\r\n\r\n";
}

asio::awaitable<unsigned> statusFor(fleet_fixture &Fleet, std::string Text,
                                    int Number = 0) {
  co_return fleet_fixture::statusOf(
      co_await Fleet.sendAndReceive(std::move(Text), 1, Number));
}

asio::awaitable<http_response> respondAtOnce(http_request Request) {
  co_return signedResponse(Request);
}

asio::awaitable<http_response> respondAfter800Ms(http_request Request) {
  co_await pauseFor(milliseconds(800));
  co_return signedResponse(Request);
}

std::vector<std::string> valuesOf(const http_request &Request,
                                  std::string_view Name) {
  std::vector<std::string> Values;
  for (const http_header &Header : Request.Headers)
    if (equalIgnoringCase(Header.Name, Name))
      Values.push_back(Header.Value);
  return Values;
}

/// \returns the names of the accounts that the last request of \p Backend had.
std::vector<std::string> lastAccounts(const scripted_backend &Backend) {
  return valuesOf(Backend.Requests.back(), TestNames.Account);
}

/// A request that is sent while the test goes on.
struct background_request {
  std::string Text;
  std::string Response;
  duration Elapsed{0};
  bool Done = false;
};

asio::awaitable<void> send(fleet_fixture &Fleet, background_request &Request) {
  const time_point Start = Fleet.Clock.now();
  Request.Response = co_await Fleet.sendAndReceive(Request.Text);
  Request.Elapsed = Fleet.Clock.now() - Start;
  Request.Done = true;
}

void start(fleet_fixture &Fleet, background_request &Request) {
  asio::co_spawn(Fleet.Context, send(Fleet, Request), asio::detached);
}

asio::awaitable<void> await(background_request &Request) {
  while (!Request.Done)
    co_await pauseFor(milliseconds(5));
}

/// Takes both slots of the only backend server for 800 ms.
struct slot_holders {
  explicit slot_holders(fleet_fixture &Fleet, const std::string &Lines) {
    for (background_request &Holder : Holders) {
      Holder.Text = request("/read/slow", Lines);
      start(Fleet, Holder);
    }
  }
  std::array<background_request, 2> Holders;
};

/// Redirects standard output, and with it the log, into a file.
class output_capture {
public:
  output_capture() : File(std::tmpfile()), Original(::dup(STDOUT_FILENO)) {
    flushAll();
    REQUIRE(::dup2(::fileno(File), STDOUT_FILENO) >= 0);
  }
  ~output_capture() {
    restore();
    (void)std::fclose(File);
  }
  output_capture(const output_capture &) = delete;
  output_capture &operator=(const output_capture &) = delete;

  /// Ends the redirection. \returns what was written.
  std::string finish() {
    restore();
    std::rewind(File);
    std::string Text;
    std::array<char, 4096> Chunk{};
    while (const std::size_t Count =
               std::fread(Chunk.data(), 1, Chunk.size(), File))
      Text.append(Chunk.data(), Count);
    return Text;
  }

private:
  static void flushAll() {
    flushLog();
    (void)std::fflush(stdout);
  }
  void restore() {
    if (Original < 0)
      return;
    flushAll();
    (void)::dup2(Original, STDOUT_FILENO);
    (void)::close(Original);
    Original = -1;
  }

  std::FILE *File;
  int Original;
};

/// \returns the lines of \p Log with the event \p Name.
std::vector<json::object> eventsOf(const std::string &Log,
                                   std::string_view Name) {
  std::vector<json::object> Events;
  std::istringstream Lines(Log);
  for (std::string Line; std::getline(Lines, Line);) {
    const result<json::value> Value = parseJson(Line);
    if (Value && Value->is_object() &&
        stringAt(Value->get_object(), "event") == Name)
      Events.push_back(Value->get_object());
  }
  return Events;
}

asio::awaitable<std::string> fetch(fleet_fixture &Fleet, std::string Target) {
  asio::ip::tcp::socket Socket(Fleet.Context);
  const auto UseTuple = asio::as_tuple(asio::use_awaitable);
  const asio::ip::tcp::endpoint Endpoint(
      asio::ip::make_address(fleet_fixture::listenAddress(0).Ip), 18'203);
  co_await Socket.async_connect(Endpoint, UseTuple);
  const std::string Text =
      "GET " + Target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  co_await asio::async_write(Socket, asio::buffer(Text), UseTuple);
  std::string Received;
  std::array<char, 4096> Chunk{};
  for (;;) {
    auto [Failure, Count] =
        co_await Socket.async_read_some(asio::buffer(Chunk), UseTuple);
    Received.append(Chunk.data(), Count);
    if (Failure)
      co_return Received;
  }
}

} // namespace

// Guards against: a request without a valid key that reaches a backend server,
// and one with a key that is refused or has the wrong account.
TEST_CASE("only requests with a known key reach the backend server") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAtOnce);
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    for (const std::string &Lines :
         {std::string(), bearer("bad"), bearer("key-1") + bearer("key-1"),
          bearer("key-1 x"), std::string("Authorization: Basic key-1\r\n"),
          std::string("Authorization:\r\n")}) {
      const std::string Response =
          co_await Fleet.sendAndReceive(request("/read/x", Lines));
      CHECK_MESSAGE(Fleet.statusOf(Response) == 401, Lines);
      CHECK(Response.find("WWW-Authenticate: Bearer\r\n") != std::string::npos);
      CHECK(Response.find(R"({"error":"key-)") != std::string::npos);
      CHECK(Response.find("Retry-After") == std::string::npos);
    }
    CHECK(Backend.Requests.empty());
    CHECK(co_await statusFor(Fleet, request("/read/x", bearer("key-1"))) ==
          200);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"acme"});
    CHECK(co_await statusFor(
              Fleet, request("/read/x", "aUTHORIZATION: bEARER  key-2 \r\n")) ==
          200);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"other"});
  });
}

// Guards against: an open route that needs a key, or accepts an unknown one.
TEST_CASE("a route for anonymous requests serves those without a key") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAtOnce);
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    CHECK(co_await statusFor(Fleet, request("/open/x", "")) == 200);
    CHECK(lastAccounts(Backend).empty());
    CHECK(co_await statusFor(Fleet, request("/open/x", bearer("bad"))) == 401);
    CHECK(co_await statusFor(Fleet, request("/open/x", bearer("key-1"))) ==
          200);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"acme"});
    CHECK(Backend.Requests.size() == 2);
  });
}

// Guards against: a caller that passes itself off as another account, or makes
// the host omit its account.
TEST_CASE("the account header of a caller never reaches the backend server") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAtOnce);
  configure(Fleet);
  const std::array<std::string, 6> Forgeries = {
      "Test-Account: other\r\n",
      "tEST-aCCOUNT: other\r\nTest-Account: other\r\n",
      "Test-Account:\r\n other\r\n",
      "Test-Account: acme\r\n\tother\r\n",
      "Connection: Test-Account\r\nTest-Account: other\r\n",
      "Connection: Authorization, test-account\r\n"};
  const std::string TrailerForgery =
      "\r\n1\r\nx\r\n0\r\nTest-Account: other\r\ntest-account: third\r\n\r\n";
  Fleet.run([&]() -> asio::awaitable<void> {
    for (const std::string &Forgery : Forgeries) {
      CAPTURE(Forgery);
      CHECK(co_await statusFor(
                Fleet, request("/read/x", Forgery + bearer("key-1"))) == 200);
      CHECK(lastAccounts(Backend) == std::vector<std::string>{"acme"});
      CHECK(co_await statusFor(Fleet, request("/open/x", Forgery)) == 200);
      CHECK(lastAccounts(Backend).empty());
    }
    const std::string Chunked = "Host: a.example\r\nTest-Request-Id: r\r\n"
                                "Transfer-Encoding: chunked\r\n"
                                "Trailer: Test-Account\r\n";
    const auto Before = Backend.Requests.size();
    CHECK(co_await statusFor(Fleet, "POST /book/x HTTP/1.1\r\n" + Chunked +
                                        bearer("key-1") + TrailerForgery) ==
          200);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"acme"});
    CHECK(co_await statusFor(Fleet, "POST /open/x HTTP/1.1\r\n" + Chunked +
                                        TrailerForgery) == 200);
    CHECK(lastAccounts(Backend).empty());
    CHECK(Backend.Requests.size() == Before + 2);
  });
}

// Guards against: a configuration without accounts that changes the headers.
TEST_CASE("without accounts both headers pass through unchanged") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAtOnce);
  Fleet.run([&]() -> asio::awaitable<void> {
    CHECK(co_await statusFor(
              Fleet, request("/read/x", bearer("any") +
                                            "Test-Account: a\r\n"
                                            "test-account: b\r\n"
                                            "authorization: c\r\n")) == 200);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"a", "b"});
    CHECK(valuesOf(Backend.Requests.back(), "Authorization") ==
          std::vector<std::string>{"Bearer any", "c"});
  });
}

// Guards against: a pause that is logged although nothing was measured.
TEST_CASE("without accounts a new version logs no pause") {
  std::string Log;
  {
    output_capture Output;
    fleet_fixture Fleet;
    Fleet.run([&]() -> asio::awaitable<void> {
      for (int Version = 0; Version < 2; ++Version) {
        co_await pauseFor(ApplyTime);
        publish(Fleet);
      }
      co_await pauseFor(ApplyTime);
    });
    Log = Output.finish();
  }
  CHECK(Log.find("members-changed") != std::string::npos);
  CHECK(eventsOf(Log, "event-loop-paused").empty());
}

// Guards against: an open connection that keeps to the configuration under
// which it was opened.
TEST_CASE("a new version is in force on open connections") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAtOnce);
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket Socket(Fleet.Context);
    const socket_address Address = fleet_fixture::listenAddress(0);
    co_await Socket.async_connect(
        {asio::ip::make_address(Address.Ip), Address.Port},
        asio::use_awaitable);
    const auto StatusNow = [&]() -> asio::awaitable<unsigned> {
      const std::string Text = request("/read/x", bearer("new"));
      co_await asio::async_write(Socket, asio::buffer(Text),
                                 asio::use_awaitable);
      std::string Received;
      std::array<char, 4096> Chunk{};
      while (Fleet.countResponses(Received) < 1)
        Received.append(Chunk.data(),
                        co_await Socket.async_read_some(asio::buffer(Chunk),
                                                        asio::use_awaitable));
      co_return Fleet.statusOf(Received);
    };
    std::vector<client_account> &Accounts = Fleet.Platform.Config.Accounts;
    CHECK(co_await StatusNow() == 401);
    Accounts[0].Keys.push_back("new");
    publish(Fleet);
    co_await pauseFor(ApplyTime);
    CHECK(co_await StatusNow() == 200);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"acme"});
    Accounts[0].Keys.pop_back();
    Accounts[1].Keys.push_back("new");
    publish(Fleet);
    co_await pauseFor(ApplyTime);
    CHECK(co_await StatusNow() == 200);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"other"});
    Accounts[1].Keys.pop_back();
    publish(Fleet);
    co_await pauseFor(ApplyTime);
    CHECK(co_await StatusNow() == 401);
    CHECK(Backend.Requests.size() == 2);
  });
}

// Guards against: a superseded version that comes back, and with it its keys.
TEST_CASE("a key that was removed stays removed") {
  fleet_fixture Fleet(2);
  Fleet.addBackend(respondAtOnce);
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(2));
    const routing_config Before = Fleet.Platform.Config;
    Fleet.Platform.Config.Accounts[0].Keys.clear();
    publish(Fleet);
    co_await pauseFor(seconds(2));
    for (int Number = 0; Number < 2; ++Number)
      CHECK(co_await statusFor(Fleet, request("/read/x", bearer("key-1")),
                               Number) == 401);
    Fleet.Platform.Config = Before;
    ++Fleet.Platform.Position.Revision;
    co_await pauseFor(seconds(1));
    for (int Number = 0; Number < 2; ++Number)
      CHECK(co_await statusFor(Fleet, request("/read/x", bearer("key-1")),
                               Number) == 401);
  });
}

// Guards against: a request with a removed key that is sent to a backend server
// because it was accepted earlier, or that is cut off after it was sent.
TEST_CASE("a request that waits for a slot gets 401 if its key is removed") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAfter800Ms);
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    slot_holders Sent(Fleet, bearer("key-1"));
    co_await pauseFor(milliseconds(50));
    CHECK(Backend.Requests.size() == 2);
    background_request Waiting;
    Waiting.Text = request("/read/x", bearer("key-1"));
    start(Fleet, Waiting);
    co_await pauseFor(milliseconds(50));
    Fleet.Platform.Config.Accounts[0].Keys.clear();
    publish(Fleet);
    co_await await(Waiting);
    CHECK(Fleet.statusOf(Waiting.Response) == 401);
    // The host needn't wait for the slot.
    CHECK(Waiting.Elapsed < milliseconds(600));
    for (background_request &Holder : Sent.Holders) {
      co_await await(Holder);
      CHECK(Fleet.statusOf(Holder.Response) == 200);
    }
    co_await pauseFor(milliseconds(100));
    CHECK(Backend.Requests.size() == 2);
    // The slots are free again.
    CHECK(co_await statusFor(Fleet, request("/read/x", bearer("key-2"))) ==
          200);
  });
}

// Guards against: the former account's name at the backend server.
TEST_CASE("a request that waits for a slot moves to its key's new account") {
  fleet_fixture Fleet;
  scripted_backend &Backend = Fleet.addBackend(respondAfter800Ms);
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    slot_holders Sent(Fleet, bearer("key-2"));
    co_await pauseFor(milliseconds(50));
    background_request Waiting;
    Waiting.Text = request("/read/x", bearer("key-1"));
    start(Fleet, Waiting);
    co_await pauseFor(milliseconds(50));
    Fleet.Platform.Config.Accounts[0].Keys = {"key-3"};
    Fleet.Platform.Config.Accounts[1].Keys = {"key-1", "key-2"};
    publish(Fleet);
    co_await await(Waiting);
    CHECK(Fleet.statusOf(Waiting.Response) == 200);
    CHECK(Backend.Requests.size() == 3);
    CHECK(lastAccounts(Backend) == std::vector<std::string>{"other"});
  });
}

// Guards against: anonymous requests that are still served on a route that was
// closed, or under the first version that has accounts.
TEST_CASE("a request without a key that waits is decided by the new version") {
  for (const bool HadAccounts : {true, false}) {
    CAPTURE(HadAccounts);
    fleet_fixture Fleet;
    scripted_backend &Backend = Fleet.addBackend(respondAfter800Ms);
    configure(Fleet);
    const std::vector<client_account> Accounts = Fleet.Platform.Config.Accounts;
    if (!HadAccounts)
      Fleet.Platform.Config.Accounts.clear();
    Fleet.run([&]() -> asio::awaitable<void> {
      slot_holders Sent(Fleet, bearer("key-1"));
      co_await pauseFor(milliseconds(50));
      background_request Anonymous;
      Anonymous.Text = request("/open/x", "");
      background_request WithKey;
      WithKey.Text =
          request("/read/x", bearer("key-1") + "Test-Account: forged\r\n");
      start(Fleet, Anonymous);
      start(Fleet, WithKey);
      co_await pauseFor(milliseconds(50));
      Fleet.Platform.Config.Accounts = Accounts;
      Fleet.Platform.Config.Routes.back().AllowAnonymous = false;
      publish(Fleet);
      co_await await(Anonymous);
      co_await await(WithKey);
      CHECK(Fleet.statusOf(Anonymous.Response) == 401);
      CHECK(Fleet.statusOf(WithKey.Response) == 200);
      CHECK(Backend.Requests.size() == 3);
      CHECK(lastAccounts(Backend) == std::vector<std::string>{"acme"});
      CHECK(valuesOf(Backend.Requests.back(), "Authorization").empty());
    });
  }
}

// Guards against: a retry with a key that was removed after the first attempt;
// and a 401 for a request that may have run.
TEST_CASE("a removed key prevents retries") {
  for (const bool NotRun : {true, false}) {
    CAPTURE(NotRun);
    fleet_fixture Fleet;
    const backend_script Fail =
        [NotRun](http_request Request) -> asio::awaitable<http_response> {
      co_await pauseFor(milliseconds(500));
      if (!NotRun)
        co_return rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
      http_response Response = signedResponse(Request, 503);
      Response.Headers.push_back({TestNames.NotRun, "1"});
      co_return Response;
    };
    scripted_backend &First = Fleet.addBackend(Fail);
    scripted_backend &Second = Fleet.addBackend(Fail);
    configure(Fleet);
    Fleet.run([&]() -> asio::awaitable<void> {
      background_request Request;
      Request.Text = request("/read/x", bearer("key-1"));
      start(Fleet, Request);
      co_await pauseFor(milliseconds(50));
      Fleet.Platform.Config.Accounts[0].Keys.clear();
      publish(Fleet);
      co_await await(Request);
      CHECK(Fleet.statusOf(Request.Response) == (NotRun ? 401 : 502));
      co_await pauseFor(milliseconds(100));
      CHECK(First.Requests.size() + Second.Requests.size() == 1);
    });
  }
}

// Guards against: a hedge with a key that was removed after the first attempt.
TEST_CASE("a removed key prevents hedges") {
  for (const bool Removed : {false, true}) {
    CAPTURE(Removed);
    fleet_fixture Fleet;
    scripted_backend &First = Fleet.addBackend(respondAfter800Ms);
    scripted_backend &Second = Fleet.addBackend(respondAfter800Ms);
    configure(Fleet);
    Fleet.run([&]() -> asio::awaitable<void> {
      background_request Request;
      Request.Text = request("/read/x", bearer("key-1"));
      start(Fleet, Request);
      co_await pauseFor(milliseconds(20));
      if (Removed)
        Fleet.Platform.Config.Accounts[0].Keys.clear();
      publish(Fleet);
      co_await await(Request);
      CHECK(Fleet.statusOf(Request.Response) == 200);
      CHECK(First.Requests.size() + Second.Requests.size() ==
            (Removed ? 1U : 2U));
    });
  }
}

// Guards against: 401 for a key that a newer version, which this host has
// missed, may have added; and an outage for keys that are known.
TEST_CASE("a host without a confirmed configuration answers 503 and not 401") {
  fleet_fixture Fleet;
  Fleet.addBackend(respondAtOnce);
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    CHECK(co_await statusFor(Fleet, request("/read/x", "")) == 401);
    Fleet.PlatformConnections[0]->Disconnected = true;
    co_await pauseFor(ConfirmationTime);
    for (const std::string &Lines :
         {std::string(), bearer("bad"), bearer("a") + bearer("b")}) {
      const std::string Response =
          co_await Fleet.sendAndReceive(request("/read/x", Lines));
      CHECK(Fleet.statusOf(Response) == 503);
      CHECK(Response.find("Retry-After: 0.") != std::string::npos);
    }
    CHECK(co_await statusFor(Fleet, request("/read/x", bearer("key-1"))) ==
          200);
  });
}

// Guards against: 401 from a host that has no configuration yet.
TEST_CASE("a host without a configuration answers 503") {
  fleet_fixture Fleet;
  Fleet.Platform.Down = true;
  configure(Fleet);
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::string Response =
        co_await Fleet.sendAndReceive(request("/read/x", bearer("key-1")));
    CHECK(Fleet.statusOf(Response) == 503);
    CHECK(Response.find("Retry-After: ") != std::string::npos);
  });
}

// Guards against: a key in the log, the state, the metrics, a response or a
// request to a backend server; and a 401 that can't be traced.
TEST_CASE("a key appears nowhere, and a 401 is logged and counted") {
  std::string Log;
  std::string Seen;
  {
    output_capture Output;
    fleet_fixture Fleet(2);
    scripted_backend &Backend = Fleet.addBackend(respondAtOnce);
    configure(Fleet);
    Fleet.Platform.Config.Accounts[0].Keys = {"SECRET-known"};
    Fleet.run([&]() -> asio::awaitable<void> {
      for (const std::string &Lines :
           {bearer("SECRET-known"), bearer("SECRET-unknown"),
            bearer("SECRET two"), bearer("SECRET-known") + bearer("SECRET-b"),
            std::string("Authorization: SECRET\r\n")})
        Seen += co_await Fleet.sendAndReceive(
            request("/read/x", Lines, "GET", "id-1"));
      Fleet.Platform.Config.Accounts[0].Keys = {"SECRET-other"};
      publish(Fleet);
      co_await pauseFor(ApplyTime);
      Seen += co_await Fleet.sendAndReceive(
          request("/nowhere", bearer("SECRET-known")));
      Seen += co_await fetch(Fleet, "/state");
      Seen += co_await fetch(Fleet, "/metrics");
      for (const auto &Host : Fleet.Hosts)
        logEvent(log_level::Info, "state", Host->dump());
      for (const http_request &Request : Backend.Requests)
        for (const http_header &Header : Request.Headers)
          Seen += Header.Name + ": " + Header.Value + "\n";
      CHECK(Fleet.Hosts[0]->dump().at("accounts").to_number<int>() == 2);
    });
    Log = Output.finish();
  }
  CHECK(Seen.find("SECRET") == std::string::npos);
  CHECK(Log.find("SECRET") == std::string::npos);
  CHECK(Seen.find("Authorization") == std::string::npos);
  CHECK(
      Seen.find("coriandertray_unauthorized_total{reason=\"key-unknown\"} 1") !=
      std::string::npos);
  const std::vector<json::object> Refused = eventsOf(Log, "unauthorized");
  std::multiset<std::string> Reasons;
  for (const json::object &Line : Refused) {
    CHECK(stringAt(Line, "request_id") == "id-1");
    CHECK(stringAt(Line, "route") == "read");
    CHECK(numberAt(Line, "config_version") == 1);
    Reasons.insert(stringAt(Line, "reason"));
  }
  CHECK(Reasons == std::multiset<std::string>{"key-doubled", "key-malformed",
                                              "key-malformed", "key-unknown"});
  const std::vector<json::object> Ended = eventsOf(Log, "request-ended");
  REQUIRE(Ended.size() == 1);
  CHECK(stringAt(Ended[0], "account") == "acme");
}
