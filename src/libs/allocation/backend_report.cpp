#include "allocation/backend_report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace coriandertray {

namespace {

// A rate limit that was reported longer ago is not passed on: the server may
// have lifted it since.
constexpr duration LimitMaxAge = seconds(30);
// Longer than any server takes to shut down.
constexpr duration LeavingMaxAge = std::chrono::minutes(30);

bool isOfUse(const backend_reports::entry &Entry, time_point Now) {
  const known_backend_report &Known = Entry.Known;
  const bool HasLimit = Known.Limit.RequestsPerSecond &&
                        Now - Known.LimitReportedAt < LimitMaxAge;
  const bool IsLeaving = Known.Leaving && Now - Entry.UpdatedAt < LeavingMaxAge;
  return HasLimit || IsLeaving || Now < Known.HeldUntil;
}

} // namespace

result<duration> parseHoldOff(std::string_view Text) {
  double Number = 0;
  const char *TextEnd = Text.data() + Text.size();
  const auto [End, Failure] = std::from_chars(Text.data(), TextEnd, Number);
  const bool IsNumber = Failure == std::errc() && End == TextEnd;
  if (!IsNumber || !std::isfinite(Number) || Number < 0)
    return fail(error_code::ValueOutOfRange,
                std::string(Text) + " is not a number of seconds");
  const double Limited = std::min(Number, toSeconds(MaxHoldOff));
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Limited));
}

report_change addReport(backend_reports &State, const std::string &Backend,
                        std::uint64_t StartedAtUnixMs,
                        const backend_report &Report, time_point Now) {
  std::erase_if(State.ByBackend, [Now](const auto &Entry) {
    return !isOfUse(Entry.second, Now);
  });
  backend_reports::entry &Entry = State.ByBackend[Backend];
  known_backend_report &Known = Entry.Known;
  if (Known.StartedAtUnixMs != StartedAtUnixMs)
    Known = {};
  Known.Backend = Backend;
  Known.StartedAtUnixMs = StartedAtUnixMs;
  Entry.UpdatedAt = Now;
  if (Report.Limit) {
    Known.Limit = *Report.Limit;
    Known.LimitReportedAt = Now;
  }
  report_change Change;
  Change.StartedLeaving = Report.Leaving && !std::exchange(Known.Leaving, true);
  Change.HeldOff = Now + Report.HoldOff > std::max(Known.HeldUntil, Now);
  if (Change.HeldOff)
    Known.HeldUntil = Now + Report.HoldOff;
  if (!isOfUse(Entry, Now))
    State.ByBackend.erase(Backend);
  return Change;
}

bool acceptsRequests(const backend_reports &State, const std::string &Backend,
                     std::uint64_t StartedAtUnixMs, time_point Now) {
  const auto Found = State.ByBackend.find(Backend);
  if (Found == State.ByBackend.end())
    return true;
  const known_backend_report &Known = Found->second.Known;
  return Known.StartedAtUnixMs != StartedAtUnixMs ||
         (!Known.Leaving && Now >= Known.HeldUntil);
}

std::vector<known_backend_report>
reportsOf(const backend_reports &State,
          const std::vector<backend_registration> &Servers, time_point Now) {
  std::vector<known_backend_report> Reports;
  for (const backend_registration &Server : Servers) {
    const auto Found = State.ByBackend.find(Server.Name);
    if (Found == State.ByBackend.end() || !isOfUse(Found->second, Now) ||
        Found->second.Known.StartedAtUnixMs != Server.StartedAtUnixMs)
      continue;
    Reports.push_back(Found->second.Known);
  }
  return Reports;
}

} // namespace coriandertray
