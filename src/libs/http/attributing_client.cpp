#include "http/attributing_client.h"

#include <utility>

namespace coriandertray {

attributing_client::attributing_client(asio::io_context &Context)
    : Keeping(Context, {.RequireRequestId = true}),
      Closing(Context, {.IdleConnectionsPerAddress = 0}) {}

asio::awaitable<call_result>
attributing_client::call(socket_address Address, http_request Request,
                         call_options Options,
                         std::shared_ptr<call_canceller> Canceller) {
  const auto Id = findHeader(Request.Headers, header::RequestId);
  http_client &Client = ReturningIds.contains(Address) ? Keeping : Closing;
  call_result Result = co_await Client.call(Address, std::move(Request),
                                            Options, std::move(Canceller));
  const bool HasResponse = Result.Status == call_status::Answered ||
                           Result.Status == call_status::Malformed;
  if (!HasResponse)
    co_return Result;
  if (Id && findHeader(Result.Response.Headers, header::RequestId) == Id)
    ReturningIds.insert(Address);
  else
    ReturningIds.erase(Address);
  co_return Result;
}

std::size_t attributing_client::idleConnectionCount() const {
  return Keeping.idleConnectionCount();
}

} // namespace coriandertray
