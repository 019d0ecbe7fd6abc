/// \file
/// The tokens by which the claims of idempotency keys tell requests apart.
#pragma once

#include <cstdint>
#include <string>

namespace coriandertray {

/// Makes the tokens of one process. Not thread-safe.
struct claim_token_source {
  std::string Prefix;
  std::uint64_t NextNumber = 0;
};

/// \returns the source of a process that starts now on \p Host.
[[nodiscard]] claim_token_source makeClaimTokens(const std::string &Host);

/// \returns a token that no other request has.
[[nodiscard]] std::string nextClaimToken(claim_token_source &Source);

} // namespace coriandertray
