#include "entry_host/entry_host.h"

#include "entry_host/caller_access.h"
#include "utils/hash.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;
constexpr duration NotReadyRetryAfter = milliseconds(500);
// The load balancer probes readiness once a second and removes a host after two
// failed probes.
constexpr duration BalancerRemovalDelay = milliseconds(2800);
constexpr duration LeavePollInterval = milliseconds(100);
// How often the host records that it runs.
constexpr duration RunInterval = milliseconds(100);
// A host has 160 MB of memory or more. While a body grows, its string may take
// up to three times its size.
constexpr std::uint64_t MaxResponseBodyBytes = 16U << 20U;
constexpr std::uint64_t MaxReceivedBodyBytes = 32U << 20U;

// What a host needs beside the bodies of requests.
constexpr std::uint64_t OtherMemoryBytes = 40U << 20U;

// A body is held twice while it is sent to a backend server.
std::uint64_t maxCallerBodyBytes(std::uint64_t MemoryBytes) {
  constexpr std::uint64_t Copies = 2;
  return (std::max(MemoryBytes, OtherMemoryBytes) - OtherMemoryBytes) / Copies;
}

http_client_limits clientLimits(const header_names &Names) {
  http_client_limits Limits;
  Limits.BodyBytes = MaxResponseBodyBytes;
  Limits.TotalBodyBytes = MaxReceivedBodyBytes;
  Limits.IdleConnectionsPerAddress = 2;
  Limits.RequestIdHeader = Names.RequestId;
  Limits.RequireRequestId = true;
  Limits.AcceptResponsesWithoutLength = true;
  return Limits;
}

std::optional<std::string> singleHostHeader(const http_headers &Headers) {
  const auto Count =
      std::ranges::count_if(Headers, [](const http_header &Header) {
        return equalIgnoringCase(Header.Name, "Host");
      });
  return Count == 1 ? findHeader(Headers, "Host") : std::nullopt;
}

} // namespace

entry_host::entry_host(asio::io_context &Context, const clock_source &Clock,
                       host_settings Settings, header_names Names,
                       platform_port &Platform)
    : Context(Context), Clock(Clock), Settings(std::move(Settings)),
      Client(Context, clientLimits(Names)),
      Peers(Context, Clock, this->Settings.Host, this->Settings.Relays),
      Slots(Context, Clock, Peers, this->Settings.Host, this->Settings.Zone,
            this->Settings.Retries),
      Quotas(Context, Clock, Peers, Metrics, this->Settings.Host,
             this->Settings.Quotas),
      View(Context, Clock, Platform, Peers,
           {this->Settings.Host, this->Settings.Zone,
            this->Settings.AdvertisedPeers, this->Settings.CapacityMillicores},
           {[this](const routing_config &Config) { applyConfig(Config); },
            [this](const std::vector<backend_registration> &Backends) {
              Slots.setBackends(Backends);
            }}),
      ProxyEnvironment{Context,          Clock, Client, Slots, Metrics,
                       std::move(Names), {}},
      CallerServer(
          Context, Clock,
          [this](http_request Request,
                 std::shared_ptr<caller_connection_status> Caller) {
            return serve(std::move(Request), std::move(Caller));
          },
          maxCallerBodyBytes(this->Settings.MemoryBytes)),
      ReadinessServer(Context, {},
                      [this](http_request, std::shared_ptr<peer_connection>) {
                        return serveReadiness();
                      }),
      OperatorServer(
          Context, {},
          [this](http_request Request, std::shared_ptr<peer_connection>) {
            return serveOperatorRequest(std::move(Request));
          }) {
  ProxyEnvironment.ConfigIsCurrent = [this] { return View.configIsCurrent(); };
}

result<void> entry_host::start() {
  const result<void> PeersListen =
      Peers.start(Settings.Peers, [this](const link_pointer &Link,
                                         const envelope &Message) {
        if (!View.receive(Link, Message) && !Slots.receive(Link, Message))
          (void)Quotas.receive(Link, Message);
      });
  if (!PeersListen)
    return PeersListen;
  const result<void> CallersListen = CallerServer.listen(Settings.Listen);
  if (!CallersListen)
    return CallersListen;
  const result<void> ReadinessListens =
      ReadinessServer.listen(Settings.Readiness);
  if (!ReadinessListens)
    return ReadinessListens;
  const result<void> OperatorsListen = OperatorServer.listen(Settings.Metrics);
  if (!OperatorsListen)
    return OperatorsListen;
  logEvent(log_level::Info, "started",
           {{"zone", Settings.Zone},
            {"listen", toString(Settings.Listen)},
            {"capacity_millicores", Settings.CapacityMillicores}});
  asio::co_spawn(Context, recordRunsLoop(), asio::detached);
  View.start();
  return {};
}

