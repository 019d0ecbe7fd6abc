/// \file
/// fake-platform: simulates the platform's object API and its faults for tests.

#include "object_store.h"

#include "http/http_server.h"
#include "utils/log.h"
#include "utils/process.h"
#include "utils/query.h"
#include "utils/serve.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:7000", "IP:PORT of the object API");
DEFINE_string(control, "127.0.0.1:7001", "IP:PORT of the control endpoint");

using namespace coriandertray;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view ObjectPrefix = "/objects/";
constexpr duration WatchPollInterval = milliseconds(5);

/// The HTTP handlers of the object API and of the control endpoint.
class fake_platform {
public:
  explicit fake_platform(asio::io_context &Context) : Context(Context) {}

  asio::awaitable<http_response> serve(http_request Request) {
    const std::string Client =
        findHeader(Request.Headers, "Client-Name").value_or("");
    if (Faults.Down || Faults.CutClients.contains(Client)) {
      Store.countCall("refused");
      co_return closeConnection();
    }
    const parsed_target Target = parseTarget(Request.Target);
    if (Faults.Slow > milliseconds(0))
      co_await pause(Faults.Slow);
    http_response Response = co_await handle(Request, Target);
    const bool IsAnswerLost = Faults.LoseAnswers && Request.Method == "PUT";
    if (IsAnswerLost || Faults.MuteClients.contains(Client))
      co_return closeConnection();
    copyRequestId(Request, Response);
    co_return Response;
  }

  asio::awaitable<http_response> control(http_request Request) {
    if (Request.Target == "/control/counts")
      co_return jsonResponse(200, json::serialize(Store.callCounts()));
    const result<json::value> Body = parseJson(Request.Body);
    if (Request.Target == "/control/faults" && Body && Body->is_object()) {
      Faults = readFaults(Body->get_object());
      co_return jsonResponse(200, "{}");
    }
    if (Request.Target == "/control/hosts" && Body && Body->is_array()) {
      Store.setHosts(Body->get_array(), std::chrono::steady_clock::now());
      co_return jsonResponse(200, "{}");
    }
    co_return jsonResponse(400, R"({"error":"unknown-control"})");
  }

private:
  /// \returns a response that closes the connection without sending anything.
  static http_response closeConnection() {
    http_response Response;
    Response.RawBytes = "";
    return Response;
  }

  asio::awaitable<void> pause(duration Time) {
    asio::steady_timer Timer(Context, Time);
    co_await Timer.async_wait(UseTuple);
  }

  static http_response objectResponse(const stored_object &Object) {
    http_response Response;
    Response.Headers = {{"Object-Version", std::to_string(Object.Version)}};
    Response.Body = Object.Value;
    return Response;
  }

  asio::awaitable<http_response> handle(const http_request &Request,
                                        const parsed_target &Target) {
    if (Target.Path == "/hosts") {
      Store.countCall("hosts");
      const auto [Hosts, Version] =
          Store.hostsAt(std::chrono::steady_clock::now(), Faults.HostListLag);
      http_response Response = jsonResponse(200, json::serialize(Hosts));
      setHeader(Response.Headers, "Object-Version", std::to_string(Version));
      co_return Response;
    }
    if (Target.Path == "/list") {
      Store.countCall("list");
      const auto Prefix = Target.Query.find("prefix");
      co_return jsonResponse(
          200, json::serialize(Store.list(
                   Prefix == Target.Query.end() ? "" : Prefix->second)));
    }
    if (!Target.Path.starts_with(ObjectPrefix))
      co_return jsonResponse(404, R"({"error":"unknown-path"})");
    std::string Key = Target.Path.substr(ObjectPrefix.size());
    if (Request.Method == "PUT")
      co_return put(std::move(Key), Request.Body, Target);
    if (Target.Query.contains("after"))
      co_return co_await watch(std::move(Key), Target);
    Store.countCall("get");
    const auto Object = Store.find(Key);
    if (!Object)
      co_return jsonResponse(404, R"({"error":"object-missing"})");
    co_return objectResponse(*Object);
  }

  http_response put(const std::string &Key, const std::string &Value,
                    const parsed_target &Target) {
    Store.countCall("put");
    const auto Expected =
        static_cast<std::uint64_t>(queryNumber(Target, "expected", 0));
    const result<std::uint64_t> Version = Store.put(Key, Value, Expected);
    if (!Version && Version.error().Code == error_code::VersionConflict)
      return jsonResponse(409, R"({"error":"version-conflict"})");
    if (!Version)
      return jsonResponse(413, R"({"error":"value-too-large"})");
    return objectResponse({*Version, ""});
  }

  /// Waits until the object has a version higher than the one the caller knows;
  /// responds with status 304 if the caller's wait time elapses first.
  asio::awaitable<http_response> watch(std::string Key, parsed_target Target) {
    Store.countCall("watch");
    const auto After =
        static_cast<std::uint64_t>(queryNumber(Target, "after", 0));
    const time_point Deadline = std::chrono::steady_clock::now() +
                                milliseconds(queryNumber(Target, "wait_ms", 0));
    while (std::chrono::steady_clock::now() < Deadline) {
      if (Faults.Down)
        co_return closeConnection();
      const auto Object = Store.find(Key);
      if (Object && Object->Version > After && !Faults.StallWatches)
        co_return objectResponse(*Object);
      co_await pause(WatchPollInterval);
    }
    http_response Response;
    Response.Status = 304;
    co_return Response;
  }

  asio::io_context &Context;
  object_store Store;
  platform_faults Faults;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  parseCommandLine(ArgumentCount, Arguments,
                   "Stand-in for the platform's object API; test only.");
  startLogging("fake-platform", "", log_level::Info);
  const auto Listen = parseAddress(FLAGS_listen);
  const auto Control = parseAddress(FLAGS_control);
  if (!Listen || !Control)
    return static_cast<int>(exit_code::UsageWrong);
  asio::io_context Context;
  fake_platform Platform(Context);
  http_server Api(
      Context, {},
      [&Platform](http_request Request, std::shared_ptr<peer_connection>) {
        return Platform.serve(std::move(Request));
      });
  http_server ControlServer(
      Context, {},
      [&Platform](http_request Request, std::shared_ptr<peer_connection>) {
        return Platform.control(std::move(Request));
      });
  const result<void> ApiReady = Api.listen(*Listen);
  const result<void> ControlReady = ControlServer.listen(*Control);
  if (!ApiReady || !ControlReady) {
    logEvent(log_level::Error, "listen-failed",
             {{"listen", FLAGS_listen}, {"control", FLAGS_control}});
    return static_cast<int>(exit_code::Failure);
  }
  serveUntilStopped(Context, {[&Context] { Context.stop(); }, {}});
  return static_cast<int>(exit_code::Success);
}
