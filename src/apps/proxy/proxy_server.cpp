#include "proxy_server.h"

#include "caller_responses.h"

#include "claims/claim_shard.h"
#include "http/drain_probe.h"
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
constexpr duration ReportInterval = milliseconds(100);
constexpr duration ClaimTimeout = milliseconds(1500);
constexpr duration ProbeInterval = seconds(1);
/// How long a response waits at most for the release of its claim.
constexpr duration MaxReleaseWait = milliseconds(30);
constexpr duration LeavePollInterval = milliseconds(20);
constexpr std::string_view AnonymousAccount = "anonymous";

bool contains(const std::vector<std::string> &Values,
              const std::string &Value) {
  return std::ranges::find(Values, Value) != Values.end();
}

/// Releases an admitted request from the limits of its account when it ends.
class account_admission {
public:
  account_admission(caller_limits &CallerLimits, std::string Account)
      : CallerLimits(CallerLimits), Account(std::move(Account)) {}
  ~account_admission() { CallerLimits.release(Account); }
  account_admission(const account_admission &) = delete;
  account_admission &operator=(const account_admission &) = delete;

private:
  caller_limits &CallerLimits;
  std::string Account;
};

} // namespace

proxy_server::proxy_server(asio::io_context &Context, const clock_source &Clock,
                           proxy_settings Settings)
    : Context(Context), Clock(Clock), Settings(std::move(Settings)),
      Client(Context), Environment{Context, Clock, Client, Metrics},
      Agent(Context, this->Settings.Agent, this->Settings.Host,
            this->Settings.Zone,
            {[this](std::uint64_t Version, manifest Next) {
               applyConfig(Version, std::move(Next));
             },
             [this](const verdict_set &Verdicts) { receiveVerdicts(Verdicts); },
             [this](std::uint32_t Hosts) { applyFleetSize(Hosts); }}),
      CallerServer(
          Context, {},
          [this](http_request Request, std::shared_ptr<peer_connection> Peer) {
            return serve(std::move(Request), std::move(Peer));
          }),
      AdminServer(
          Context, {},
          [this](http_request Request, std::shared_ptr<peer_connection>) {
            return serveAdmin(std::move(Request));
          }),
      Random(stableHash(this->Settings.Host, this->Settings.Seed)),
      ClaimTokens(makeClaimTokens(this->Settings.Host)) {}

result<void> proxy_server::start() {
  const result<void> Admin = AdminServer.listen(Settings.Admin);
  if (!Admin)
    return Admin;
  const result<void> Listening = CallerServer.listen(Settings.Listen);
  if (!Listening)
    return Listening;
  asio::co_spawn(Context, Agent.run(), asio::detached);
  asio::co_spawn(Context, reportLoop(), asio::detached);
  asio::co_spawn(Context, probeLoop(), asio::detached);
  return {};
}

void proxy_server::leave() {
  if (std::exchange(Leaving, true))
    return;
  logEvent(log_level::Info, "leaving",
           {{"requests_in_flight", CallerServer.requestsInFlight()}});
  asio::co_spawn(Context, leaveLoop(), asio::detached);
}

asio::awaitable<void> proxy_server::leaveLoop() {
  // Keep accepting until the platform's load balancer has noticed that this
  // host is no longer ready.
  constexpr duration ReadinessGrace = milliseconds(500);
  asio::steady_timer Timer(Context, ReadinessGrace);
  co_await Timer.async_wait(UseTuple);
  CallerServer.drain();
  const time_point Limit = Clock.now() + Settings.LeaveTimeout;
  while (CallerServer.connectionCount() > 0 && Clock.now() < Limit) {
    Timer.expires_after(LeavePollInterval);
    co_await Timer.async_wait(UseTuple);
  }
  logEvent(log_level::Info, "left",
           {{"requests_cut", CallerServer.requestsInFlight()}});
  Context.stop();
}

