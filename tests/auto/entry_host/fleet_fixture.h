/// \file
/// Entry hosts, backend servers and a platform in one process, on loopback
/// addresses.
#pragma once

#include "entry_host/entry_host.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriandertray::testing {

const header_names TestNames = {
    "Test-Request-Id", "Test-Deadline-Ms", "Test-Signature",
    "Test-Target",     "Test-Load",        "Test-Not-Run",
    "Test-Rate-Limit", "Test-Leaving",     "Test-Account"};

/// The level of the log lines that the test program writes; set it before the
/// first fleet_fixture is built.
inline log_level TestLogLevel = log_level::Error;

/// The steady clock, and jumps of it that a test makes.
class shifted_clock final : public clock_source {
public:
  [[nodiscard]] time_point now() const override {
    return Steady.now() + Paused;
  }
  [[nodiscard]] duration uptime() const override {
    return Steady.uptime() + Paused + Suspended;
  }
  /// Makes it look as if no process had run for \p Time.
  void pause(duration Time) { Paused += Time; }
  /// Makes it look as if the system had been suspended for \p Time.
  void suspend(duration Time) { Suspended += Time; }

private:
  steady_clock_source Steady;
  duration Paused{0};
  duration Suspended{0};
};

/// A platform that keeps its objects in memory.
class in_memory_platform final : public platform_port {
public:
  asio::awaitable<result<config_document>> readConfig() override {
    if (Down)
      co_return fail(error_code::PlatformUnreachable, "down");
    co_return config_document{Position, "held"};
  }

