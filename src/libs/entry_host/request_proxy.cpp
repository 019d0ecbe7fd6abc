#include "entry_host/request_proxy.h"

#include "entry_host/attempt_classification.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <ranges>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

// A connection that was idle for longer may be dead without a sign; work that
// can't be repeated is not put at risk on it.
constexpr duration FreshIdleAge = milliseconds(700);
constexpr duration IdleAge = seconds(4);
constexpr duration ConnectTimeout = milliseconds(300);
constexpr duration PathDownTime = seconds(2);
constexpr int MostUnreachable = 4;
// The answer of a request that runs out of time leaves this much earlier.
constexpr duration AnswerMargin = milliseconds(15);

struct attempt {
  repeat_reason Repeat = repeat_reason::None;
  attempt_end End = attempt_end::Open;
  slot_outcome Outcome = slot_outcome::NotUsed;
  std::uint64_t SlotId = 0;
  slot_answer Slot;
  std::string Allocator;
  bool Sent = false;
  time_point SentAt;
  duration Elapsed{0};
  call_status CallStatus = call_status::Cancelled;
  http_response Response;
  std::shared_ptr<slot_wait> Wait = std::make_shared<slot_wait>();
  std::shared_ptr<call_canceller> Canceller =
      std::make_shared<call_canceller>();
};

using attempt_pointer = std::shared_ptr<attempt>;

class course : public std::enable_shared_from_this<course> {
public:
  course(course_environment &Environment, course_request Request,
         std::shared_ptr<caller_presence> Caller)
      : Environment(Environment), Request(std::move(Request)),
        Caller(std::move(Caller)), Signal(Environment.Context),
        RequestId(findHeader(this->Request.Message.Headers,
                             Environment.Names.RequestId)
                      .value_or("")),
        Limit(limitOf()) {
    removeHopByHopHeaders(this->Request.Message.Headers);
  }

  asio::awaitable<http_response> run() {
    Caller->OnGone = [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->Signal.cancel();
    };
    launch(repeat_reason::None);
    for (;;) {
      if (winner() || isOver())
        break;
      if (!anyOpen()) {
        if (!mayTryAgain())
          break;
        launch(nextReason());
        continue;
      }
      if (hedgeIsDue())
        launch(repeat_reason::Slow);
      Signal.expires_at(nextEvent());
      co_await Signal.async_wait(UseTuple);
    }
    Decided = true;
    Caller->OnGone = {};
    abandonOpen();
    http_response Answer = conclude();
    logEnd(Answer);
    co_return Answer;
  }

private:
  [[nodiscard]] time_point now() const { return Environment.Clock.now(); }

  [[nodiscard]] time_point limitOf() const {
    duration Allowed = Request.Route.Timeout;
    const std::string Text =
        findHeader(Request.Message.Headers, Environment.Names.DeadlineMs)
            .value_or("");
    std::int64_t Ms = 0;
    const auto [End, Failure] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
    if (Failure == std::errc() && Ms >= 0)
      Allowed = std::min<duration>(Allowed, milliseconds(Ms));
    return Request.Start + Allowed - AnswerMargin;
  }

  // A caller that left needs no answer; but work that can't be repeated is not
  // broken off, as the caller may have meant it.
  [[nodiscard]] bool isOver() const {
    if (now() >= Limit)
      return true;
    const bool NothingSent = std::ranges::none_of(
        Attempts, [](const attempt_pointer &Each) { return Each->Sent; });
    return Caller->Gone && (Request.Route.Idempotent || NothingSent);
  }

  [[nodiscard]] attempt_pointer winner() const {
    const auto Found =
        std::ranges::find(Attempts, attempt_end::Won, &attempt::End);
    return Found == Attempts.end() ? nullptr : *Found;
  }

  [[nodiscard]] bool anyOpen() const {
    return std::ranges::any_of(Attempts, [](const attempt_pointer &Each) {
      return Each->End == attempt_end::Open;
    });
  }

