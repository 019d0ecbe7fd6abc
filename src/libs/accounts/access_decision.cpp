#include "accounts/access_decision.h"

namespace coriandertray {

namespace {

access_refusal refusalFor(bearer_status Status) {
  switch (Status) {
  case bearer_status::None:
    return access_refusal::KeyMissing;
  case bearer_status::Malformed:
    return access_refusal::KeyMalformed;
  case bearer_status::Doubled:
    return access_refusal::KeyDoubled;
  case bearer_status::Present:
    break;
  }
  return access_refusal::KeyUnknown;
}

} // namespace

std::string_view accessRefusalName(access_refusal Refusal) {
  switch (Refusal) {
  case access_refusal::None:
    break;
  case access_refusal::KeyMissing:
    return "key-missing";
  case access_refusal::KeyMalformed:
    return "key-malformed";
  case access_refusal::KeyDoubled:
    return "key-doubled";
  case access_refusal::KeyUnknown:
    return "key-unknown";
  }
  return "none";
}

presented_key withoutText(const bearer_key &Key, const key_secret &Secret) {
  if (Key.Status != bearer_status::Present)
    return {Key.Status, std::nullopt};
  return {Key.Status, digestOf(Key.Key, Secret)};
}

access_decision decideAccess(const account_directory &Accounts,
                             const presented_key &Key,
                             const access_context &Context) {
  access_decision Decision;
  Decision.Digest = Key.Digest;
  if (Accounts.empty())
    return Decision;
  const request_account *Account =
      Key.Digest ? Accounts.find(*Key.Digest) : nullptr;
  if (Account) {
    Decision.Account = *Account;
    return Decision;
  }
  if (Key.Status == bearer_status::None && Context.AllowAnonymous)
    return Decision;
  Decision.Refusal = refusalFor(Key.Status);
  Decision.Verdict = Context.ConfigIsCurrent ? access_verdict::Unauthorized
                                             : access_verdict::Unconfirmed;
  return Decision;
}

} // namespace coriandertray
