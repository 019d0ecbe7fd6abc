#include "entry_host/attempt_log.h"

#include <doctest/doctest.h>

using namespace coriandertray;

namespace {

attempt refusedAttempt() {
  attempt Attempt;
  Attempt.Slot.Verdict = slot_verdict::Granted;
  Attempt.CallStatus = call_status::Answered;
  Attempt.Response.Status = 421;
  Attempt.Proof = not_run_proof::Refused421;
  Attempt.Trace = {7, 3, 1, 2, 180};
  return Attempt;
}

} // namespace

TEST_CASE("the entry of a refused attempt tells the proof and what was sent on "
          "its connection before") {
  const json::object Entry = attemptEntry(refusedAttempt(), time_point());
  CHECK(numberAt(Entry, "status") == 421);
  CHECK(stringAt(Entry, "not_run_proof") == "refused-421");
  CHECK(numberAt(Entry, "connection") == 7);
  CHECK(numberAt(Entry, "connection_requests_before") == 3);
  CHECK(numberAt(Entry, "connections_avoided") == 1);
  CHECK(numberAt(Entry, "responses_skipped") == 2);
  CHECK(numberAt(Entry, "bytes_written") == 180);
}

TEST_CASE("an attempt without a response of its own has neither status nor "
          "proof") {
  attempt Attempt = refusedAttempt();
  Attempt.CallStatus = call_status::Malformed;
  Attempt.Proof = not_run_proof::None;
  const json::object Entry = attemptEntry(Attempt, time_point());
  CHECK(numberAt(Entry, "status", -1) == 0);
  CHECK(stringAt(Entry, "not_run_proof", "missing").empty());
}

TEST_CASE("calls count by connection, and mismatched responses by number") {
  metric_registry Metrics;
  attempt Attempt = refusedAttempt();
  recordCall(Attempt, "r1", Metrics);
  Attempt.Trace = {8, 0, false, 0, 180};
  recordCall(Attempt, "r1", Metrics);
  Attempt.Trace = {};
  recordCall(Attempt, "r1", Metrics);
  constexpr std::string_view Calls = "coriandertray_backend_calls_total";
  CHECK(Metrics.counter(Calls, "connection=\"reused\"") == 1);
  CHECK(Metrics.counter(Calls, "connection=\"new\"") == 1);
  CHECK(Metrics.counter("coriandertray_mismatched_responses_total") == 2);
}
