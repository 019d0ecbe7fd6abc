/// \file
/// coriandertray-agent: the control plane of one entry host.

#include "agent_server.h"

#include "utils/log.h"
#include "utils/process.h"
#include "utils/serve.h"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "JSON settings file, see schema/agent.json");
DEFINE_string(log_level, "info", "debug, info, warning or error");

using namespace coriandertray;

namespace {

std::optional<agent_settings> readAgentSettings() {
  std::optional<settings_reader> Reader = loadSettings(FLAGS_settings);
  if (!Reader)
    return std::nullopt;
  agent_settings Settings;
  Settings.Host = Reader->requiredString("host");
  Settings.Zone = Reader->requiredString("zone");
  Settings.Listen = Reader->requiredAddress("listen");
  Settings.Admin = Reader->requiredAddress("admin");
  Settings.Platform = Reader->requiredAddress("platform");
  Settings.Seeds = Reader->optionalAddresses("seeds");
  Settings.AdminToken = Reader->requiredString("admin_token");
  if (!printErrors(Reader->finish()))
    return std::nullopt;
  return Settings;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  parseCommandLine(ArgumentCount, Arguments,
                   "The control plane of one entry host.\n"
                   "SIGTERM leaves the fleet; SIGUSR1 logs the state.");
  const std::optional<agent_settings> Settings = readAgentSettings();
  if (!Settings)
    return static_cast<int>(exit_code::InputInvalid);
  startLogging("coriandertray-agent", Settings->Host,
               parseLogLevel(FLAGS_log_level));
  asio::io_context Context(1);
  const steady_clock_source Clock;
  agent_server Server(Context, Clock, *Settings);
  const result<void> Started = Server.start();
  if (!Started) {
    (void)printErrors({Started.error()});
    return static_cast<int>(exit_code::Failure);
  }
  serveUntilStopped(Context, {[&Server] { Server.leave(); },
                              [&Server] { return Server.dump(); }});
  return static_cast<int>(exit_code::Success);
}
