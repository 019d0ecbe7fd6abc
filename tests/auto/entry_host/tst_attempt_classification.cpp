#include "entry_host/attempt_classification.h"

#include "fleet_fixture.h"

#include <doctest/doctest.h>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

attempt_classification classifyStatus(unsigned Status, bool Signed,
                                      bool NotRun) {
  call_result Result;
  Result.Status = call_status::Answered;
  Result.Response.Status = Status;
  if (Signed)
    setHeader(Result.Response.Headers, TestNames.Signature, "signed");
  if (NotRun)
    setHeader(Result.Response.Headers, TestNames.NotRun, "1");
  return classifyCallResult(Result, TestNames);
}

attempt_classification classifyCallStatus(call_status Status) {
  call_result Result;
  Result.Status = Status;
  return classifyCallResult(Result, TestNames);
}

} // namespace

TEST_CASE("only what was never sent proves by itself that it did not run") {
  const attempt_classification NotRun = {attempt_state::NotRun,
                                         slot_outcome::Unreachable};
  CHECK(classifyCallStatus(call_status::ConnectFailed) == NotRun);
  CHECK(classifyCallStatus(call_status::NotSent) == NotRun);
  for (const call_status Status :
       {call_status::Lost, call_status::Truncated, call_status::TimedOut,
        call_status::Malformed, call_status::Cancelled})
    CHECK(classifyCallStatus(Status).State == attempt_state::Failed);
  CHECK(classifyCallStatus(call_status::TimedOut).Outcome ==
        slot_outcome::Silent);
  CHECK(classifyCallStatus(call_status::Lost).Outcome == slot_outcome::Failed);
}

TEST_CASE("a success counts only with its signature") {
  CHECK(classifyStatus(200, true, false).State == attempt_state::Accepted);
  CHECK(classifyStatus(200, false, false).State == attempt_state::Failed);
  CHECK(classifyStatus(204, true, false).State == attempt_state::Accepted);
}

TEST_CASE("a status that denies having run needs the server's own word") {
  for (const unsigned Status : {408U, 429U, 503U}) {
    CHECK(classifyStatus(Status, true, false).State == attempt_state::Failed);
    CHECK(classifyStatus(Status, false, true) ==
          attempt_classification{attempt_state::NotRun, slot_outcome::Full});
  }
  CHECK(
      classifyStatus(421, false, false) ==
      attempt_classification{attempt_state::NotRun, slot_outcome::Misdirected});
}

TEST_CASE("errors of the server are its answer, other refusals are final") {
  CHECK(
      classifyStatus(500, true, false) ==
      attempt_classification{attempt_state::ServerError, slot_outcome::Failed});
  CHECK(
      classifyStatus(404, true, false) ==
      attempt_classification{attempt_state::Accepted, slot_outcome::Succeeded});
}
