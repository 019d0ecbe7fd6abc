#include "entry_host/caller_access.h"

#include "entry_host/attempt_classification.h"
#include "utils/log.h"

namespace coriandertray {

namespace {

constexpr duration UnconfirmedRetryAfter = milliseconds(500);

// The rules may have changed since the route was found. A request that matches
// no route any more is finished by the rule of its former route.
bool allowsAnonymous(const access_rules &Rules,
                     const proxied_request &Request) {
  const bool IsFirstCheck = !Request.CheckedBy;
  const route_rule *Route =
      IsFirstCheck || !Rules.Routes
          ? nullptr
          : Rules.Routes->match(Request.Route.Host, Request.Message.Target);
  return Route ? Route->AllowAnonymous : Request.Route.AllowAnonymous;
}

http_response unauthorizedResponse(std::string_view Reason) {
  constexpr unsigned Unauthorized = 401;
  http_response Response =
      notRunResponse(Unauthorized, Reason, duration::zero());
  setHeader(Response.Headers, "WWW-Authenticate", "Bearer");
  return Response;
}

} // namespace

void applyAccessRules(proxy_environment &Environment, access_rules Rules) {
  Environment.Access = std::make_shared<const access_rules>(std::move(Rules));
  wakeRequests(Environment);
}

access_decision checkAccess(const proxy_environment &Environment,
                            proxied_request &Request) {
  const std::shared_ptr<const access_rules> &Rules = Environment.Access;
  if (!Request.CheckedBy)
    Request.Key =
        withoutText(readBearerKey(Request.Message.Headers), Rules->Secret);
  const access_context Context = {allowsAnonymous(*Rules, Request),
                                  Environment.ConfigIsCurrent()};
  Request.CheckedBy = Rules;
  if (!Rules->Accounts.empty()) {
    removeHeader(Request.Message.Headers, header::Authorization);
    removeHeader(Request.Message.Headers, Environment.Names.Account);
  }
  access_decision Decision =
      decideAccess(Rules->Accounts, Request.Key, Context);
  if (Decision.Verdict == access_verdict::Allowed)
    Request.Account = Decision.Account;
  return Decision;
}

http_response refuseAccess(proxy_environment &Environment,
                           const proxied_request &Request,
                           const access_decision &Decision) {
  const bool Unauthorized = Decision.Verdict == access_verdict::Unauthorized;
  const std::string_view Reason = accessRefusalName(Decision.Refusal);
  const std::string RequestId =
      findHeader(Request.Message.Headers, Environment.Names.RequestId)
          .value_or("");
  logEvent(log_level::Info, Unauthorized ? "unauthorized" : "access-undecided",
           {{"request_id", RequestId},
            {"route", Request.Route.Name},
            {"config_version", Request.CheckedBy->ConfigVersion},
            {"reason", Reason}});
  if (Unauthorized)
    Environment.Metrics.count("coriandertray_unauthorized_total",
                              "reason=\"" + std::string(Reason) + "\"");
  http_response Response =
      Unauthorized
          ? unauthorizedResponse(Reason)
          : notRunResponse(status::Unavailable, "configuration-unconfirmed",
                           UnconfirmedRetryAfter);
  if (!RequestId.empty())
    setHeader(Response.Headers, Environment.Names.RequestId, RequestId);
  return Response;
}

} // namespace coriandertray