void entry_host::reload(const host_settings &Changed) {
  Settings.GracePeriod = Changed.GracePeriod;
  Settings.Retries = Changed.Retries;
  Slots.setRetryLimits(Changed.Retries);
  Settings.Quotas = Changed.Quotas;
  Quotas.setTolerance(Changed.Quotas);
  logEvent(log_level::Info, "reloaded",
           {{"retry_ratio", Changed.Retries.Ratio},
            {"retry_slack", Changed.Retries.Slack},
            {"quota_window_ms", toMilliseconds(Changed.Quotas.Window)},
            {"quota_overshoot", Changed.Quotas.Overshoot},
            {"quota_slack", Changed.Quotas.Slack}});
}

void entry_host::applyConfig(const routing_config &Config) {
  Routes = std::make_shared<route_index>(
      Config, stableHash(Settings.Host, Config.Version));
  ConfigVersion = Config.Version;
  CallerServer.setBounds(Config.Bounds);
  applyAccessRules(ProxyEnvironment,
                   {Config.Version,
                    account_directory(Config.Accounts, KeySecret), Routes,
                    KeySecret});
  Quotas.setAccounts(Config.Accounts, Config.Version);
}

// Takes a token from the quota of the request's account. Returns the response
// to a request that gets none.
asio::awaitable<std::optional<http_response>>
entry_host::refuseBeyondQuota(const proxied_request &Request) {
  if (!Request.Account || !isLimited(Request.Account->Quota))
    co_return std::nullopt;
  const request_account &Account = *Request.Account;
  const quota_decision Decision = co_await Quotas.acquire(
      Account, Request.ConfigVersion,
      responseDeadline(Request, ProxyEnvironment.Names));
  if (Decision.Verdict == quota_verdict::Allowed)
    co_return std::nullopt;
  const bool Exceeded = Decision.Verdict == quota_verdict::Refused;
  const std::string_view Reason =
      Exceeded ? "quota-exceeded" : "quota-unavailable";
  const unsigned Status = Exceeded ? TooManyRequests : Unavailable;
  const std::string RequestId =
      findHeader(Request.Message.Headers, ProxyEnvironment.Names.RequestId)
          .value_or("");
  logEvent(log_level::Info, Reason,
           {{"request_id", RequestId},
            {"status", Status},
            {"account", Account.Name},
            {"requests_per_s", Account.Quota.RequestsPerSecond},
            {"burst", Account.Quota.Burst},
            {"config_version", Request.ConfigVersion},
            {"decided_by", Decision.DecidedBy},
            {"decider", Decision.Host},
            {"retry_after_ms", toMilliseconds(Decision.RetryAfter)}});
  http_response Response = notRunResponse(Status, Reason, Decision.RetryAfter);
  if (!RequestId.empty())
    setHeader(Response.Headers, ProxyEnvironment.Names.RequestId, RequestId);
  co_return Response;
}

asio::awaitable<http_response>
entry_host::serve(http_request Request,
                  std::shared_ptr<caller_connection_status> Caller) {
  if (!Routes || !View.isComplete())
    co_return notRunResponse(Unavailable, "no-configuration",
                             NotReadyRetryAfter);
  const std::optional<std::string> Host = singleHostHeader(Request.Headers);
  if (!Host || !Request.Target.starts_with("/"))
    co_return notRunResponse(BadRequest, "target-malformed", {});
  const route_rule *Route = Routes->match(*Host, Request.Target);
  if (!Route) {
    const bool ConfigIsCurrent = View.configIsCurrent();
    logEvent(log_level::Info, "no-route",
             {{"request_id",
               findHeader(Request.Headers, ProxyEnvironment.Names.RequestId)
                   .value_or("")},
              {"config_version", ConfigVersion},
              {"config_is_current", ConfigIsCurrent}});
    co_return ConfigIsCurrent
        ? notRunResponse(NotFound, "no-route", {})
        : notRunResponse(Unavailable, "configuration-unconfirmed",
                         NotReadyRetryAfter);
  }
  proxied_request Proxied;
  Proxied.Route = *Route;
  Proxied.ConfigVersion = ConfigVersion;
  Proxied.Start = Clock.now();
  Proxied.Message = std::move(Request);
  const access_decision Access = checkAccess(ProxyEnvironment, Proxied);
  if (Access.Verdict != access_verdict::Allowed)
    co_return refuseAccess(ProxyEnvironment, Proxied, Access);
  // Nothing may suspend before this, as a new configuration replaces Routes.
  Proxied.Service = Routes->nextService(*Route);
  std::optional<http_response> Refusal = co_await refuseBeyondQuota(Proxied);
  if (Refusal)
    co_return std::move(*Refusal);
  co_return co_await proxyRequest(ProxyEnvironment, std::move(Proxied),
                                  std::move(Caller));
}

