/// \file
/// fake-backend-server: simulates one or more backend servers in one process.

#include "fake_server.h"

#include "utils/log.h"
#include "utils/process.h"
#include "utils/query.h"
#include "utils/serve.h"

#include <gflags/gflags.h>

#include <memory>
#include <ranges>
#include <vector>

DEFINE_string(servers, "", "NAME@IP:PORT of each server, separated by commas");
DEFINE_string(control, "127.0.0.1:7101", "IP:PORT of the control endpoint");
DEFINE_int32(slots, 3, "requests that one server runs concurrently");
DEFINE_int32(queue_limit, 100,
             "maximum number of requests that wait for a slot");
DEFINE_int32(connection_limit, 330,
             "maximum number of connections of one server");
DEFINE_double(service_ms, 20, "mean service time in milliseconds");
DEFINE_bool(exponential, true, "exponential service times, otherwise constant");
DEFINE_double(straggler_share, 0.02, "share of stragglers in [0, 1]");
DEFINE_double(straggler_factor, 30,
              "service time of stragglers as a multiple of the mean");
DEFINE_int32(cold_ms, 0, "milliseconds of slow service after a start");
DEFINE_uint64(seed, 1, "seed of the random choices");

using namespace coriandertray;

namespace {

using server_list = std::vector<std::unique_ptr<fake_server>>;

result<fake_server_settings> parseServer(std::string_view Text) {
  const std::size_t At = Text.find('@');
  if (At == std::string_view::npos)
    return fail(error_code::AddressMalformed,
                std::string(Text) + " is not NAME@IP:PORT");
  const result<socket_address> Address = parseAddress(Text.substr(At + 1));
  if (!Address)
    return tl::unexpected(Address.error());
  fake_server_settings Settings;
  Settings.Name = std::string(Text.substr(0, At));
  Settings.Address = *Address;
  Settings.Slots = static_cast<std::uint32_t>(FLAGS_slots);
  Settings.QueueLimit = static_cast<std::uint32_t>(FLAGS_queue_limit);
  Settings.ConnectionLimit = static_cast<std::uint32_t>(FLAGS_connection_limit);
  Settings.ServiceMs = FLAGS_service_ms;
  Settings.Exponential = FLAGS_exponential;
  Settings.StragglerShare = FLAGS_straggler_share;
  Settings.StragglerFactor = FLAGS_straggler_factor;
  Settings.ColdStartTime = milliseconds(FLAGS_cold_ms);
  Settings.Seed = FLAGS_seed;
  return Settings;
}

/// Calls \p Visit with the server \p Name, or with each server if \p Name is
/// "*".
template <typename Visitor>
void forEachNamed(const server_list &Servers, std::string_view Name,
                  const Visitor &Visit) {
  for (const auto &Server : Servers)
    if (Name == "*" || Name == Server->name())
      Visit(*Server);
}

http_response control(const server_list &Servers, const http_request &Request) {
  const parsed_target Target = parseTarget(Request.Target);
  json::object Answer;
  if (Target.Path == "/control/executions") {
    forEachNamed(Servers, "*", [&Answer](fake_server &Server) {
      Answer[Server.name()] = Server.executions();
    });
    return jsonResponse(200, json::serialize(Answer));
  }
  if (Target.Path == "/control/status") {
    forEachNamed(Servers, "*", [&Answer](fake_server &Server) {
      Answer[Server.name()] = Server.status();
    });
    return jsonResponse(200, json::serialize(Answer));
  }
  const result<json::value> Body = parseJson(Request.Body);
  if (!Body || !Body->is_object())
    return jsonResponse(400, R"({"error":"json-malformed"})");
  const json::object &Command = Body->get_object();
  const std::string Name = stringAt(Command, "server", "*");
  if (Target.Path == "/control/faults")
    forEachNamed(Servers, Name, [&Command](fake_server &Server) {
      Server.setFaults(readServerFaults(Command));
    });
  else if (Target.Path == "/control/stop")
    forEachNamed(Servers, Name, [](fake_server &Server) { Server.stop(); });
  else if (Target.Path == "/control/start")
    forEachNamed(Servers, Name, [](fake_server &Server) {
      if (const result<void> Started = Server.start(); !Started)
        logEvent(log_level::Error, "start-failed",
                 {{"detail", Started.error().Detail}});
    });
  else
    return jsonResponse(404, R"({"error":"unknown-path"})");
  return jsonResponse(200, "{}");
}

bool startAll(asio::io_context &Context, server_list &Servers) {
  for (const auto Part : std::views::split(FLAGS_servers, ',')) {
    const result<fake_server_settings> Settings =
        parseServer(std::string_view(Part.begin(), Part.end()));
    if (!Settings)
      return printErrors({Settings.error()});
    Servers.push_back(std::make_unique<fake_server>(Context, *Settings));
    const result<void> Started = Servers.back()->start();
    if (!Started)
      return printErrors({Started.error()});
  }
  return true;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  parseCommandLine(ArgumentCount, Arguments,
                   "Stand-in for backend servers; test only.");
  startLogging("fake-backend-server", "", log_level::Info);
  const auto Control = parseAddress(FLAGS_control);
  if (!Control)
    return static_cast<int>(exit_code::UsageWrong);
  asio::io_context Context;
  server_list Servers;
  if (!startAll(Context, Servers))
    return static_cast<int>(exit_code::UsageWrong);
  http_server_limits Limits;
  http_server ControlServer(
      Context, Limits,
      [&Servers](http_request Request, std::shared_ptr<peer_connection>)
          -> asio::awaitable<http_response> {
        co_return control(Servers, Request);
      });
  if (!ControlServer.listen(*Control))
    return static_cast<int>(exit_code::Failure);
  serveUntilStopped(Context, {[&Context] { Context.stop(); }, {}});
  return static_cast<int>(exit_code::Success);
}