void proxy_server::applyConfig(std::uint64_t Version, manifest Next) {
  if (Version <= ConfigVersion)
    return;
  std::erase_if(Services, [&Next](const auto &Entry) {
    return findService(Next, Entry.first) == nullptr;
  });
  for (const service &Service : Next.Services) {
    const auto Found = Services.find(Service.Name);
    if (Found != Services.end()) {
      reconfigure(*Found->second, Service, Settings.Zone);
      continue;
    }
    auto Runtime = std::make_shared<service_runtime>(Service);
    Runtime->Policy = Settings.Policy;
    Runtime->Random.seed(Random());
    Runtime->LiveHosts = LiveHosts;
    const auto Pending = PendingVerdicts.find(Service.Name);
    if (Pending != PendingVerdicts.end())
      replaceVerdicts(*Runtime, Pending->second, Settings.Zone);
    Services.emplace(Service.Name, std::move(Runtime));
  }
  PendingVerdicts.clear();
  CallerLimits.configure(Next);
  Routes.emplace(Next);
  Manifest = std::move(Next);
  ConfigVersion = Version;
  logEvent(log_level::Info, "config-in-force", {{"version", Version}});
}

void proxy_server::receiveVerdicts(const verdict_set &Verdicts) {
  if (!Settings.UseVerdicts)
    return;
  const auto Found = Services.find(Verdicts.Service);
  if (Found == Services.end()) {
    PendingVerdicts[Verdicts.Service] = Verdicts;
    return;
  }
  service_runtime &Runtime = *Found->second;
  const std::vector<backend_state> Before = Runtime.Backends;
  if (!replaceVerdicts(Runtime, Verdicts, Settings.Zone))
    return;
  for (std::size_t Index = 0; Index < Before.size(); ++Index) {
    const backend_state &After = Runtime.Backends[Index];
    if (Before[Index].Status == After.Status)
      continue;
    logEvent(log_level::Info, "standing-in-force",
             {{"service", Verdicts.Service},
              {"backend_server", After.Server.Name},
              {"standing", std::string(statusName(After.Status))}});
  }
}

void proxy_server::applyFleetSize(std::uint32_t Hosts) {
  LiveHosts = std::max(1U, Hosts);
  for (const auto &[Name, Runtime] : Services)
    Runtime->LiveHosts = LiveHosts;
}

asio::awaitable<void> proxy_server::reportLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(ReportInterval);
    co_await Timer.async_wait(UseTuple);
    evidence_report Report = {Settings.Host, Settings.Zone, {}};
    for (const auto &[Name, Runtime] : Services) {
      service_evidence Evidence = takeEvidence(*Runtime);
      if (!Evidence.empty())
        Report.Services.emplace(Name, std::move(Evidence));
    }
    if (!Report.Services.empty())
      Agent.sendEvidence(Report);
  }
}

asio::awaitable<void> proxy_server::probeLoop() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(ProbeInterval);
    co_await Timer.async_wait(UseTuple);
    const bool WithoutAgent = !Agent.isConnected();
    for (const auto &[Name, Runtime] : Services)
      for (const backend_server &Server :
           serversToProbe(*Runtime, WithoutAgent, Clock.now()))
        asio::co_spawn(Context, probeBackend(Runtime, Server), asio::detached);
  }
}

asio::awaitable<void>
proxy_server::probeBackend(std::shared_ptr<service_runtime> Runtime,
                           backend_server Server) {
  const std::optional<bool> IsDraining =
      co_await probeDraining(Context, Server.Address);
  const auto Index = backendIndex(*Runtime, 0, Server.Name);
  if (IsDraining && Index)
    recordDraining(Runtime->Backends[*Index], *IsDraining, Clock.now());
}