asio::awaitable<http_response> entry_host::serveReadiness() {
  const bool Ready = !Leaving && View.isComplete();
  co_return jsonResponse(Ready ? Ok : Unavailable,
                         Ready ? R"({"ready":true})" : R"({"ready":false})");
}

asio::awaitable<http_response>
entry_host::serveOperatorRequest(http_request Request) {
  if (Request.Target == "/state")
    co_return jsonResponse(Ok, toPrettyJson(dump()));
  if (Request.Target != "/metrics")
    co_return jsonResponse(NotFound, R"({"error":"not-found"})");
  Metrics.set("coriandertray_requests_in_flight", "",
              static_cast<double>(CallerServer.requestsInFlight()));
  Metrics.set("coriandertray_caller_connections", "",
              static_cast<double>(CallerServer.connectionCount()));
  http_response Response;
  Response.Headers = {{std::string(header::ContentType), "text/plain"}};
  Response.Body = Metrics.write();
  co_return Response;
}

event_loop_run entry_host::currentRun() const {
  return {Clock.now(), Clock.uptime()};
}

asio::awaitable<void> entry_host::recordRunsLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    recordRun(Runs, currentRun());
    Timer.expires_after(RunInterval);
    co_await Timer.async_wait(UseTuple);
  }
}

void entry_host::leave() {
  if (std::exchange(Leaving, true))
    return;
  const event_loop_run Now = currentRun();
  const leave_schedule Schedule = {Now, maxSignalDelay(Runs, Now),
                                   Settings.GracePeriod};
  logEvent(log_level::Info, "leaving",
           {{"requests_in_flight", CallerServer.requestsInFlight()},
            {"max_signal_delay_ms", toMilliseconds(Schedule.MaxSignalDelay)}});
  asio::co_spawn(Context, leaveLoop(Schedule), asio::detached);
}

asio::awaitable<void> entry_host::leaveLoop(leave_schedule Schedule) {
  endService(ProxyEnvironment, serviceEnd(Schedule, Schedule.Start));
  Peers.announceLeaving();
  CallerServer.closeAfterNextResponse();
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(LeavePollInterval);
    co_await Timer.async_wait(UseTuple);
    const event_loop_run Now = currentRun();
    const time_point ServiceEnd = serviceEnd(Schedule, Now);
    // The system may have been suspended meanwhile.
    if (ServiceEnd != ProxyEnvironment.ServiceEnd)
      endService(ProxyEnvironment, ServiceEnd);
    const bool ServiceEnded =
        Now.At >= ServiceEnd && CallerServer.requestsInFlight() == 0;
    if (ServiceEnded || Now.At >= lastExit(Schedule, Now))
      break;
    if (timeBetween(Schedule.Start, Now) < BalancerRemovalDelay)
      continue;
    CallerServer.closeIdle();
    if (CallerServer.connectionCount() == 0)
      break;
  }
  logEvent(log_level::Info, "stopped",
           {{"requests_cut", CallerServer.requestsInFlight()}});
  Context.stop();
}

json::object entry_host::dump() const {
  return {{"host", Settings.Host},
          {"zone", Settings.Zone},
          {"leaving", Leaving},
          {"accounts", ProxyEnvironment.Access
                           ? ProxyEnvironment.Access->Accounts.accountCount()
                           : 0},
          {"caller_connections", CallerServer.connectionCount()},
          {"requests_in_flight", CallerServer.requestsInFlight()},
          {"backend_connections_idle", Client.idleConnectionCount()},
          {"view", View.dump()},
          {"slots", Slots.dump()},
          {"quotas", Quotas.dump()}};
}

} // namespace coriandertray
