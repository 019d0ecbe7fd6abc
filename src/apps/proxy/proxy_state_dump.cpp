#include "proxy_server.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr double MedianQuantile = 0.5;

double millisecondsUntil(time_point Until, time_point Now) {
  return Until > Now ? toMilliseconds(Until - Now) : 0;
}

json::object dumpBackend(const backend_state &State, bool Usable,
                         time_point Now) {
  const std::string_view Status = statusName(State.Status);
  json::object Object;
  Object["name"] = State.Server.Name;
  Object["address"] = toString(State.Server.Address);
  Object["zone"] = State.Server.Zone;
  Object["usable"] = Usable;
  Object["standing"] = json::string(Status.data(), Status.size());
  Object["weight_percent"] = State.WeightPercent;
  Object["avoid_path"] = State.AvoidPath;
  Object["in_flight"] = State.InFlight;
  Object["reported_load"] = State.ReportedLoad;
  Object["failure_score"] = State.FailureScore.Value;
  Object["suspect_for_ms"] = millisecondsUntil(State.SuspectUntil, Now);
  Object["draining"] = State.Draining;
  Object["unreachable_for_ms"] = millisecondsUntil(State.UnreachableUntil, Now);
  return Object;
}

} // namespace

json::object dumpService(const service_runtime &Runtime, time_point Now) {
  const std::vector<bool> Usable =
      usableBackends(Runtime.Backends, Runtime.Config.FloorSlots, Now);
  json::array Backends;
  std::uint32_t UsableSlots = 0;
  for (std::size_t Index = 0; Index < Runtime.Backends.size(); ++Index) {
    Backends.push_back(
        dumpBackend(Runtime.Backends[Index], Usable[Index], Now));
    if (Usable[Index])
      UsableSlots += Runtime.Backends[Index].Server.Slots;
  }
  json::object Object;
  Object["floor_slots"] = Runtime.Config.FloorSlots;
  Object["usable_slots"] = UsableSlots;
  Object["total_slots"] = totalSlots(Runtime.Config);
  Object["queued"] = Runtime.Queue.size();
  Object["parked"] = Runtime.Parked;
  Object["median_ms"] = toMilliseconds(
      Runtime.Latency.quantile(MedianQuantile).value_or(duration::zero()));
  Object["retry_tokens"] = Runtime.RetryBudget.Tokens;
  Object["hedge_tokens"] = Runtime.HedgeBudget.Tokens;
  Object["verdict_version"] = Runtime.Verdicts.Version;
  Object["judge"] = Runtime.Verdicts.DetectorHost;
  Object["backend_servers"] = std::move(Backends);
  return Object;
}

json::object proxy_server::dump() const {
  json::object ByService;
  for (const auto &[Name, Runtime] : Services)
    ByService[Name] = dumpService(*Runtime, Clock.now());
  json::object Object;
  Object["program"] = "coriandertray-proxy";
  Object["host"] = Settings.Host;
  Object["zone"] = Settings.Zone;
  Object["config_version"] = ConfigVersion;
  Object["ready"] = !Leaving && ConfigVersion > 0;
  Object["agent_connected"] = Agent.isConnected();
  Object["live_hosts"] = LiveHosts;
  Object["caller_connections"] = CallerServer.connectionCount();
  Object["requests_in_flight"] = CallerServer.requestsInFlight();
  Object["idle_backend_connections"] = Client.idleConnectionCount();
  Object["services"] = std::move(ByService);
  return Object;
}

} // namespace coriandertray
