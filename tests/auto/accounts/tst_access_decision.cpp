#include "accounts/access_decision.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace coriandertray;

namespace {

const key_secret Secret = makeKeySecret();

const account_directory &oneAccount() {
  static const account_directory Directory({{"acme", {"good"}, 2, {}}}, Secret);
  return Directory;
}

presented_key keyOf(std::string Text) {
  return withoutText({bearer_status::Present, std::move(Text)}, Secret);
}

presented_key noKey(bearer_status Status) { return {Status, std::nullopt}; }

constexpr access_context Closed = {false, true};
constexpr access_context Open = {true, true};

} // namespace

// Guards against: a request that is served for no or another account.
TEST_CASE("a known key is allowed for its account on every route") {
  for (const access_context &Context : {Closed, Open}) {
    const access_decision Decision =
        decideAccess(oneAccount(), keyOf("good"), Context);
    CHECK(Decision.Verdict == access_verdict::Allowed);
    CHECK(Decision.Account == request_account{"acme", 2, {}});
    CHECK(Decision.Digest == digestOf("good", Secret));
  }
}

// Guards against: a request without a valid key that reaches a backend server,
// and a reason that misleads the operator.
TEST_CASE("each kind of invalid key is refused with its reason") {
  const auto RefusalOf = [](const presented_key &Key,
                            const access_context &Context) {
    const access_decision Decision = decideAccess(oneAccount(), Key, Context);
    CHECK_FALSE(Decision.Account);
    CHECK((Decision.Verdict == access_verdict::Allowed) ==
          (Decision.Refusal == access_refusal::None));
    return accessRefusalName(Decision.Refusal);
  };
  CHECK(RefusalOf(noKey(bearer_status::None), Closed) == "key-missing");
  CHECK(RefusalOf(noKey(bearer_status::None), Open) == "none");
  for (const access_context &Context : {Closed, Open}) {
    CHECK(RefusalOf(noKey(bearer_status::Malformed), Context) ==
          "key-malformed");
    CHECK(RefusalOf(noKey(bearer_status::Doubled), Context) == "key-doubled");
    CHECK(RefusalOf(keyOf("bad"), Context) == "key-unknown");
  }
}

// Guards against: 401 from a host that may have missed the version that adds
// the key; and an outage for known keys while the platform is unavailable.
TEST_CASE("a configuration that is not confirmed never leads to 401") {
  const bool Holds = rc::check("no Unauthorized", [] {
    const auto Status =
        *rc::gen::element(bearer_status::None, bearer_status::Malformed,
                          bearer_status::Doubled, bearer_status::Present);
    const presented_key Key = Status == bearer_status::Present
                                  ? keyOf(*rc::gen::arbitrary<std::string>())
                                  : noKey(Status);
    const access_context Context = {*rc::gen::arbitrary<bool>(), false};
    RC_ASSERT(decideAccess(oneAccount(), Key, Context).Verdict !=
              access_verdict::Unauthorized);
  });
  CHECK(Holds);
  const access_context Unconfirmed = {false, false};
  CHECK(decideAccess(oneAccount(), keyOf("bad"), Unconfirmed).Verdict ==
        access_verdict::Unconfirmed);
  CHECK(decideAccess(oneAccount(), keyOf("good"), Unconfirmed).Verdict ==
        access_verdict::Allowed);
}

// Guards against: a configuration without accounts that refuses requests.
TEST_CASE("without accounts every request is allowed without an account") {
  const account_directory None;
  for (const presented_key &Key :
       {noKey(bearer_status::None), noKey(bearer_status::Malformed),
        noKey(bearer_status::Doubled), keyOf("any")}) {
    const access_decision Decision = decideAccess(None, Key, Closed);
    CHECK(Decision.Verdict == access_verdict::Allowed);
    CHECK_FALSE(Decision.Account);
  }
}