  // Those that could not be reached got nothing.
  [[nodiscard]] std::size_t sentCount() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Attempts, [](const attempt_pointer &Each) {
          return Each->Sent && Each->Outcome != slot_outcome::Unreachable;
        }));
  }

  [[nodiscard]] bool mayTryAgain() const {
    const attempt &Last = *Attempts.back();
    if (Last.End == attempt_end::SlotRefused &&
        Last.Repeat != repeat_reason::Slow)
      return false;
    const auto Unreachable =
        std::ranges::count_if(Attempts, [](const attempt_pointer &Each) {
          return Each->Outcome == slot_outcome::Unreachable;
        });
    if (Unreachable >= MostUnreachable)
      return false;
    const bool AllNotRun =
        std::ranges::all_of(Attempts, [](const attempt_pointer &Each) {
          return Each->End == attempt_end::NotRun ||
                 Each->End == attempt_end::SlotRefused;
        });
    if (!AllNotRun && !Request.Route.Idempotent)
      return false;
    return sentCount() < Request.Route.MaxAttempts;
  }

  [[nodiscard]] repeat_reason nextReason() const {
    const bool NothingArrived = sentCount() == 0;
    if (NothingArrived)
      return repeat_reason::None;
    const bool AllNotRun =
        std::ranges::all_of(Attempts, [](const attempt_pointer &Each) {
          return Each->End == attempt_end::NotRun;
        });
    return AllNotRun ? repeat_reason::Refused : repeat_reason::Failed;
  }

  [[nodiscard]] const attempt *hedgeable() const {
    if (!Request.Route.Idempotent || HedgeAsked)
      return nullptr;
    const attempt *Open = nullptr;
    for (const attempt_pointer &Each : Attempts) {
      if (Each->End != attempt_end::Open)
        continue;
      if (Open || !Each->Sent)
        return nullptr;
      Open = Each.get();
    }
    return sentCount() < Request.Route.MaxAttempts ? Open : nullptr;
  }

  [[nodiscard]] time_point hedgeAt(const attempt &Open) const {
    return Open.SentAt + Open.Slot.HedgeAfter;
  }

  bool hedgeIsDue() {
    const attempt *Open = hedgeable();
    if (!Open || now() < hedgeAt(*Open))
      return false;
    HedgeAsked = true;
    return true;
  }

  [[nodiscard]] time_point nextEvent() const {
    const attempt *Open = hedgeable();
    return Open ? std::min(Limit, hedgeAt(*Open)) : Limit;
  }

  void launch(repeat_reason Repeat) {
    auto Next = std::make_shared<attempt>();
    Next->Repeat = Repeat;
    Attempts.push_back(Next);
    asio::co_spawn(
        Environment.Context,
        [Self = shared_from_this(), Next] { return Self->make(Next); },
        asio::detached);
  }

  [[nodiscard]] slot_request slotRequest(const attempt &Attempt) {
    slot_request Wanted;
    Wanted.Work = Request.Route.Name;
    Wanted.Idempotent = Request.Route.Idempotent;
    Wanted.Priority = Request.Route.Priority;
    Wanted.Target = Request.Start + Request.Route.TargetLatency;
    Wanted.Deadline = Limit;
    Wanted.Repeat = Attempt.Repeat;
    for (const attempt_pointer &Each : Attempts)
      if (!Each->Slot.Backend.empty())
        Wanted.Tried.push_back(Each->Slot.Backend);
    std::erase_if(Environment.PathDownUntil,
                  [this](const auto &Entry) { return now() >= Entry.second; });
    for (const auto &[Backend, Until] : Environment.PathDownUntil)
      Wanted.Unreachable.push_back(Backend);
    return Wanted;
  }

  asio::awaitable<void> make(attempt_pointer Attempt) {
    slot_request Wanted = slotRequest(*Attempt);
    acquired_slot Slot = co_await Environment.Slots.acquire(
        Request.Service, std::move(Wanted), Attempt->Wait);
    Attempt->Slot = std::move(Slot.Answer);
    Attempt->Allocator = std::move(Slot.Allocator);
    Attempt->SlotId = Attempt->Slot.Key.Id;
    if (Attempt->Slot.Verdict != slot_verdict::Granted) {
      Attempt->End = attempt_end::SlotRefused;
    } else if (Decided || now() >= Limit) {
      Environment.Slots.release(Attempt->SlotId, slot_outcome::NotUsed, {});
      Attempt->End = attempt_end::SlotRefused;
    } else {
      co_await call(Attempt);
    }
    Signal.cancel();
  }

  http_request makeMessage(const attempt &Attempt) {
    http_request Message = Request.Message;
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Limit - now()).count();
    setHeader(Message.Headers, Environment.Names.DeadlineMs,
              std::to_string(std::max<std::int64_t>(1, Left)));
    setHeader(Message.Headers, Environment.Names.TargetBackend,
              Attempt.Slot.Backend);
    return Message;
  }

  asio::awaitable<void> call(attempt_pointer Attempt) {
    call_options Options;
    Options.Timeout = Limit - now();
    Options.ConnectTimeout = ConnectTimeout;
    Options.MaxIdleAge = Request.Route.Idempotent ? IdleAge : FreshIdleAge;
    Attempt->Sent = true;
    Attempt->SentAt = now();
    // When to hedge is known from now on.
    Signal.cancel();
    http_request Message = makeMessage(*Attempt);
    call_result Result = co_await Environment.Client.call(
        Attempt->Slot.Address, std::move(Message), Options, Attempt->Canceller);
    Attempt->Elapsed = now() - Attempt->SentAt;
    const attempt_verdict Verdict = judgeCall(Result, Environment.Names);
    Attempt->End = Verdict.End;
    Attempt->Outcome = Verdict.Outcome;
    Attempt->CallStatus = Result.Status;
    Attempt->Response = std::move(Result.Response);
    if (Attempt->Outcome == slot_outcome::Unreachable)
      Environment.PathDownUntil[Attempt->Slot.Backend] = now() + PathDownTime;
    Environment.Slots.release(Attempt->SlotId, Attempt->Outcome,
                              Attempt->Elapsed);
  }

  void abandonOpen() {
    for (const attempt_pointer &Each : Attempts) {
      if (Each->End != attempt_end::Open)
        continue;
      if (!Each->Sent) {
        giveUp(*Each->Wait);
        continue;
      }
      Each->Elapsed = now() - Each->SentAt;
      Each->Outcome = slot_outcome::Silent;
      Environment.Slots.release(Each->SlotId, Each->Outcome, Each->Elapsed);
      Each->Canceller->cancel();
    }
  }

  http_response passOn(const attempt &Attempt) const {
    http_response Answer = Attempt.Response;
    removeHopByHopHeaders(Answer.Headers);
    return Answer;
  }

  http_response ownAnswer(unsigned Status, std::string_view Reason) {
    FinalReason = std::string(Reason);
    http_response Answer =
        jsonResponse(Status, "{\"error\":\"" + std::string(Reason) + "\"}");
    if (!RequestId.empty())
      setHeader(Answer.Headers, Environment.Names.RequestId, RequestId);
    return Answer;
  }

  http_response conclude() {
    if (const attempt_pointer Winner = winner())
      return passOn(*Winner);
    const auto Final =
        std::ranges::find(Attempts, attempt_end::Answered, &attempt::End);
    if (Final != Attempts.end())
      return passOn(**Final);
    const bool MayHaveRun =
        std::ranges::any_of(Attempts, [](const attempt_pointer &Each) {
          return Each->End == attempt_end::Failed ||
                 (Each->End == attempt_end::Open && Each->Sent);
        });
    if (MayHaveRun && now() >= Limit)
      return ownAnswer(status::GatewayTimeout, "timeout");
    if (MayHaveRun)
      return ownAnswer(status::BadGateway, lastFailure());
    const slot_answer &Slot = Attempts.back()->Slot;
    FinalReason = Slot.Reason.empty() ? "not-run" : Slot.Reason;
    http_response Answer =
        notRunAnswer(status::Unavailable, FinalReason, Slot.RetryAfter);
    if (!RequestId.empty())
      setHeader(Answer.Headers, Environment.Names.RequestId, RequestId);
    return Answer;
  }

  [[nodiscard]] std::string_view lastFailure() const {
    for (const attempt_pointer &Each : std::views::reverse(Attempts))
      if (Each->End == attempt_end::Failed)
        return Each->CallStatus == call_status::Answered
                   ? "answer-not-usable"
                   : callStatusName(Each->CallStatus);
    return "unknown";
  }

  void logEnd(const http_response &Answer) {
    json::array Tries;
    for (const attempt_pointer &Each : Attempts)
      Tries.push_back(
          {{"backend_server", Each->Slot.Backend},
           {"allocator", Each->Allocator},
           {"outcome", Each->Slot.Verdict == slot_verdict::Granted
                           ? slotOutcomeName(Each->Outcome)
                           : std::string_view(Each->Slot.Reason)},
           {"call", callStatusName(Each->CallStatus)},
           {"waited_ms",
            Each->Sent ? toMilliseconds(Each->SentAt - Request.Start) : 0.0},
           {"ran_ms", toMilliseconds(Each->Elapsed)}});
    const double Total = toMilliseconds(now() - Request.Start);
    logEvent(log_level::Info, "request-ended",
             {{"request_id", RequestId},
              {"route", Request.Route.Name},
              {"service", Request.Service},
              {"idempotent", Request.Route.Idempotent},
              {"config_version", Request.ConfigVersion},
              {"status", Answer.Status},
              {"reason", FinalReason},
              {"caller_left", Caller->Gone},
              {"elapsed_ms", Total},
              {"attempts", std::move(Tries)}});
    const std::string Labels = "service=\"" + Request.Service + "\",status=\"" +
                               std::to_string(Answer.Status) + "\"";
    Environment.Metrics.count("coriandertray_requests_total", Labels);
    Environment.Metrics.observe("coriandertray_request_seconds",
                                "service=\"" + Request.Service + "\"",
                                now() - Request.Start);
  }

  course_environment &Environment;
  course_request Request;
  std::shared_ptr<caller_presence> Caller;
  asio::steady_timer Signal;
  std::string RequestId;
  time_point Limit;
  std::vector<attempt_pointer> Attempts;
  std::string FinalReason;
  bool HedgeAsked = false;
  bool Decided = false;
};

} // namespace

void noteGone(caller_presence &Caller) {
  if (std::exchange(Caller.Gone, true))
    return;
  const std::function<void()> OnGone = std::exchange(Caller.OnGone, {});
  if (OnGone)
    OnGone();
}

http_response notRunAnswer(unsigned Status, std::string_view Reason,
                           duration RetryAfter) {
  http_response Answer =
      jsonResponse(Status, "{\"error\":\"" + std::string(Reason) + "\"}");
  if (RetryAfter > duration::zero()) {
    std::array<char, 32> Text{};
    const int Length =
        std::snprintf(Text.data(), Text.size(), "%.3f", toSeconds(RetryAfter));
    setHeader(Answer.Headers, header::RetryAfter,
              std::string_view(Text.data(), static_cast<std::size_t>(Length)));
  }
  return Answer;
}

asio::awaitable<http_response>
runCourse(course_environment &Environment, course_request Request,
          std::shared_ptr<caller_presence> Caller) {
  const auto Course = std::make_shared<course>(Environment, std::move(Request),
                                               std::move(Caller));
  co_return co_await Course->run();
}

} // namespace coriandertray