  asio::awaitable<result<std::optional<config_document>>>
  awaitConfig(history_position Since, duration Wait) override {
    if (Down)
      co_return fail(error_code::PlatformUnreachable, "down");
    asio::steady_timer Timer(co_await asio::this_coro::executor);
    const time_point End = std::chrono::steady_clock::now() + Wait;
    while (Position <= Since && std::chrono::steady_clock::now() < End) {
      Timer.expires_after(milliseconds(5));
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (Position <= Since)
      co_return std::optional<config_document>();
    co_return config_document{Position, "held"};
  }

  [[nodiscard]] result<routing_config>
  decodeConfig(const config_document &) const override {
    return Config;
  }

  asio::awaitable<result<backend_listing>> readBackends() override {
    if (Down)
      co_return fail(error_code::PlatformUnreachable, "down");
    co_return backend_listing{Backends, Position.Epoch,
                              std::chrono::steady_clock::now()};
  }

  asio::awaitable<result<backend_listing>>
  awaitBackends(duration Wait) override {
    co_return co_await awaitBackends(Wait, std::nullopt);
  }

  /// Waits for another list than \p Seen.
  asio::awaitable<result<backend_listing>>
  awaitBackends(duration Wait,
                std::optional<std::vector<backend_registration>> Seen) {
    const time_point End = std::chrono::steady_clock::now() + Wait;
    asio::steady_timer Timer(co_await asio::this_coro::executor);
    while (!Down && Backends == Seen &&
           std::chrono::steady_clock::now() < End) {
      Timer.expires_after(milliseconds(5));
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return co_await readBackends();
  }

  asio::awaitable<result<std::vector<fleet_member>>>
  readMembers(bool) override {
    if (Down)
      co_return fail(error_code::PlatformUnreachable, "down");
    co_return Members;
  }

  asio::awaitable<result<void>> addMember(fleet_member Member) override {
    Members.push_back(Member);
    co_return result<void>();
  }

  asio::awaitable<result<void>> removeMember(std::string Host) override {
    std::erase_if(Members, [&Host](const fleet_member &Member) {
      return Member.Host == Host;
    });
    co_return result<void>();
  }

  bool Down = false;
  /// The position of Config in the store's history.
  history_position Position = {1, 1};
  routing_config Config;
  std::vector<backend_registration> Backends;
  std::vector<fleet_member> Members;
};

/// One host's connection to the platform, which a test can interrupt.
class platform_connection final : public platform_port {
public:
  explicit platform_connection(in_memory_platform &Platform)
      : Platform(Platform) {}

  asio::awaitable<result<config_document>> readConfig() override {
    if (Disconnected)
      co_return fail(error_code::PlatformUnreachable, "cut");
    co_return co_await Platform.readConfig();
  }

  asio::awaitable<result<std::optional<config_document>>>
  awaitConfig(history_position Since, duration Wait) override {
    if (Disconnected)
      co_return fail(error_code::PlatformUnreachable, "cut");
    co_return co_await Platform.awaitConfig(Since, Wait);
  }

  [[nodiscard]] result<routing_config>
  decodeConfig(const config_document &Document) const override {
    return Platform.decodeConfig(Document);
  }

  asio::awaitable<result<backend_listing>> readBackends() override {
    ++BackendReads;
    if (Disconnected)
      co_return fail(error_code::PlatformUnreachable, "cut");
    co_return co_await Platform.readBackends();
  }

  asio::awaitable<result<backend_listing>>
  awaitBackends(duration Wait) override {
    ++BackendReads;
    if (Disconnected)
      co_return fail(error_code::PlatformUnreachable, "cut");
    result<backend_listing> Listed =
        co_await Platform.awaitBackends(Wait, Seen);
    if (Disconnected)
      co_return fail(error_code::PlatformUnreachable, "cut");
    if (Listed)
      Seen = Listed->Servers;
    co_return Listed;
  }

  asio::awaitable<result<std::vector<fleet_member>>>
  readMembers(bool MayBeOld) override {
    if (Disconnected)
      co_return fail(error_code::PlatformUnreachable, "cut");
    co_return co_await Platform.readMembers(MayBeOld);
  }

  asio::awaitable<result<void>> addMember(fleet_member Member) override {
    if (Disconnected)
      co_return fail(error_code::PlatformUnreachable, "cut");
    co_return co_await Platform.addMember(Member);
  }

  asio::awaitable<result<void>> removeMember(std::string Host) override {
    co_return co_await Platform.removeMember(Host);
  }

  bool Disconnected = false;
  int BackendReads = 0;

private:
  /// What the last call of awaitBackends() returned.
  std::optional<std::vector<backend_registration>> Seen;
  in_memory_platform &Platform;
};

using backend_script =
    std::function<asio::awaitable<http_response>(http_request)>;

/// \returns a complete, signed response to \p Request.
inline http_response signedResponse(const http_request &Request,
                                    unsigned Status = 200,
                                    std::string Body = "whole") {
  http_response Response;
  Response.Status = Status;
  Response.Headers = {
      {TestNames.RequestId,
       findHeader(Request.Headers, TestNames.RequestId).value_or("")},
      {TestNames.Signature, "signed"}};
  Response.Body = std::move(Body);
  return Response;
}

/// \returns a response that is written to the connection as \p Bytes verbatim.
inline http_response rawResponse(std::string Bytes) {
  http_response Response;
  Response.RawBytes = std::move(Bytes);
  return Response;
}

inline asio::awaitable<void> pauseFor(duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// A backend server that runs a script and records the requests it gets.
struct scripted_backend {
  scripted_backend(asio::io_context &Context, std::string Name,
                   socket_address Address, backend_script Script)
      : Name(std::move(Name)), Address(std::move(Address)),
        Script(std::move(Script)),
        Server(Context, {},
               [this](http_request Request, std::shared_ptr<peer_connection>) {
                 Requests.push_back(Request);
                 return this->Script(std::move(Request));
               }) {
    REQUIRE(Server.listen(this->Address).has_value());
  }

  std::string Name;
  socket_address Address;
  backend_script Script;
  std::vector<http_request> Requests;
  http_server Server;
};

class fleet_fixture {
public:
  explicit fleet_fixture(int Hosts = 1, relay_policy Relays = {},
                         std::uint64_t MemoryBytes = 160U << 20U)
      : Relays(Relays), MemoryBytes(MemoryBytes) {
    static const bool Quiet = [] {
      startLogging("test", "", TestLogLevel);
      return true;
    }();
    REQUIRE(Quiet);
    Platform.Config.Version = 1;
    addRoute("read", "/read/", true);
    addRoute("book", "/book/", false);
    for (int Number = 0; Number < Hosts; ++Number)
      addHost(Number);
  }

  void addRoute(const std::string &Name, const std::string &Prefix,
                bool Idempotent) {
    route_rule Route;
    Route.Name = Name;
    Route.Host = "a.example";
    Route.PathPrefix = Prefix;
    Route.Idempotent = Idempotent;
    Route.Timeout = milliseconds(1500);
    Route.TargetLatency = milliseconds(1000);
    Route.MaxAttempts = 2;
    Route.Services = {{"one", 1}};
    Platform.Config.Routes.push_back(Route);
  }

  scripted_backend &addBackend(backend_script Script) {
    const auto Number = Backends.size();
    const socket_address Address = {"127.97.3." + std::to_string(1 + Number),
                                    18'300};
    Backends.push_back(std::make_unique<scripted_backend>(
        Context, "server-" + std::to_string(Number), Address,
        std::move(Script)));
    Platform.Backends.push_back({Backends.back()->Name, "one", Address, "a", 2,
                                 false, milliseconds(0), 1});
    return *Backends.back();
  }

  /// Starts the hosts, waits until they are ready unless the platform is down,
  /// and runs \p Steps.
  void run(const std::function<asio::awaitable<void>()> &Steps) {
    for (const auto &Host : Hosts)
      REQUIRE(Host->start().has_value());
    asio::co_spawn(
        Context,
        [this, &Steps]() -> asio::awaitable<void> {
          while (!Platform.Down && !std::ranges::all_of(Hosts, isReady))
            co_await pauseFor(milliseconds(10));
          co_await Steps();
          Context.stop();
        },
        asio::detached);
    Context.run();
  }

  static bool isReady(const std::unique_ptr<entry_host> &Host) {
    return Host->dump().at("view").as_object().at("complete").as_bool();
  }

  static socket_address listenAddress(int Number) {
    return {"127.97.2." + std::to_string(1 + Number), 18'200};
  }

  /// Sends \p Bytes on a new connection to host \p Number and reads until
  /// \p Responses complete responses have arrived or the connection ends.
  asio::awaitable<std::string>
  sendAndReceive(std::string Bytes, std::size_t Responses = 1, int Number = 0) {
    constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
    asio::ip::tcp::socket Socket(Context);
    const socket_address Address = listenAddress(Number);
    const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address(Address.Ip),
                                           Address.Port);
    co_await Socket.async_connect(Endpoint, UseTuple);
    co_await asio::async_write(Socket, asio::buffer(Bytes), UseTuple);
    std::string Received;
    std::array<char, 4096> Chunk{};
    while (countResponses(Received) < Responses) {
      auto [Failure, Count] =
          co_await Socket.async_read_some(asio::buffer(Chunk), UseTuple);
      if (Failure)
        break;
      Received.append(Chunk.data(), Count);
    }
    co_return Received;
  }

  static std::string requestText(const std::string &Method,
                                 const std::string &Target,
                                 const std::string &Id) {
    return Method + " " + Target + " HTTP/1.1\r\nHost: a.example\r\n" +
           TestNames.RequestId + ": " + Id + "\r\n" + TestNames.DeadlineMs +
           ": 3000\r\nContent-Length: 0\r\n\r\n";
  }

  static std::size_t countResponses(const std::string &Text) {
    std::size_t Count = 0;
    std::size_t At = 0;
    for (;;) {
      const std::size_t End = Text.find("\r\n\r\n", At);
      if (End == std::string::npos)
        return Count;
      const std::size_t Length = Text.find("Content-Length: ", At);
      std::size_t Size = 0;
      if (Length < End)
        Size = std::stoul(Text.substr(Length + 16));
      At = End + 4 + Size;
      if (At > Text.size())
        return Count;
      ++Count;
    }
  }

  static unsigned statusOf(const std::string &Text) {
    constexpr std::size_t StatusAt = 9;
    return Text.size() > StatusAt
               ? static_cast<unsigned>(std::stoul(Text.substr(StatusAt, 3)))
               : 0;
  }

  asio::io_context Context;
  shifted_clock Clock;
  in_memory_platform Platform;
  /// The connection of each host, in the order of Hosts.
  std::vector<std::unique_ptr<platform_connection>> PlatformConnections;
  std::vector<std::unique_ptr<scripted_backend>> Backends;
  std::vector<std::unique_ptr<entry_host>> Hosts;

private:
  relay_policy Relays;
  std::uint64_t MemoryBytes;

  void addHost(int Number) {
    host_settings Settings;
    const std::string Ip = listenAddress(Number).Ip;
    Settings.Host = "host-" + std::to_string(Number);
    Settings.Zone = "a";
    Settings.Listen = listenAddress(Number);
    Settings.Readiness = {Ip, 18'201};
    Settings.Peers = {Ip, 18'202};
    Settings.AdvertisedPeers = Settings.Peers;
    Settings.Metrics = {Ip, 18'203};
    Settings.Retries = {0.2, seconds(10), 60};
    Settings.GracePeriod = seconds(1);
    Settings.Relays = Relays;
    Settings.MemoryBytes = MemoryBytes;
    PlatformConnections.push_back(
        std::make_unique<platform_connection>(Platform));
    Hosts.push_back(std::make_unique<entry_host>(
        Context, Clock, Settings, TestNames, *PlatformConnections.back()));
  }
};

} // namespace coriandertray::testing
