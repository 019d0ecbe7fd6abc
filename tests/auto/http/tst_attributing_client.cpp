#include "http/attributing_client.h"
#include "raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <vector>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address ServerAddress = {"127.97.0.10", 18'194};

/// Sends three requests, one after the other. \returns the results.
std::vector<call_result> callThrice(const raw_server::script &Script) {
  asio::io_context Context;
  raw_server Server(Context, ServerAddress, Script);
  attributing_client Client(Context);
  std::vector<call_result> Results;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        for (const char *Id : {"1", "2", "3"}) {
          http_request Request;
          Request.Method = "GET";
          Request.Target = "/";
          Request.Headers = {{std::string(header::RequestId), Id}};
          const call_options Options;
          Results.push_back(
              co_await Client.call(ServerAddress, Request, Options, {}));
        }
        Context.stop();
      },
      asio::detached);
  Context.run();
  return Results;
}

} // namespace

// Guards against: a copy of a refusal without an id counts as the refusal of
// the next request, which the server runs.
TEST_CASE("a copied refusal of a server that returns no ids refuses no other "
          "request") {
  const std::string Refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                              "Coriandertray-Outcome: not-run\r\n\r\n";
  const std::string Success = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  int Requests = 0;
  const auto Results = callThrice([&](const raw_request &Request) {
    if (++Requests == 1)
      return raw_reply{Refusal};
    return raw_reply{Request.Number > 0 ? Refusal + Success : Success};
  });
  CHECK(Results[0].Response.Status == 503);
  CHECK(Results[1].Response.Status == 200);
  CHECK(Results[2].Response.Status == 200);
}

TEST_CASE("connections to a server that returns ids are kept, and a response "
          "without one proves nothing there") {
  int Requests = 0;
  const auto Results = callThrice([&](const raw_request &Request) {
    const std::string Id = std::to_string(++Requests);
    CHECK(Request.Number == (Requests == 3 ? 1 : 0));
    const std::string IdLine =
        Requests == 3 ? "" : "Coriandertray-Request-Id: " + Id + "\r\n";
    return raw_reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + IdLine +
                     "\r\n"};
  });
  CHECK(Results[1].Status == call_status::Answered);
  CHECK(Results[2].Status == call_status::Malformed);
}
