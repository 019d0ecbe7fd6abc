/// \file
/// Decides whether a request may be served, and for which client account.
#pragma once

#include "accounts/account_directory.h"
#include "accounts/bearer_key.h"
#include "accounts/client_account.h"

#include <optional>
#include <string_view>

namespace coriandertray {

enum class access_verdict {
  Allowed,
  /// The configuration, confirmed to be the newest, does not allow the request.
  Unauthorized,
  /// The configuration of this host does not allow the request, but there may
  /// be a newer one that does.
  Unconfirmed,
};

/// Why a request is not allowed.
enum class access_refusal {
  None,
  KeyMissing,
  KeyMalformed,
  KeyDoubled,
  KeyUnknown
};

/// \returns the stable, kebab-case name of \p Refusal.
[[nodiscard]] std::string_view accessRefusalName(access_refusal Refusal);

/// The key of a request, without its text.
struct presented_key {
  bearer_status Status = bearer_status::None;
  /// Set if Status is Present.
  std::optional<key_digest> Digest;
  bool operator==(const presented_key &) const = default;
};

/// \returns \p Key with its text replaced by the digest.
[[nodiscard]] presented_key withoutText(const bearer_key &Key,
                                        const key_secret &Secret);

/// What the configuration in force says about a request, apart from its key.
struct access_context {
  /// Whether the route of the request serves requests without an account.
  bool AllowAnonymous = false;
  /// Whether the configuration was recently confirmed to be the newest one.
  bool ConfigIsCurrent = false;
  bool operator==(const access_context &) const = default;
};

struct access_decision {
  access_verdict Verdict = access_verdict::Allowed;
  access_refusal Refusal = access_refusal::None;
  /// Nothing if the request is not allowed, or has no account.
  std::optional<request_account> Account;
  /// The digest of the request's key, to decide again under a later
  /// configuration. Nothing if the request has no key that can be read.
  std::optional<key_digest> Digest;
  bool operator==(const access_decision &) const = default;
};

/// Decides on a request with \p Key. Without accounts, each request is allowed.
/// A known key is accepted even if the configuration is not confirmed, as hosts
/// keep serving while the platform is unavailable. Thread-safe.
[[nodiscard]] access_decision decideAccess(const account_directory &Accounts,
                                           const presented_key &Key,
                                           const access_context &Context);

} // namespace coriandertray
