#include "claims/claim_shard.h"
#include "claims/claim_token.h"

#include <doctest/doctest.h>

using namespace coriandertray;

// Guards against: a host that starts again gives a request the token of an
// earlier one, so that the claim of the same key is granted once more.
TEST_CASE("a key is not claimed again by the next process of the host") {
  claim_shard Shard;
  const auto ClaimAfterStart = [&Shard] {
    claim_token_source Tokens = makeClaimTokens("host");
    const claim_change Change = {claim_action::Claim, "key",
                                 nextClaimToken(Tokens), 1000};
    return applyClaimChanges(Shard, {Change}, 0).front();
  };
  CHECK(ClaimAfterStart() == claim_answer::Granted);
  CHECK(ClaimAfterStart() == claim_answer::Duplicate);
}

TEST_CASE("each request of a process has a token of its own") {
  claim_token_source Tokens = makeClaimTokens("host");
  const std::string First = nextClaimToken(Tokens);
  CHECK(First != nextClaimToken(Tokens));
}
