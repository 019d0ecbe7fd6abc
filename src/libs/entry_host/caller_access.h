/// \file
/// Applies the access rules of the configuration in force to requests. All
/// functions run on the thread of the io_context.
#pragma once

#include "entry_host/header_names.h"
#include "entry_host/request_proxy.h"

#include "accounts/access_decision.h"
#include "http/http_message.h"

namespace coriandertray {

/// Puts \p Rules in force. Requests that wait for a slot are decided again at
/// once.
void applyAccessRules(proxy_environment &Environment, access_rules Rules);

/// Decides on \p Request by the rules in force. If it is allowed, sets its
/// account; if there are accounts, removes the headers that callers must not
/// pass to backend servers. \pre There are rules in force.
[[nodiscard]] access_decision checkAccess(const proxy_environment &Environment,
                                          proxied_request &Request);

/// Logs and counts the refusal of \p Request. \returns the response to it: 401,
/// or 503 if there may be a newer configuration. \pre \p Decision is not
/// Allowed.
[[nodiscard]] http_response refuseAccess(proxy_environment &Environment,
                                         const proxied_request &Request,
                                         const access_decision &Decision);

} // namespace coriandertray
