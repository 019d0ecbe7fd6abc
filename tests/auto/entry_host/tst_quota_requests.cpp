#include "fleet_fixture.h"

// Requests of client accounts with a quota, from the caller's side.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr int HostCount = 3;

asio::awaitable<http_response> respondSuccessfully(http_request Request) {
  co_await pauseFor(milliseconds(2));
  co_return signedResponse(Request);
}

std::string requestWithKey(const std::string &Key) {
  return "GET /read/x HTTP/1.1\r\nHost: a.example\r\n" + TestNames.RequestId +
         ": r\r\n" + TestNames.DeadlineMs + ": 3000\r\nAuthorization: Bearer " +
         Key + "\r\nContent-Length: 0\r\n\r\n";
}

void addAccount(fleet_fixture &Fleet, const std::string &Name,
                const account_quota &Quota) {
  client_account Account;
  Account.Name = Name;
  Account.Keys = {"key-of-" + Name};
  Account.Quota = Quota;
  Fleet.Platform.Config.Accounts.push_back(Account);
}

} // namespace

// Guards against requests beyond a quota that reach backend servers, against a
// refusal without a Retry-After, and against a quota of one account that
// affects another.
TEST_CASE("requests beyond the quota get 429 until the stated time") {
  fleet_fixture Fleet(HostCount);
  addAccount(Fleet, "limited", {10, 5});
  addAccount(Fleet, "unlimited", {});
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(3));
    int Allowed = 0;
    std::string Refusal;
    const time_point Start = Fleet.Clock.now();
    for (int Number = 0; Number < 60; ++Number) {
      const std::string Response = co_await Fleet.sendAndReceive(
          requestWithKey("key-of-limited"), 1, Number % HostCount);
      if (Fleet.statusOf(Response) == 200)
        ++Allowed;
      else
        Refusal = Response;
    }
    const double Elapsed = toSeconds(Fleet.Clock.now() - Start);
    CHECK(Allowed >= 5);
    CHECK(Allowed <= 5 + 10 * Elapsed);
    CHECK(Fleet.Backends[0]->Requests.size() ==
          static_cast<std::size_t>(Allowed));
    CHECK(Fleet.statusOf(Refusal) == 429);
    CHECK(Refusal.find("quota-exceeded") != std::string::npos);
    CHECK(Refusal.find("Retry-After: ") != std::string::npos);
    CHECK(Refusal.find(TestNames.RequestId + ": r\r\n") != std::string::npos);
    CHECK(Refusal.find("key-of-limited") == std::string::npos);
    for (const http_request &Request : Fleet.Backends[0]->Requests)
      CHECK(findHeader(Request.Headers, TestNames.Account) == "limited");
    // Requests without a known key take no tokens and reach no quota.
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(
              requestWithKey("key-of-nobody"))) == 401);
    for (int Number = 0; Number < 30; ++Number) {
      const std::string Response = co_await Fleet.sendAndReceive(
          requestWithKey("key-of-unlimited"), 1, Number % HostCount);
      CHECK(Fleet.statusOf(Response) == 200);
    }
    co_await pauseFor(seconds(1));
    const std::string Response =
        co_await Fleet.sendAndReceive(requestWithKey("key-of-limited"), 1, 1);
    CHECK(Fleet.statusOf(Response) == 200);
  });
}

// Guards against a new limit that takes effect only after a restart.
TEST_CASE("a changed limit is in force on all hosts") {
  fleet_fixture Fleet(HostCount);
  addAccount(Fleet, "limited", {1, 1});
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(2));
    Fleet.Platform.Config.Accounts[0].Quota = {1000, 1000};
    Fleet.Platform.Config.Version = 5;
    Fleet.Platform.Position.Revision = 5;
    co_await pauseFor(milliseconds(2500));
    for (int Number = 0; Number < 60; ++Number) {
      const std::string Response = co_await Fleet.sendAndReceive(
          requestWithKey("key-of-limited"), 1, Number % HostCount);
      CHECK(Fleet.statusOf(Response) == 200);
    }
  });
}

// Guards against 429 from a host that can't know whether the quota is used up,
// and against requests that are served without a limit there.
TEST_CASE("a host that reaches no owner answers 503 and not 429") {
  fleet_fixture Fleet;
  addAccount(Fleet, "limited", {10, 5});
  addAccount(Fleet, "unlimited", {});
  const std::uint32_t Capacity = host_settings().CapacityMillicores;
  for (const std::string Name : {"lost-0", "lost-1"})
    Fleet.Platform.Members.push_back(
        {Name, "a", {"127.97.2.90", 18'202}, Capacity});
  Fleet.addBackend(respondSuccessfully);
  Fleet.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(seconds(1));
    for (int Number = 0; Number < 20; ++Number) {
      const std::string Response =
          co_await Fleet.sendAndReceive(requestWithKey("key-of-limited"));
      CHECK(Fleet.statusOf(Response) == 503);
      CHECK(Response.find("quota-unavailable") != std::string::npos);
      CHECK(Response.find("Retry-After: 0.5") != std::string::npos);
    }
    // The hosts of the fixture tolerate no excess that could be shared out.
    CHECK(Fleet.Backends[0]->Requests.empty());
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(
              requestWithKey("key-of-unlimited"))) == 200);
  });
}
