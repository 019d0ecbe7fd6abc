#include "http/http_client.h"
#include "raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

// The trace of a call tells a request that a server refused from one whose
// refusal was a response to something else on the same connection.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address ServerAddress = {"127.97.0.5", 18'100};
const socket_address ClosedAddress = {"127.97.0.5", 1};

std::string responseTo(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\n" + std::string(header::RequestId) + ": " + Id +
         "\r\nContent-Length: 2\r\n\r\nok";
}

struct traced_call {
  socket_address Address = ServerAddress;
  std::string Id;
  std::size_t BodyBytes = 0;
  std::shared_ptr<call_canceller> Canceller;
};

/// \returns the results of \p Calls, made one after the other with one client
/// to a server that replies by \p Script.
std::vector<call_result> callInTurn(const std::vector<traced_call> &Calls,
                                    raw_server::script Script) {
  asio::io_context Context;
  raw_server Server(Context, ServerAddress, std::move(Script));
  http_client Client(Context, {});
  std::vector<call_result> Results;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        for (const traced_call &Call : Calls) {
          http_request Request;
          Request.Method = "GET";
          Request.Target = "/";
          Request.Headers = {{std::string(header::RequestId), Call.Id}};
          Request.Body.assign(Call.BodyBytes, 'x');
          Results.push_back(
              co_await Client.call(Call.Address, Request, {}, Call.Canceller));
        }
        Context.stop();
      },
      asio::detached);
  Context.run();
  return Results;
}

} // namespace

TEST_CASE("the trace tells that a connection which carried the same request id "
          "was avoided") {
  const std::vector<call_result> Results = callInTurn(
      {{.Id = "a"}, {.Id = "b"}, {.Id = "a"}}, [](const raw_request &Request) {
        return raw_reply{responseTo(Request.Number == 1 ? "b" : "a")};
      });
  REQUIRE(Results.size() == 3);
  for (std::size_t Number = 0; Number < Results.size(); ++Number) {
    const call_trace &Trace = Results[Number].Trace;
    const bool IsRepeated = Number == 2;
    CHECK(Results[Number].Status == call_status::Answered);
    CHECK(Trace.Connection == (IsRepeated ? 2 : 1));
    CHECK(Trace.RequestsBefore == (IsRepeated ? 0 : Number));
    CHECK(Trace.ConnectionsAvoided == (IsRepeated ? 1 : 0));
    CHECK(Trace.ResponsesSkipped == 0);
    CHECK(Trace.BytesWritten > 0);
  }
}

TEST_CASE("the trace counts responses for other requests, and the connection "
          "that got them isn't used again") {
  const std::vector<call_result> Results =
      callInTurn({{.Id = "a"}, {.Id = "a"}}, [](const raw_request &Request) {
        const std::string Other =
            Request.Connection == 0 ? responseTo("x") + responseTo("y") : "";
        return raw_reply{Other + responseTo("a")};
      });
  REQUIRE(Results.size() == 2);
  CHECK(Results[0].Status == call_status::Answered);
  CHECK(Results[0].Trace.ResponsesSkipped == 2);
  CHECK(Results[1].Trace.Connection == 2);
  CHECK(Results[1].Trace.RequestsBefore == 0);
  CHECK(Results[1].Trace.ConnectionsAvoided == 0);
  CHECK(Results[1].Trace.ResponsesSkipped == 0);
}

TEST_CASE("the trace of a call without a connection is empty") {
  const auto Cancelled = std::make_shared<call_canceller>();
  Cancelled->cancel();
  const std::vector<call_result> Results = callInTurn(
      {{.Address = ClosedAddress, .Id = "a"},
       {.Id = "a", .Canceller = Cancelled}},
      [](const raw_request &) { return raw_reply{responseTo("a")}; });
  REQUIRE(Results.size() == 2);
  CHECK(Results[0].Status == call_status::ConnectFailed);
  CHECK(Results[0].Trace == call_trace{});
  CHECK(Results[1].Status == call_status::Cancelled);
  CHECK(Results[1].Trace == call_trace{});
}

// Guards against: the bytes are known only once the whole request is written,
// so that a call that ends during its write seems to have sent nothing.
TEST_CASE("the trace counts the bytes of a request that was written in part") {
  // More than the buffers of a loopback connection take.
  constexpr std::size_t LongBodyBytes = 32U << 20U;
  const auto Canceller = std::make_shared<call_canceller>();
  std::vector<call_result> Results;
  SUBCASE("when the call is cancelled") {
    Results = callInTurn(
        {{.Id = "a", .BodyBytes = LongBodyBytes, .Canceller = Canceller}},
        [&Canceller](const raw_request &) {
          Canceller->cancel();
          return raw_reply{};
        });
    REQUIRE(Results.size() == 1);
    CHECK(Results[0].Status == call_status::Cancelled);
  }
  SUBCASE("when the server resets the connection") {
    Results = callInTurn({{.Id = "a", .BodyBytes = LongBodyBytes}},
                         [](const raw_request &) {
                           return raw_reply{"", after_reply::Reset};
                         });
    REQUIRE(Results.size() == 1);
    CHECK_FALSE(provesNotRun(Results[0].Status));
  }
  CHECK(Results[0].Trace.BytesWritten > 0);
  CHECK(Results[0].Trace.BytesWritten < LongBodyBytes);
}
