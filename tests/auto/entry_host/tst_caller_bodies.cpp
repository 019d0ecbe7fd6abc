#include "fleet_fixture.h"

#include <fstream>
#include <utility>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr std::uint64_t MiB = 1U << 20U;
// Leaves room for 3 MiB of bodies.
constexpr std::uint64_t MemoryBytes = 46 * MiB;

std::string head(const std::string &Id, const std::string &Framing) {
  return "POST /book/x HTTP/1.1\r\nHost: a.example\r\n" + TestNames.RequestId +
         ": " + Id + "\r\n" + TestNames.DeadlineMs + ": 3000\r\n" + Framing +
         "\r\n\r\n";
}

std::string postWithLength(const std::string &Id, std::size_t Bytes) {
  return head(Id, "Content-Length: " + std::to_string(Bytes)) +
         std::string(Bytes, 'b');
}

asio::awaitable<http_response> respondLater(http_request Request) {
  co_await pauseFor(milliseconds(600));
  co_return signedResponse(Request);
}

} // namespace

// Guards against: callers that send large bodies at the same time take the host
// over its memory, and the requests of all others end with it.
TEST_CASE("the bodies that a host holds fit into its memory together") {
  fleet_fixture Fleet(1, {}, MemoryBytes);
  scripted_backend &Backend = Fleet.addBackend(respondLater);
  constexpr std::size_t CallerCount = 8;
  std::vector<std::string> Responses(CallerCount);
  std::string SmallResponse;
  Fleet.run([&]() -> asio::awaitable<void> {
    std::size_t Ended = 0;
    const auto Send = [&](std::size_t Index) -> asio::awaitable<void> {
      Responses[Index] = co_await Fleet.sendAndReceive(
          postWithLength("r" + std::to_string(Index), MiB));
      ++Ended;
    };
    for (std::size_t Index = 0; Index < CallerCount; ++Index)
      asio::co_spawn(Fleet.Context, Send(Index), asio::detached);
    co_await pauseFor(milliseconds(100));
    SmallResponse =
        co_await Fleet.sendAndReceive(postWithLength("small", 1000));
    while (Ended < CallerCount)
      co_await pauseFor(milliseconds(10));
  });
  CHECK(Fleet.statusOf(SmallResponse) == 200);
  std::size_t Refused = 0;
  for (const std::string &Response : Responses) {
    const bool IsRefused = Fleet.statusOf(Response) == 503;
    Refused += IsRefused ? 1 : 0;
    if (IsRefused)
      CHECK(Response.find("Retry-After") != std::string::npos);
  }
  CHECK(Refused >= CallerCount - 3);
  CHECK(Backend.Requests.size() <= 3 + 1);
}

// Guards against: a body in chunks that has no end, which no length announces.
TEST_CASE("a body in chunks is refused once it doesn't fit") {
  fleet_fixture Fleet(1, {}, MemoryBytes);
  scripted_backend &Backend = Fleet.addBackend(respondLater);
  std::string Response;
  Fleet.run([&]() -> asio::awaitable<void> {
    std::string Text = head("r1", "Transfer-Encoding: chunked");
    const std::string Chunk = "10000\r\n" + std::string(0x10000, 'c') + "\r\n";
    while (Text.size() < 8 * MiB)
      Text += Chunk;
    Response = co_await Fleet.sendAndReceive(Text);
  });
  CHECK(Fleet.statusOf(Response) == 503);
  CHECK(Backend.Requests.empty());
}

// The memory is given back, also after a refusal.
TEST_CASE("large bodies are taken one after the other") {
  fleet_fixture Fleet(1, {}, MemoryBytes);
  Fleet.addBackend([](http_request Request) -> asio::awaitable<http_response> {
    co_return signedResponse(Request);
  });
  Fleet.run([&]() -> asio::awaitable<void> {
    (void)co_await Fleet.sendAndReceive(postWithLength("r", 4 * MiB));
    for (int Count = 0; Count < 6; ++Count)
      CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(
                postWithLength("r" + std::to_string(Count), 2 * MiB))) == 200);
  });
}

namespace {

/// Sends \p Begin and then zeros until the host closes the connection. \returns
/// whether it did, before a time that only a host that never does so needs.
asio::awaitable<bool> closesEndlessInput(fleet_fixture &Fleet,
                                         std::uint16_t Port,
                                         std::string Begin) {
  constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
  constexpr duration GiveUpAfter = seconds(20);
  const std::string Ip = fleet_fixture::listenAddress(0).Ip;
  asio::ip::tcp::socket Socket(Fleet.Context);
  co_await Socket.async_connect({asio::ip::make_address(Ip), Port}, UseTuple);
  const time_point End = Fleet.Clock.now() + GiveUpAfter;
  std::string Next = std::move(Begin);
  while (Fleet.Clock.now() < End) {
    auto [Failure, Count] =
        co_await asio::async_write(Socket, asio::buffer(Next), UseTuple);
    if (Failure)
      co_return true;
    Next = std::string(0x10000, '0');
  }
  co_return false;
}

/// \returns the peak of this process's resident memory, in bytes.
std::uint64_t peakMemory() {
  std::ifstream Status("/proc/self/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoull(Line.substr(6)) * 1024;
  return 0;
}

} // namespace

// Guards against: bytes without end from a caller, the load balancer, another
// host or an operator are kept in memory.
TEST_CASE("a host closes connections that send bytes without end") {
  fleet_fixture Fleet;
  Fleet.addBackend(respondLater);
  const std::uint16_t Callers = 18'200;
  const std::uint16_t Readiness = 18'201;
  const std::uint16_t Peers = 18'202;
  const std::uint16_t Operators = 18'203;
  const std::string FrameOfOneMiB("\x00\x00\x10\x00", 4);
  const std::string Chunked =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::uint16_t, std::string>> Inputs = {
      {Callers, "GET /"},    {Callers, "GET / HTTP/1.1\r\nX: "},
      {Callers, Chunked},    {Callers, Chunked + "4;x="},
      {Readiness, "GET /"},  {Readiness, Chunked},
      {Operators, "GET /"},  {Operators, "GET / HTTP/1.1\r\nX: "},
      {Operators, Chunked},  {Peers, "\xff\xff\xff\xff"},
      {Peers, FrameOfOneMiB}};
  Fleet.run([&]() -> asio::awaitable<void> {
    const std::uint64_t PeakBefore = peakMemory();
    REQUIRE(PeakBefore > 0);
    for (const auto &[Port, Begin] : Inputs) {
      INFO(Port, Begin);
      const bool IsClosed = co_await closesEndlessInput(Fleet, Port, Begin);
      CHECK(IsClosed);
    }
    CHECK(peakMemory() - PeakBefore < 48 * MiB);
    CHECK(Fleet.statusOf(co_await Fleet.sendAndReceive(
              postWithLength("last", 10))) == 200);
  });
}
