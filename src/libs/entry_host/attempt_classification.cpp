#include "entry_host/attempt_classification.h"

#include <algorithm>
#include <array>

namespace coriandertray {

namespace {

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned FirstServerError = 500;

// A caller takes these for proof that the request was not run.
bool deniesRun(unsigned Status) {
  constexpr std::array Denying = {RequestTimeout, Misdirected, TooManyRequests,
                                  status::Unavailable};
  return std::ranges::find(Denying, Status) != Denying.end();
}

bool isSuccess(unsigned Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

attempt_verdict judgeSuccess(const http_headers &Headers,
                             const header_names &Names) {
  const bool Signed = findHeader(Headers, Names.Signature).has_value();
  const bool Encoded = findHeader(Headers, "Content-Encoding").has_value();
  if (Signed && !Encoded)
    return {attempt_end::Won, slot_outcome::Succeeded};
  return {attempt_end::Failed, slot_outcome::Failed};
}

attempt_verdict judgeAnswer(const http_response &Answer,
                            const header_names &Names) {
  const unsigned Status = Answer.Status;
  const bool SaysNotRun = findHeader(Answer.Headers, Names.NotRun).has_value();
  if (Status == Misdirected)
    return {attempt_end::NotRun, slot_outcome::Misdirected};
  if (SaysNotRun && deniesRun(Status))
    return {attempt_end::NotRun, slot_outcome::Full};
  if (isSuccess(Status))
    return judgeSuccess(Answer.Headers, Names);
  // What may have run must not be told with a status that denies it.
  if (deniesRun(Status))
    return {attempt_end::Failed, slot_outcome::Failed};
  if (Status >= FirstServerError)
    return {attempt_end::Answered, slot_outcome::Failed};
  return {attempt_end::Won, slot_outcome::Succeeded};
}

} // namespace

attempt_verdict judgeCall(const call_result &Result,
                          const header_names &Names) {
  if (provesNotRun(Result.Status))
    return {attempt_end::NotRun, slot_outcome::Unreachable};
  if (Result.Status == call_status::Answered)
    return judgeAnswer(Result.Response, Names);
  const bool NoAnswer = Result.Status == call_status::TimedOut ||
                        Result.Status == call_status::Cancelled;
  return {attempt_end::Failed,
          NoAnswer ? slot_outcome::Silent : slot_outcome::Failed};
}

} // namespace coriandertray
