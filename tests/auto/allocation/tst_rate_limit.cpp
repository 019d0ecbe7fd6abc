#include "allocation_fixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr duration Step = milliseconds(10);
/// Short requests leave the slots free, so that only the limit holds them back.
constexpr duration RequestDuration = milliseconds(20);
/// A limit binds this long after it was first reported.
constexpr duration SettleTime = seconds(3);
constexpr duration Window = seconds(4);

/// \returns the highest number of \p Starts, in ascending order, that lie
/// within Window, from \p Since on.
std::size_t mostInWindow(const std::vector<time_point> &Starts,
                         time_point Since) {
  std::size_t Most = 0;
  for (auto First = std::ranges::lower_bound(Starts, Since);
       First != Starts.end(); ++First) {
    const auto Last =
        std::ranges::upper_bound(First, Starts.end(), *First + Window);
    Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

/// Simulates a load on an allocator whose servers report \p Limits by name.
struct limited_load {
  slot_allocator State;
  time_point Now{std::chrono::hours(1)};
  std::uint64_t NextId = 1;
  std::map<std::string, rate_limit> Limits;
  std::map<std::string, std::vector<time_point>> Starts;
  int Refused = 0;

  struct in_flight_request {
    slot_key Key;
    std::string Backend;
    time_point End;
  };
  std::vector<in_flight_request> InFlight;

  void handleAnswer(const slot_answer &Answer) {
    Refused += Answer.Verdict == slot_verdict::Refused ? 1 : 0;
    if (Answer.Verdict != slot_verdict::Granted)
      return;
    Starts[Answer.Backend].push_back(Now);
    InFlight.push_back({Answer.Key, Answer.Backend, Now + RequestDuration});
  }

  void finishDueRequests() {
    std::vector<in_flight_request> Left;
    for (const in_flight_request &Each : InFlight) {
      if (Each.End > Now)
        Left.push_back(Each);
      else
        releaseSlot(State,
                    {Each.Key, slot_outcome::Succeeded, RequestDuration,
                     backend_report{Limits[Each.Backend], false, {}}},
                    Now);
    }
    InFlight = std::move(Left);
  }

  void run(duration Length, duration Interval) {
    const time_point End = Now + Length;
    for (time_point NextArrival = Now; Now < End; Now += Step) {
      finishDueRequests();
      for (const slot_answer &Answer : processQueue(State, Now))
        handleAnswer(Answer);
      for (; Now >= NextArrival; NextArrival += Interval)
        handleAnswer(requestSlot(State, makeRequest(NextId++, Now, true), Now));
    }
  }
};

/// \returns the most requests that a server with the limit \p RequestsPerSecond
/// may get within Window.
std::size_t mostAllowed(double RequestsPerSecond) {
  constexpr double Tolerance = 1.5;
  constexpr std::size_t Extra = 5;
  return static_cast<std::size_t>(Tolerance * toSeconds(Window) *
                                  RequestsPerSecond) +
         Extra;
}

/// \returns whether \p Request gets a slot within the time that a request waits
/// for a better server than the only one.
bool isGrantedSoon(slot_allocator &State, const slot_request &Request,
                   time_point Now) {
  if (requestSlot(State, Request, Now).Verdict == slot_verdict::Granted)
    return true;
  const auto Answers = processQueue(State, Now + milliseconds(400));
  return std::ranges::any_of(Answers, [&Request](const slot_answer &Answer) {
    return Answer.Key == Request.Key && Answer.Verdict == slot_verdict::Granted;
  });
}

} // namespace

TEST_CASE(
    "servers with free slots get no more requests than their rate limit") {
  for (const double RequestsPerSecond : {0.0, 0.3, 1.0, 6.2, 25.0}) {
    CAPTURE(RequestsPerSecond);
    limited_load Load;
    setBackends(Load.State, makeServers(4), Load.Now);
    Load.run(seconds(2), milliseconds(20));
    for (const char *Limited : {"server-0", "server-2"})
      Load.Limits[Limited] = {RequestsPerSecond};
    const time_point BindsAt = Load.Now + SettleTime;
    Load.run(seconds(20), milliseconds(10));
    for (const char *Limited : {"server-0", "server-2"})
      CHECK(mostInWindow(Load.Starts[Limited], BindsAt) <=
            mostAllowed(RequestsPerSecond));
  }
}

TEST_CASE("a limited server gets the requests that its limit allows") {
  limited_load Load;
  setBackends(Load.State, makeServers(2), Load.Now);
  constexpr double RequestsPerSecond = 4;
  Load.Limits = {{"server-0", {RequestsPerSecond}},
                 {"server-1", {RequestsPerSecond}}};
  Load.run(seconds(5), milliseconds(20));
  Load.Starts.clear();
  Load.Refused = 0;
  constexpr int Seconds = 20;
  Load.run(seconds(Seconds), milliseconds(20));
  for (const char *Name : {"server-0", "server-1"})
    CHECK(Load.Starts[Name].size() >= RequestsPerSecond * Seconds - 1);
  // What the limits leave over is refused at once, not held in the queue.
  CHECK(Load.Refused > 0);
  constexpr double MaxWaitSeconds = 1.5;
  CHECK(Load.State.Queue.size() <= 2 * RequestsPerSecond * MaxWaitSeconds);
}

TEST_CASE("a request that only the rate limit holds back is refused with the "
          "time at which it could start") {
  slot_allocator State;
  time_point Now{std::chrono::hours(1)};
  setBackends(State, makeServers(1), Now);
  slot_request First = makeRequest(1, Now);
  First.KnownReports = {knownLimit("server-0", {0.25}, Now)};
  const slot_answer Answer = requestSlot(State, First, Now);
  CHECK(Answer.Verdict == slot_verdict::Refused);
  CHECK(Answer.Reason == "overloaded");
  CHECK(Answer.RetryAfter >= seconds(3));
  Now += seconds(4);
  CHECK(isGrantedSoon(State, makeRequest(2, Now), Now));
}

TEST_CASE("a server that reports no limit any more gets requests freely") {
  limited_load Load;
  setBackends(Load.State, makeServers(1), Load.Now);
  Load.Limits = {{"server-0", {0.0}}};
  Load.run(seconds(10), milliseconds(50));
  Load.Limits.clear();
  Load.run(seconds(5), milliseconds(50));
  Load.Refused = 0;
  Load.run(seconds(5), milliseconds(50));
  CHECK(Load.Refused == 0);
}

TEST_CASE("an allocator that takes over keeps the limits that hosts pass on") {
  time_point Now{std::chrono::hours(1)};
  slot_allocator Successor;
  setBackends(Successor, makeServers(1), Now);
  slot_request First = makeRequest(1, Now);
  First.KnownReports = {knownLimit("server-0", {2.0}, Now - seconds(1)),
                        knownLimit("elsewhere", {2.0}, Now)};
  CHECK(requestSlot(Successor, First, Now).Verdict == slot_verdict::Queued);
  // A report that is older than the one known does not replace it.
  slot_request Second = makeRequest(2, Now);
  Second.KnownReports = {knownLimit("server-0", {}, Now - seconds(2))};
  CHECK(requestSlot(Successor, Second, Now).Verdict == slot_verdict::Queued);
  CHECK(takeRateLimitChanges(Successor) ==
        std::vector<rate_limit_change>{{"server-0", {}, {2.0}}});
}

TEST_CASE("a server that restarts has no limit until it reports one") {
  time_point Now{std::chrono::hours(1)};
  slot_allocator State;
  setBackends(State, makeServers(1), Now);
  slot_request Request = makeRequest(1, Now);
  Request.KnownReports = {knownLimit("server-0", {0.5}, Now)};
  CHECK(requestSlot(State, Request, Now).Verdict != slot_verdict::Granted);
  Now += milliseconds(100);
  backend_registration Restarted = makeServer("server-0");
  Restarted.StartedAtUnixMs = 2;
  setBackends(State, {Restarted}, Now);
  slot_request Stale = makeRequest(2, Now);
  Stale.KnownReports = {knownLimit("server-0", {0.5}, Now - milliseconds(50))};
  (void)processQueue(State, Now);
  CHECK(isGrantedSoon(State, Stale, Now));
}

TEST_CASE("a hedge is not sent to a server with a rate limit") {
  const time_point Now{std::chrono::hours(1)};
  slot_allocator State;
  setBackends(State, makeServers(1), Now - seconds(10));
  State.RetryLimits.Slack = 100;
  slot_request First = makeRequest(1, Now, true);
  First.KnownReports = {knownLimit("server-0", {10.0}, Now - seconds(8))};
  (void)requestSlot(State, First, Now - seconds(5));
  slot_request Hedge = makeRequest(2, Now, true);
  Hedge.RetryReason = retry_reason::Hedge;
  CHECK(requestSlot(State, Hedge, Now).Verdict == slot_verdict::Queued);
}

TEST_CASE("several allocators of one pool stay within the limit together") {
  const bool Holds = rc::check("for random limits and takeovers", [] {
    const double RequestsPerSecond = *rc::gen::inRange(1, 200) / 10.0;
    constexpr std::size_t HostCount = 5;
    constexpr int Steps = 3000;
    const auto TakeoverSteps =
        *rc::gen::container<std::set<int>>(rc::gen::inRange(0, Steps));
    time_point Now{std::chrono::hours(1)};
    std::vector<rate_limiter> Allocators(HostCount);
    for (rate_limiter &Limiter : Allocators)
      applyReport(Limiter, {RequestsPerSecond}, Now, Now);
    std::vector<time_point> Starts;
    std::size_t Primary = 0;
    for (int Count = 0; Count < Steps; ++Count, Now += Step) {
      // The primary is killed; the stand-in takes over.
      if (TakeoverSteps.contains(Count)) {
        Allocators[Primary] = {};
        applyReport(Allocators[Primary], {RequestsPerSecond}, Now, Now);
        Primary = (Primary + 1) % HostCount;
      }
      for (std::size_t Index = 0; Index < HostCount; ++Index) {
        const allocator_role Role = Index == Primary ? allocator_role::Primary
                                    : Index == (Primary + 1) % HostCount
                                        ? allocator_role::StandIn
                                        : allocator_role::Local;
        rate_limiter &Limiter = Allocators[Index];
        setShare(Limiter, rateLimitShare(Role, HostCount), Now);
        if (availableTokens(Limiter, Now) < 1)
          continue;
        consumeToken(Limiter, Now);
        Starts.push_back(Now);
      }
    }
    const std::size_t Most = mostInWindow(Starts, time_point());
    RC_ASSERT(Most <= mostAllowed(RequestsPerSecond));
  });
  CHECK(Holds);
}
