#include "http/drain_probe.h"

#include "http/http_client.h"

namespace coriandertray {

namespace {

constexpr duration ProbeTimeout = seconds(1);

} // namespace

asio::awaitable<std::optional<bool>> probeDraining(asio::io_context &Context,
                                                   socket_address Address) {
  http_client Client(Context, {.IdleConnectionsPerAddress = 0});
  http_request Probe;
  Probe.Method = "GET";
  Probe.Target = "/health";
  call_options Options;
  Options.Timeout = ProbeTimeout;
  const call_result Result =
      co_await Client.call(Address, std::move(Probe), Options);
  if (Result.Status != call_status::Answered)
    co_return std::nullopt;
  co_return findHeader(Result.Response.Headers, header::Draining).has_value();
}

} // namespace coriandertray
