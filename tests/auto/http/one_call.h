/// \file
/// One call of the HTTP client to a server that replies with given bytes.
#pragma once

#include "http/http_client.h"
#include "raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstddef>
#include <string>

namespace coriandertray::testing {

/// \returns the result of one call that a server at \p Address answers with
/// \p Reply, with a request body of \p BodyBytes.
inline call_result callOnce(const socket_address &Address,
                            const raw_reply &Reply,
                            bool AcceptResponsesWithoutLength,
                            std::size_t BodyBytes = 0) {
  asio::io_context Context;
  raw_server Server(Context, Address,
                    [&Reply](const raw_request &) { return Reply; });
  http_client_limits Limits;
  Limits.AcceptResponsesWithoutLength = AcceptResponsesWithoutLength;
  http_client Client(Context, Limits);
  call_result Result;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        http_request Request;
        Request.Method = BodyBytes == 0 ? "GET" : "POST";
        Request.Target = "/";
        Request.Headers = {{std::string(header::RequestId), "mine"}};
        Request.Body.assign(BodyBytes, 'x');
        call_options Options;
        Result = co_await Client.call(Address, Request, Options);
        Context.stop();
      },
      asio::detached);
  Context.run();
  return Result;
}

} // namespace coriandertray::testing
