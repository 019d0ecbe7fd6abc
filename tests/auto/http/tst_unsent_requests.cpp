#include "http/http_client.h"
#include "raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

// A call that ends as not sent is repeated. So no byte of its request may have
// been written, however the connection ends.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address ServerAddress = {"127.97.0.5", 18'095};
// More than the buffers of a loopback connection take.
constexpr std::size_t LongBodyBytes = 32U << 20U;

http_request makeRequest(const std::string &Id, std::size_t BodyBytes) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/";
  Request.Headers = {{std::string(header::RequestId), Id}};
  Request.Body.assign(BodyBytes, 'x');
  return Request;
}

std::string answerTo(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\n" + std::string(header::RequestId) + ": " + Id +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// One call, on a new connection or on one that carried a call before.
struct tried_call {
  bool Reused = false;
  std::size_t BodyBytes = 0;
  /// What the server does once it has read the head.
  raw_reply Reply;
  duration Timeout = seconds(5);
  /// When the call is cancelled; zero for never.
  duration CancelAfter{0};
};

struct tried_call_end {
  call_result Result;
  /// Whether the server got the head of the request.
  bool Arrived = false;
};

tried_call_end tryCall(const tried_call &Tried) {
  asio::io_context Context;
  tried_call_end End;
  raw_server Server(Context, ServerAddress,
                    [&](const raw_request &Request) -> raw_reply {
                      if (Request.Head.find("first") != std::string::npos)
                        return {answerTo("first")};
                      End.Arrived = true;
                      return Tried.Reply;
                    });
  http_client Client(Context, {});
  const auto Canceller = std::make_shared<call_canceller>();
  asio::steady_timer CancelTimer(Context);
  const auto Steps = [&]() -> asio::awaitable<void> {
    const call_options Options;
    if (Tried.Reused) {
      http_request First = makeRequest("first", 0);
      co_await Client.call(ServerAddress, std::move(First), Options);
      REQUIRE(Client.idleConnectionCount() == 1);
    }
    if (Tried.CancelAfter > duration::zero()) {
      CancelTimer.expires_after(Tried.CancelAfter);
      CancelTimer.async_wait(
          [Canceller](boost::system::error_code) { Canceller->cancel(); });
    }
    call_options Limited;
    Limited.Timeout = Tried.Timeout;
    http_request Second = makeRequest("second", Tried.BodyBytes);
    End.Result = co_await Client.call(ServerAddress, std::move(Second), Limited,
                                      Canceller);
    // Lets the server read what was written.
    asio::steady_timer Pause(Context, milliseconds(20));
    co_await Pause.async_wait(asio::as_tuple(asio::use_awaitable));
    Context.stop();
  };
  asio::co_spawn(Context, Steps(), asio::detached);
  Context.run();
  return End;
}

} // namespace

TEST_CASE("a request of which a byte was written is not taken for unsent") {
  std::vector<tried_call> Ends;
  for (const after_reply Then : {after_reply::Close, after_reply::Reset})
    for (const milliseconds Pause : {milliseconds(0), milliseconds(50)})
      Ends.push_back({.Reply = {"", Then, Pause}});
  for (const duration Short :
       {duration(0), duration(std::chrono::microseconds(50)),
        duration(milliseconds(50))})
    Ends.push_back({.Timeout = Short});
  Ends.push_back({.CancelAfter = milliseconds(50)});
  for (tried_call &Tried : Ends)
    for (const bool Reused : {false, true})
      for (const std::size_t BodyBytes : {std::size_t{0}, LongBodyBytes}) {
        Tried.Reused = Reused;
        Tried.BodyBytes = BodyBytes;
        const tried_call_end End = tryCall(Tried);
        CAPTURE(Reused);
        CAPTURE(BodyBytes);
        CAPTURE(callStatusName(End.Result.Status));
        CHECK(End.Result.Status != call_status::Answered);
        CHECK_FALSE((End.Arrived && provesNotRun(End.Result.Status)));
        // The head of a request on a kept connection is written at once.
        if (Reused)
          CHECK(End.Arrived);
      }
}

namespace {

struct reset_call {
  call_status Status = call_status::Answered;
  /// What the server had received when it reset the connection.
  std::size_t ReceivedBytes = 0;
};

/// The server resets the connection \p Turns turns of the event loop after the
/// call began.
reset_call callAndReset(int Turns) {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(
      Context, {asio::ip::make_address(ServerAddress.Ip), ServerAddress.Port});
  http_client Client(Context, {});
  reset_call Call;
  const auto Send = [&]() -> asio::awaitable<void> {
    http_request Request = makeRequest("mine", 0);
    const call_options Options;
    const call_result Result =
        co_await Client.call(ServerAddress, std::move(Request), Options);
    Call.Status = Result.Status;
  };
  std::function<void()> Reset = [&] {
    if (--Turns >= 0) {
      asio::post(Context, Reset);
      return;
    }
    asio::ip::tcp::socket Socket = Acceptor.accept();
    Call.ReceivedBytes = Socket.available();
    // The destructor of a socket would turn lingering off again.
    Socket.set_option(asio::socket_base::linger(true, 0));
    Socket.close();
  };
  asio::co_spawn(Context, Send(), asio::detached);
  asio::post(Context, Reset);
  Context.run();
  return Call;
}

} // namespace

TEST_CASE("a request counts as unsent just if its connection was reset before "
          "the first byte") {
  constexpr int MaxTurns = 8;
  std::set<call_status> Seen;
  for (int Turns = 0; Turns <= MaxTurns; ++Turns) {
    const reset_call Call = callAndReset(Turns);
    CAPTURE(Turns);
    CAPTURE(callStatusName(Call.Status));
    CHECK(provesNotRun(Call.Status) == (Call.ReceivedBytes == 0));
    Seen.insert(Call.Status);
  }
  CHECK(Seen.contains(call_status::ConnectFailed));
  CHECK(Seen.contains(call_status::Lost));
}