asio::awaitable<http_response>
proxy_server::serve(http_request Request,
                    std::shared_ptr<peer_connection> Peer) {
  (void)Peer;
  const time_point Start = Clock.now();
  if (!Routes)
    co_return makeNotRunResponse(status::Unavailable, "no-configuration");
  const std::optional<std::string> Host = singleHost(Request.Headers);
  if (!Host || !isUnambiguousPath(Request.Target))
    co_return makeNotRunResponse(status::BadRequest, "ambiguous-target");
  const std::optional<route_match> Match = Routes->match(*Host, Request.Target);
  if (!Match)
    co_return makeNotRunResponse(status::NotFound, "no-route");
  const service &Service = Manifest.Services[Match->ServiceIndex];
  if (!contains(Service.Routes[Match->RouteIndex].Methods, Request.Method))
    co_return makeNotRunResponse(status::MethodNotAllowed,
                                 "method-not-allowed");
  const std::string Account = findHeader(Request.Headers, header::Account)
                                  .value_or(std::string(AnonymousAccount));
  const std::string ServiceName = Service.Name;
  if (CallerLimits.admit(Account, Start) != admission_result::Admitted) {
    const http_response Refusal =
        makeNotRunResponse(status::TooManyRequests, "account-limit");
    recordResponse(ServiceName, Refusal, Start);
    co_return Refusal;
  }
  const account_admission Admission(CallerLimits, Account);
  http_response Response =
      co_await forward(std::move(Request), *Match, Account, Start);
  recordResponse(ServiceName, Response, Start);
  co_return Response;
}

asio::awaitable<http_response> proxy_server::forward(http_request Request,
                                                     const route_match &Match,
                                                     const std::string &Account,
                                                     time_point Start) {
  const service &Service = Manifest.Services[Match.ServiceIndex];
  const route &Route = Service.Routes[Match.RouteIndex];
  const std::shared_ptr<service_runtime> Runtime = Services.at(Service.Name);
  const std::size_t RouteIndex = Match.RouteIndex;
  routed_request Routed;
  Routed.Account = Account;
  Routed.Idempotent = contains(Route.IdempotentMethods, Request.Method);
  Routed.Deadline = Start + requestTimeout(Route, Request.Headers);
  const auto CallerId = findHeader(Request.Headers, header::RequestId);
  const auto CallerKey = findHeader(Request.Headers, header::IdempotencyKey);
  removeHopByHopHeaders(Request.Headers);
  request_result Result;
  if (CallerKey && !Routed.Idempotent) {
    std::string Key = claimKey(Service.Name, Account, *CallerKey);
    Result = co_await runWithIdempotencyKey(Runtime, std::move(Request),
                                            std::move(Routed), RouteIndex,
                                            std::move(Key));
  } else {
    Result = co_await runRequest(Environment, Runtime, std::move(Request),
                                 std::move(Routed), RouteIndex);
  }
  const bool IsDuplicate = Result.Reason == outcome::Duplicate;
  http_response Response =
      IsDuplicate ? makeOutcomeResponse(status::Conflict, outcome::Duplicate,
                                        "key-used")
                  : toResponse(std::move(Result));
  if (CallerId)
    setHeader(Response.Headers, header::RequestId, *CallerId);
  co_return Response;
}

asio::awaitable<request_result>
proxy_server::runWithIdempotencyKey(std::shared_ptr<service_runtime> Runtime,
                                    http_request Request, routed_request Routed,
                                    std::size_t RouteIndex, std::string Key) {
  request_result Result;
  // Check admission first: a claim and its release would cost the store two
  // updates for a request that is refused anyway.
  if (!wouldAdmit(*Runtime, Routed.Deadline, Clock.now())) {
    Result.Reason = "overloaded";
    co_return Result;
  }
  const seconds Retention = Runtime->Config.KeyRetention;
  claim_change Change;
  Change.Key = std::move(Key);
  Change.Token = nextClaimToken(ClaimTokens);
  const duration Timeout =
      std::min<duration>(ClaimTimeout, Routed.Deadline - Clock.now());
  const claim_answer Answer =
      co_await Agent.changeClaim(Change, Retention, Timeout);
  if (Answer == claim_answer::Duplicate) {
    Result.Reason = std::string(outcome::Duplicate);
    co_return Result;
  }
  const bool RunsWithoutClaim =
      Runtime->Config.KeyedRequestsWhileStoreUnavailable ==
      store_unavailable_policy::RunWithoutClaim;
  if (Answer == claim_answer::Unavailable && !RunsWithoutClaim) {
    Result.Reason = "store-away";
  } else {
    Result = co_await runRequest(Environment, Runtime, std::move(Request),
                                 std::move(Routed), RouteIndex);
  }
  if (Result.Outcome == request_outcome::NotRun)
    co_await releaseClaim(std::move(Change), Retention);
  co_return Result;
}

