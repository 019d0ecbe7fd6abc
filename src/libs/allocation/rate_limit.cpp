#include "allocation/rate_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace coriandertray {

namespace {

// The bucket holds the tokens of this time, so that requests which arrive close
// together need not wait.
constexpr double BurstSeconds = 0.5;
// A server gets at least this many requests per second, because only a response
// can report that its limit was raised.
constexpr double MinRequestsPerSecond = 0.25;
// The parts that the allocators beside the primary use. All parts together stay
// below one and a half times the limit, which servers tolerate.
constexpr double StandInShare = 0.25;
constexpr double AllLocalShare = 0.1;

double bucketSize(double Rate) { return std::max(1.0, Rate * BurstSeconds); }

void refill(rate_limiter &Limiter, time_point Now) {
  Limiter.Tokens = availableTokens(Limiter, Now);
  Limiter.RefilledAt = Now;
}

} // namespace

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

double rateLimitShare(allocator_role Role, std::size_t HostCount) {
  switch (Role) {
  case allocator_role::Primary:
    return 1;
  case allocator_role::StandIn:
    return StandInShare;
  case allocator_role::Local:
    return AllLocalShare /
           static_cast<double>(std::max<std::size_t>(1, HostCount));
  }
  return 1;
}

void applyReport(rate_limiter &Limiter, const rate_limit &Limit,
                 time_point ReportedAt, time_point Now) {
  if (ReportedAt < Limiter.ReportedAt)
    return;
  Limiter.ReportedAt = ReportedAt;
  const bool BecomesLimited = !Limiter.Limit.RequestsPerSecond;
  if (std::exchange(Limiter.Limit, Limit) == Limit || !BecomesLimited)
    return;
  Limiter.Tokens = 0;
  Limiter.RefilledAt = Now;
}

void setShare(rate_limiter &Limiter, double Share, time_point Now) {
  if (Limiter.Share == Share)
    return;
  refill(Limiter, Now);
  Limiter.Share = Share;
}

double sustainedRate(const rate_limiter &Limiter) {
  const std::optional<double> &Limit = Limiter.Limit.RequestsPerSecond;
  return Limit ? std::max(*Limit, MinRequestsPerSecond) * Limiter.Share
               : std::numeric_limits<double>::infinity();
}

double availableTokens(const rate_limiter &Limiter, time_point Now) {
  const double Rate = sustainedRate(Limiter);
  if (std::isinf(Rate))
    return Rate;
  const double Elapsed = std::max(0.0, toSeconds(Now - Limiter.RefilledAt));
  return std::min(bucketSize(Rate), Limiter.Tokens + Rate * Elapsed);
}

void consumeToken(rate_limiter &Limiter, time_point Now) {
  refill(Limiter, Now);
  Limiter.Tokens -= 1;
}

void returnToken(rate_limiter &Limiter, time_point Now) {
  refill(Limiter, Now);
  Limiter.Tokens += 1;
}

json::value toJson(const rate_limit &Limit) {
  return Limit.RequestsPerSecond ? json::value(*Limit.RequestsPerSecond)
                                 : json::value();
}

} // namespace coriandertray
