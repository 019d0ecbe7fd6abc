#include "allocation/rate_limit.h"

#include <charconv>
#include <cmath>
#include <string>

namespace coriandertray {

result<rate_limit> parseRateLimit(std::string_view Text) {
  double Number = 0;
  const char *TextEnd = Text.data() + Text.size();
  const auto [End, Failure] = std::from_chars(Text.data(), TextEnd, Number);
  const bool IsNumber = Failure == std::errc() && End == TextEnd;
  if (!IsNumber || !std::isfinite(Number) || Number < 0)
    return fail(error_code::ValueOutOfRange,
                std::string(Text) + " is not a number of requests per second");
  return rate_limit{Number};
}

json::value toJson(const rate_limit &Limit) {
  return Limit.RequestsPerSecond ? json::value(*Limit.RequestsPerSecond)
                                 : json::value();
}

} // namespace coriandertray