// A caller that is told "not run" may send the same key again, so the claim
// should be released before the response. A busy store must not delay the
// response by more than MaxReleaseWait; the release then continues in the
// background.
asio::awaitable<void> proxy_server::releaseClaim(claim_change Change,
                                                 seconds Retention) {
  Change.Action = claim_action::Release;
  const auto WaitTimer =
      std::make_shared<asio::steady_timer>(Context, MaxReleaseWait);
  asio::co_spawn(
      Context,
      [this, Change, Retention, WaitTimer]() -> asio::awaitable<void> {
        co_await Agent.changeClaim(Change, Retention, ClaimTimeout);
        WaitTimer->cancel();
      },
      asio::detached);
  co_await WaitTimer->async_wait(UseTuple);
}

void proxy_server::recordResponse(const std::string &Service,
                                  const http_response &Response,
                                  time_point Start) {
  const std::string Labels = "service=\"" + Service + "\"";
  const std::string Outcome =
      findHeader(Response.Headers, header::Outcome).value_or("answered");
  Metrics.count("coriandertray_requests_total",
                Labels + ",outcome=\"" + Outcome + "\"");
  Metrics.observe("coriandertray_request_seconds", Labels, Clock.now() - Start);
}

void proxy_server::updateGauges() {
  Metrics.set("coriandertray_config_version", "",
              static_cast<double>(ConfigVersion));
  Metrics.set("coriandertray_requests_in_flight", "",
              static_cast<double>(CallerServer.requestsInFlight()));
  for (const auto &[Name, Runtime] : Services) {
    const std::string Labels = "service=\"" + Name + "\"";
    const std::vector<bool> Usable = usableBackends(
        Runtime->Backends, Runtime->Config.FloorSlots, Clock.now());
    Metrics.set("coriandertray_usable_backend_servers", Labels,
                static_cast<double>(std::ranges::count(Usable, true)));
    Metrics.set("coriandertray_queued_requests", Labels,
                static_cast<double>(Runtime->Queue.size()));
  }
}

asio::awaitable<http_response> proxy_server::serveAdmin(http_request Request) {
  if (Request.Target == "/live")
    co_return jsonResponse(status::Ok, "{}");
  if (Request.Target == "/ready") {
    const bool Ready = !Leaving && ConfigVersion > 0;
    co_return jsonResponse(Ready ? status::Ok : status::Unavailable, "{}");
  }
  if (Request.Target == "/metrics") {
    updateGauges();
    http_response Response;
    Response.Headers = {
        {std::string(header::ContentType), "text/plain; version=0.0.4"}};
    Response.Body = Metrics.write();
    co_return Response;
  }
  if (Request.Target == "/dump")
    co_return jsonResponse(status::Ok, toPrettyJson(dump()));
  if (Request.Target == "/leave" && Request.Method == "POST") {
    const auto Given = findHeader(Request.Headers, header::Authorization);
    if (!Given || *Given != "Bearer " + Settings.AdminToken)
      co_return jsonResponse(status::Unauthorized,
                             R"({"error":"unauthorized"})");
    leave();
    co_return jsonResponse(status::Ok, "{}");
  }
  co_return jsonResponse(status::NotFound, R"({"error":"unknown-path"})");
}

} // namespace coriandertray
