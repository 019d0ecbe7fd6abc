#include "entry_host/attempt_log.h"

#include "utils/log.h"

namespace coriandertray {

namespace {

// Other responses than those of answered calls are not the server's for this
// request.
unsigned serverStatus(const attempt &Attempt) {
  return Attempt.CallStatus == call_status::Answered ? Attempt.Response.Status
                                                     : 0;
}

void addTrace(json::object &Entry, const call_trace &Trace) {
  Entry["connection"] = Trace.Connection;
  Entry["connection_requests_before"] = Trace.RequestsBefore;
  Entry["connections_avoided"] = Trace.ConnectionsAvoided;
  Entry["responses_skipped"] = Trace.ResponsesSkipped;
  Entry["bytes_written"] = Trace.BytesWritten;
}

} // namespace

json::object attemptEntry(const attempt &Attempt, time_point RequestStart) {
  const backend_report Report = Attempt.Report.value_or(backend_report());
  const bool Granted = Attempt.Slot.Verdict == slot_verdict::Granted;
  json::object Entry = {
      {"backend_server", Attempt.Slot.Backend},
      {"address", toString(Attempt.Slot.Address)},
      {"allocator", Attempt.Allocator},
      {"outcome", Granted ? slotOutcomeName(Attempt.Outcome)
                          : std::string_view(Attempt.Slot.Reason)},
      {"call", callStatusName(Attempt.CallStatus)},
      {"status", serverStatus(Attempt)},
      {"not_run_proof", notRunProofName(Attempt.Proof)},
      {"waited_ms", Attempt.CallStarted
                        ? toMilliseconds(Attempt.CallStartedAt - RequestStart)
                        : 0.0},
      {"ran_ms", toMilliseconds(Attempt.Elapsed)},
      {"server_requests_per_s", toJson(Report.Limit.value_or(rate_limit{}))},
      {"server_leaving", Report.Leaving},
      {"server_hold_off_ms", toMilliseconds(Report.HoldOff)}};
  addTrace(Entry, Attempt.Trace);
  return Entry;
}

void recordCall(const attempt &Attempt, std::string_view RequestId,
                metric_registry &Metrics) {
  const call_trace &Trace = Attempt.Trace;
  if (Trace.Connection != 0)
    Metrics.count("coriandertray_backend_calls_total",
                  Trace.RequestsBefore == 0 ? "connection=\"new\""
                                            : "connection=\"reused\"");
  if (Trace.ResponsesSkipped == 0)
    return;
  Metrics.count("coriandertray_mismatched_responses_total", {},
                Trace.ResponsesSkipped);
  json::object Fields = {{"request_id", RequestId},
                         {"backend_server", Attempt.Slot.Backend},
                         {"address", toString(Attempt.Slot.Address)},
                         {"call", callStatusName(Attempt.CallStatus)},
                         {"status", serverStatus(Attempt)}};
  addTrace(Fields, Trace);
  logEvent(log_level::Warning, "response-mismatched", Fields);
}

} // namespace coriandertray
