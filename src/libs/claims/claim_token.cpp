#include "claims/claim_token.h"

#include "utils/hash.h"

#include <random>

namespace coriandertray {

// Claims outlive the process, so the number must differ from those of the
// processes before.
claim_token_source makeClaimTokens(const std::string &Host) {
  std::random_device Random;
  constexpr unsigned Half = 32;
  const std::uint64_t Process = (std::uint64_t{Random()} << Half) + Random();
  return {Host + "-" + toHex(Process) + "-", 0};
}

std::string nextClaimToken(claim_token_source &Source) {
  return Source.Prefix + std::to_string(Source.NextNumber++);
}

} // namespace coriandertray
