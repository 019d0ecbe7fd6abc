#include "manifest/manifest_writer.h"

namespace coriandertray {

namespace {

json::object toJson(const backend_server &Server) {
  return {{"name", Server.Name},
          {"address", toString(Server.Address)},
          {"zone", Server.Zone},
          {"slots", Server.Slots},
          {"connection_limit", Server.ConnectionLimit}};
}

json::object toJson(const route &Route) {
  return {{"name", Route.Name},
          {"host", Route.Host},
          {"path_prefix", Route.PathPrefix},
          {"methods", json::value_from(Route.Methods)},
          {"idempotent_methods", json::value_from(Route.IdempotentMethods)},
          {"deadline_ms", Route.Deadline.count()}};
}

json::object toJson(const account_limits &Limits) {
  return {{"max_in_flight", Limits.MaxInFlight},
          {"requests_per_second", Limits.RequestsPerSecond}};
}

} // namespace

json::object toJson(const service &Service) {
  json::array Servers;
  for (const backend_server &Server : Service.BackendServers)
    Servers.push_back(toJson(Server));
  json::array Routes;
  for (const route &Route : Service.Routes)
    Routes.push_back(toJson(Route));
  const std::string_view Policy =
      storeUnavailablePolicyName(Service.KeyedRequestsWhileStoreUnavailable);
  json::object Object;
  Object["name"] = Service.Name;
  Object["floor_slots"] = Service.FloorSlots;
  Object["backend_servers"] = std::move(Servers);
  Object["routes"] = std::move(Routes);
  Object["retry_budget_percent"] = Service.RetryBudgetPercent;
  Object["hedge_budget_percent"] = Service.HedgeBudgetPercent;
  Object["queue_limit"] = Service.QueueLimit;
  Object["keyed_requests_while_store_away"] =
      json::string(Policy.data(), Policy.size());
  Object["key_retention_s"] = Service.KeyRetention.count();
  return Object;
}

json::array accountsToJson(std::span<const account> Accounts) {
  json::array Array;
  for (const account &Account : Accounts) {
    json::object Object = toJson(Account.Limits);
    Object["name"] = Account.Name;
    Array.push_back(std::move(Object));
  }
  return Array;
}

json::object commonFieldsToJson(const manifest &Manifest) {
  return {{"format", ManifestFormatVersion},
          {"fleet", Manifest.Fleet},
          {"zones", json::value_from(Manifest.Zones)},
          {"caller_limits", toJson(Manifest.DefaultLimits)}};
}

json::object toJson(const manifest &Manifest) {
  json::object Object = commonFieldsToJson(Manifest);
  json::array Services;
  for (const service &Service : Manifest.Services)
    Services.push_back(toJson(Service));
  Object["accounts"] = accountsToJson(Manifest.Accounts);
  Object["services"] = std::move(Services);
  return Object;
}

} // namespace coriandertray
