/// \file
/// coriandertray-proxy: the data plane of one entry host, which forwards
/// callers' requests to backend servers.

#include "proxy_server.h"

#include "utils/log.h"
#include "utils/process.h"
#include "utils/serve.h"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "JSON settings file, see schema/proxy.json");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_string(policy, "late-binding",
              "round-robin, least-in-flight or late-binding");
DEFINE_bool(verdicts, true, "apply the fleet-wide verdicts on backend servers");

using namespace coriandertray;

namespace {

std::optional<proxy_settings> readProxySettings() {
  constexpr std::int64_t MaxLeaveSeconds = 3600;
  std::optional<settings_reader> Reader = loadSettings(FLAGS_settings);
  if (!Reader)
    return std::nullopt;
  proxy_settings Settings;
  Settings.Host = Reader->requiredString("host");
  Settings.Zone = Reader->requiredString("zone");
  Settings.Listen = Reader->requiredAddress("listen");
  Settings.Admin = Reader->requiredAddress("admin");
  Settings.Agent = Reader->requiredAddress("agent");
  Settings.AdminToken = Reader->requiredString("admin_token");
  Settings.LeaveTimeout =
      seconds(Reader->optionalInteger("leave_limit_s", 30, 1, MaxLeaveSeconds));
  Settings.UseVerdicts = FLAGS_verdicts;
  std::vector<error> Faults = Reader->finish();
  const auto Policy = balancingPolicyFromName(FLAGS_policy);
  if (Policy)
    Settings.Policy = *Policy;
  else
    Faults.push_back({error_code::UsageWrong, "unknown policy"});
  if (!printErrors(Faults))
    return std::nullopt;
  return Settings;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  parseCommandLine(ArgumentCount, Arguments,
                   "The data plane of one entry host.\n"
                   "SIGTERM shuts down gracefully; SIGUSR1 logs the state.");
  const std::optional<proxy_settings> Settings = readProxySettings();
  if (!Settings)
    return static_cast<int>(exit_code::InputInvalid);
  startLogging("coriandertray-proxy", Settings->Host,
               parseLogLevel(FLAGS_log_level));
  asio::io_context Context(1);
  const steady_clock_source Clock;
  proxy_server Server(Context, Clock, *Settings);
  const result<void> Started = Server.start();
  if (!Started) {
    (void)printErrors({Started.error()});
    return static_cast<int>(exit_code::Failure);
  }
  serveUntilStopped(Context, {[&Server] { Server.leave(); },
                              [&Server] { return Server.dump(); }});
  return static_cast<int>(exit_code::Success);
}
