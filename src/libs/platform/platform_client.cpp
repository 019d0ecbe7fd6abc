#include "platform/platform_client.h"

#include "utils/json.h"

#include <charconv>

namespace coriandertray {

namespace {

constexpr duration CallTimeout = seconds(2);
// Added to the wait of a watch, so that the platform can respond in time.
constexpr duration WatchTimeoutMargin = seconds(2);
constexpr std::string_view VersionHeader = "Object-Version";
constexpr std::string_view ClientHeader = "Client-Name";

enum http_status : unsigned {
  Ok = 200,
  NotModified = 304,
  NotFound = 404,
  Conflict = 409,
  FirstServerError = 500,
};

std::string objectTarget(const std::string &Key) { return "/objects/" + Key; }

result<std::uint64_t> objectVersion(const http_response &Response) {
  const auto Text = findHeader(Response.Headers, VersionHeader);
  if (!Text)
    return fail(error_code::AnswerMalformed,
                "no object version in the response");
  std::uint64_t Version = 0;
  const auto [End, Failure] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Version);
  if (Failure != std::errc())
    return fail(error_code::AnswerMalformed, "invalid object version " + *Text);
  return Version;
}

tl::unexpected<error> errorForResponse(const http_response &Response,
                                       const std::string &Resource) {
  if (Response.Status == NotFound)
    return fail(error_code::ObjectMissing, Resource);
  if (Response.Status == Conflict)
    return fail(error_code::VersionConflict, Resource);
  if (Response.Status == NotModified)
    return fail(error_code::TimedOut, Resource);
  if (Response.Status >= FirstServerError)
    return fail(error_code::PlatformUnreachable,
                Resource + " returned status " +
                    std::to_string(Response.Status));
  return fail(error_code::PlatformRefused,
              Resource + " returned status " + std::to_string(Response.Status));
}

result<platform_object>
toPlatformObject(std::string Key, const result<http_response> &Response) {
  if (!Response)
    return tl::unexpected(Response.error());
  if (Response->Status != Ok)
    return errorForResponse(*Response, Key);
  const result<std::uint64_t> Version = objectVersion(*Response);
  if (!Version)
    return tl::unexpected(Version.error());
  return platform_object{std::move(Key), *Version, Response->Body};
}

result<json::array> toJsonArray(const result<http_response> &Response,
                                const std::string &Resource) {
  if (!Response)
    return tl::unexpected(Response.error());
  if (Response->Status != Ok)
    return errorForResponse(*Response, Resource);
  const result<json::value> Value = parseJson(Response->Body);
  if (!Value || !Value->is_array())
    return fail(error_code::AnswerMalformed, Resource);
  return Value->get_array();
}

http_client_limits clientLimits() {
  http_client_limits Limits;
  Limits.RequireRequestId = true;
  return Limits;
}

} // namespace

platform_client::platform_client(asio::io_context &Context,
                                 socket_address Address, std::string ClientName)
    : Client(Context, clientLimits()), Address(std::move(Address)),
      ClientName(std::move(ClientName)) {}

asio::awaitable<result<http_response>> platform_client::call(std::string Method,
                                                             std::string Target,
                                                             std::string Body,
                                                             duration Timeout) {
  http_request Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  Request.Body = std::move(Body);
  Request.Headers = {
      {std::string(ClientHeader), ClientName},
      {std::string(header::RequestId), std::to_string(NextRequestId++)}};
  call_options Options;
  Options.Timeout = Timeout;
  call_result Result =
      co_await Client.call(Address, std::move(Request), Options);
  if (Result.Status != call_status::Answered)
    co_return fail(error_code::PlatformUnreachable,
                   std::string(callStatusName(Result.Status)));
  co_return std::move(Result.Response);
}

asio::awaitable<result<platform_object>> platform_client::get(std::string Key) {
  const result<http_response> Response =
      co_await call("GET", objectTarget(Key), {}, CallTimeout);
  co_return toPlatformObject(std::move(Key), Response);
}

asio::awaitable<result<std::uint64_t>>
platform_client::put(std::string Key, std::string Value,
                     std::uint64_t ExpectedVersion) {
  std::string Target =
      objectTarget(Key) + "?expected=" + std::to_string(ExpectedVersion);
  const result<http_response> Response =
      co_await call("PUT", std::move(Target), std::move(Value), CallTimeout);
  if (!Response)
    co_return tl::unexpected(Response.error());
  if (Response->Status != Ok)
    co_return errorForResponse(*Response, Key);
  co_return objectVersion(*Response);
}

asio::awaitable<result<platform_object>>
platform_client::watch(std::string Key, std::uint64_t Version, duration Wait) {
  const auto WaitMs = std::chrono::duration_cast<milliseconds>(Wait).count();
  std::string Target = objectTarget(Key) + "?after=" + std::to_string(Version) +
                       "&wait_ms=" + std::to_string(WaitMs);
  const duration Timeout = Wait + WatchTimeoutMargin;
  const result<http_response> Response =
      co_await call("GET", std::move(Target), {}, Timeout);
  co_return toPlatformObject(std::move(Key), Response);
}

asio::awaitable<result<std::vector<std::string>>>
platform_client::list(std::string Prefix) {
  const result<http_response> Response =
      co_await call("GET", "/list?prefix=" + Prefix, {}, CallTimeout);
  const result<json::array> Array = toJsonArray(Response, "list");
  if (!Array)
    co_return tl::unexpected(Array.error());
  std::vector<std::string> Keys;
  for (const json::value &Key : *Array)
    if (Key.is_string())
      Keys.emplace_back(Key.get_string());
  co_return Keys;
}

asio::awaitable<result<platform_host_list>> platform_client::hosts() {
  const result<http_response> Response =
      co_await call("GET", "/hosts", {}, CallTimeout);
  const result<json::array> Array = toJsonArray(Response, "hosts");
  if (!Array)
    co_return tl::unexpected(Array.error());
  const result<std::uint64_t> Version = objectVersion(*Response);
  if (!Version)
    co_return tl::unexpected(Version.error());
  platform_host_list List = {*Version, {}};
  for (const json::value &Host : *Array)
    if (Host.is_object())
      List.Hosts.push_back({stringAt(Host.get_object(), "name"),
                            boolAt(Host.get_object(), "leaving")});
  co_return List;
}

} // namespace coriandertray
