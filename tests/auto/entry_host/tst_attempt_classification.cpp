#include "entry_host/attempt_classification.h"

#include "fleet_fixture.h"

#include <doctest/doctest.h>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

attempt_verdict judgeStatus(unsigned Status, bool Signed, bool NotRun) {
  call_result Result;
  Result.Status = call_status::Answered;
  Result.Response.Status = Status;
  if (Signed)
    setHeader(Result.Response.Headers, TestNames.Signature, "signed");
  if (NotRun)
    setHeader(Result.Response.Headers, TestNames.NotRun, "1");
  return judgeCall(Result, TestNames);
}

attempt_verdict judgeEnd(call_status Status) {
  call_result Result;
  Result.Status = Status;
  return judgeCall(Result, TestNames);
}

} // namespace

TEST_CASE("only what was never sent proves by itself that it did not run") {
  const attempt_verdict NotRun = {attempt_end::NotRun,
                                  slot_outcome::Unreachable};
  CHECK(judgeEnd(call_status::ConnectFailed) == NotRun);
  CHECK(judgeEnd(call_status::NotSent) == NotRun);
  for (const call_status Status :
       {call_status::Lost, call_status::Truncated, call_status::TimedOut,
        call_status::Malformed, call_status::Cancelled})
    CHECK(judgeEnd(Status).End == attempt_end::Failed);
  CHECK(judgeEnd(call_status::TimedOut).Outcome == slot_outcome::Silent);
  CHECK(judgeEnd(call_status::Lost).Outcome == slot_outcome::Failed);
}

TEST_CASE("a success counts only with its signature") {
  CHECK(judgeStatus(200, true, false).End == attempt_end::Won);
  CHECK(judgeStatus(200, false, false).End == attempt_end::Failed);
  CHECK(judgeStatus(204, true, false).End == attempt_end::Won);
}

TEST_CASE("a status that denies having run needs the server's own word") {
  for (const unsigned Status : {408U, 429U, 503U}) {
    CHECK(judgeStatus(Status, true, false).End == attempt_end::Failed);
    CHECK(judgeStatus(Status, false, true) ==
          attempt_verdict{attempt_end::NotRun, slot_outcome::Full});
  }
  CHECK(judgeStatus(421, false, false) ==
        attempt_verdict{attempt_end::NotRun, slot_outcome::Misdirected});
}

TEST_CASE("errors of the server are its answer, other refusals are final") {
  CHECK(judgeStatus(500, true, false) ==
        attempt_verdict{attempt_end::Answered, slot_outcome::Failed});
  CHECK(judgeStatus(404, true, false) ==
        attempt_verdict{attempt_end::Won, slot_outcome::Succeeded});
}
