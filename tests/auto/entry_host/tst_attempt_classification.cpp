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

TEST_CASE(
    "only a request that was never sent is not run without further proof") {
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

TEST_CASE("a 2xx response counts as a success only with a signature") {
  CHECK(classifyStatus(200, true, false).State == attempt_state::Accepted);
  CHECK(classifyStatus(200, false, false).State == attempt_state::Failed);
  CHECK(classifyStatus(204, true, false).State == attempt_state::Accepted);
}

TEST_CASE(
    "status 408, 429 or 503 proves not-run only with its header, 421 always") {
  for (const unsigned Status : {408U, 429U, 503U}) {
    CHECK(classifyStatus(Status, true, false).State == attempt_state::Failed);
    CHECK(classifyStatus(Status, false, true) ==
          attempt_classification{attempt_state::NotRun, slot_outcome::Full});
  }
  CHECK(
      classifyStatus(421, false, false) ==
      attempt_classification{attempt_state::NotRun, slot_outcome::Misdirected});
}

TEST_CASE("the proof that is logged is the one that the request counts as not "
          "run for") {
  const auto ProofName = [](const call_result &Result) {
    const not_run_proof Proof = notRunProof(Result, TestNames);
    const bool IsNotRun =
        classifyCallResult(Result, TestNames).State == attempt_state::NotRun;
    CHECK(IsNotRun == (Proof != not_run_proof::None));
    return notRunProofName(Proof);
  };
  const auto ProofOf = [&ProofName](unsigned Status, bool HasNotRunHeader) {
    call_result Result;
    Result.Status = call_status::Answered;
    Result.Response.Status = Status;
    if (HasNotRunHeader)
      setHeader(Result.Response.Headers, TestNames.NotRun, "1");
    return ProofName(Result);
  };
  CHECK(ProofOf(408, true) == "refused-408");
  CHECK(ProofOf(421, true) == "refused-421");
  CHECK(ProofOf(421, false) == "refused-421");
  CHECK(ProofOf(429, true) == "refused-429");
  CHECK(ProofOf(503, true) == "refused-503");
  for (const unsigned Status : {200U, 404U, 408U, 429U, 500U, 503U, 504U})
    CHECK(ProofOf(Status, false).empty());
  for (const unsigned Status : {200U, 404U, 500U, 504U})
    CHECK(ProofOf(Status, true).empty());
  call_result Unanswered;
  // The status of a response that was not the server's for this request.
  Unanswered.Response.Status = 421;
  for (const call_status Status :
       {call_status::Lost, call_status::Truncated, call_status::TimedOut,
        call_status::Malformed, call_status::TooLarge,
        call_status::Cancelled}) {
    Unanswered.Status = Status;
    CHECK(ProofName(Unanswered).empty());
  }
  Unanswered.Status = call_status::ConnectFailed;
  CHECK(ProofName(Unanswered) == "connect-failed");
  Unanswered.Status = call_status::NotSent;
  CHECK(ProofName(Unanswered) == "not-sent");
}

TEST_CASE(
    "status 500 is a server error, a 404 is accepted as the final response") {
  CHECK(
      classifyStatus(500, true, false) ==
      attempt_classification{attempt_state::ServerError, slot_outcome::Failed});
  CHECK(
      classifyStatus(404, true, false) ==
      attempt_classification{attempt_state::Accepted, slot_outcome::Succeeded});
}

TEST_CASE("a rate limit is read from responses of the backend server only") {
  call_result Result;
  Result.Status = call_status::Answered;
  Result.Response.Status = 200;
  const auto ReadLimit = [&Result] {
    return readBackendReport(Result, TestNames)
        .Report.value_or(backend_report())
        .Limit;
  };
  setHeader(Result.Response.Headers, TestNames.RateLimit, "2.5");
  CHECK(ReadLimit() == std::optional<rate_limit>());
  setHeader(Result.Response.Headers, TestNames.Signature, "signed");
  CHECK(ReadLimit() == rate_limit{2.5});
  for (const char *Malformed : {"", "fast", "-1", "2.5/s", "nan", "inf"}) {
    setHeader(Result.Response.Headers, TestNames.RateLimit, Malformed);
    const report_reading Reading = readBackendReport(Result, TestNames);
    REQUIRE(Reading.Faults.size() == 1);
    CHECK(Reading.Faults.front().Code == error_code::ValueOutOfRange);
    CHECK(ReadLimit() == std::optional<rate_limit>());
  }
  removeHeader(Result.Response.Headers, TestNames.RateLimit);
  CHECK(ReadLimit() == rate_limit{});
  Result.Response.Status = 421;
  CHECK(readBackendReport(Result, TestNames).Report ==
        std::optional<backend_report>());
  Result.Status = call_status::Truncated;
  CHECK(readBackendReport(Result, TestNames).Report ==
        std::optional<backend_report>());
}

TEST_CASE("a server's leaving and its Retry-After are read, even next to a "
          "malformed header") {
  call_result Result;
  Result.Status = call_status::Answered;
  Result.Response.Status = 503;
  Result.Response.Headers = {{TestNames.NotRun, "1"},
                             {TestNames.RateLimit, "many"},
                             {TestNames.Leaving, "1"},
                             {"Retry-After", "1.25"}};
  report_reading Reading = readBackendReport(Result, TestNames);
  CHECK(Reading.Faults.size() == 1);
  REQUIRE(Reading.Report);
  CHECK(Reading.Report->Leaving);
  CHECK(Reading.Report->HoldOff == milliseconds(1250));
  setHeader(Result.Response.Headers, "Retry-After", "soon");
  Reading = readBackendReport(Result, TestNames);
  CHECK(Reading.Faults.size() == 2);
  CHECK(Reading.Report->HoldOff == duration::zero());
  // Only a 503 says that the server wants nothing for a while.
  Result.Response.Status = 500;
  setHeader(Result.Response.Headers, "Retry-After", "3");
  CHECK(readBackendReport(Result, TestNames).Report->HoldOff ==
        duration::zero());
}
