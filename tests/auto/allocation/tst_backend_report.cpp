#include "allocation_fixture.h"

#include "allocation/backend_report.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <ranges>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const time_point Start{std::chrono::hours(1)};
const backend_report LeavingReport = {{}, true, {}};

backend_report holdOffReport(duration HoldOff) { return {{}, false, HoldOff}; }

slot_request requestOf(const std::string &Host, std::uint64_t Id,
                       time_point Now) {
  slot_request Request = makeRequest(Id, Now, true);
  Request.Key.Host = Host;
  return Request;
}

/// Requests a slot and waits as long as a request waits for a better server
/// than those free. \returns the last answer.
slot_answer requestAndWait(slot_allocator &State, const slot_request &Request,
                           time_point Now) {
  const slot_answer First = requestSlot(State, Request, Now);
  if (First.Verdict != slot_verdict::Queued)
    return First;
  for (const slot_answer &Answer : processQueue(State, Now + milliseconds(350)))
    if (Answer.Key == Request.Key)
      return Answer;
  return First;
}

/// Gets a slot for \p Host and releases it with \p Outcome and \p Report.
/// \returns the server.
std::string useOnce(slot_allocator &State, const std::string &Host,
                    std::uint64_t Id, slot_outcome Outcome,
                    const backend_report &Report, time_point Now) {
  const slot_answer Answer =
      requestAndWait(State, requestOf(Host, Id, Now), Now);
  REQUIRE(Answer.Verdict == slot_verdict::Granted);
  releaseSlot(State, {{Host, Id}, Outcome, milliseconds(20), Report}, Now);
  return Answer.Backend;
}

known_backend_report knownLeaving(const std::string &Backend,
                                  std::uint64_t StartedAtUnixMs) {
  known_backend_report Known;
  Known.Backend = Backend;
  Known.StartedAtUnixMs = StartedAtUnixMs;
  Known.Leaving = true;
  return Known;
}

} // namespace

TEST_CASE("a hold-off is a decimal number of seconds and is limited") {
  CHECK(parseHoldOff("0").value() == duration::zero());
  CHECK(parseHoldOff("1.5").value() == milliseconds(1500));
  CHECK(parseHoldOff("1e12").value() == MaxHoldOff);
  for (const char *Malformed :
       {"", "-1", "nan", "inf", "1s", " 1", "Sat, 05 Dec 2026 05:00:00 GMT"}) {
    const result<duration> HoldOff = parseHoldOff(Malformed);
    REQUIRE_FALSE(HoldOff);
    CHECK(HoldOff.error().Code == error_code::ValueOutOfRange);
  }
}

TEST_CASE("a host keeps to what a server stated until the time named ends or "
          "the server starts again") {
  backend_reports Reports;
  CHECK(acceptsRequests(Reports, "s", 1, Start));
  CHECK(addReport(Reports, "s", 1, holdOffReport(seconds(2)), Start).HeldOff);
  // A shorter time, or a response that was sent earlier, doesn't end it.
  CHECK_FALSE(
      addReport(Reports, "s", 1, holdOffReport(seconds(1)), Start).HeldOff);
  addReport(Reports, "s", 1, {}, Start);
  CHECK_FALSE(acceptsRequests(Reports, "s", 1, Start + milliseconds(1999)));
  CHECK(acceptsRequests(Reports, "s", 1, Start + seconds(2)));
  CHECK(addReport(Reports, "s", 1, LeavingReport, Start).StartedLeaving);
  CHECK_FALSE(addReport(Reports, "s", 1, LeavingReport, Start).StartedLeaving);
  addReport(Reports, "s", 1, {}, Start + seconds(1));
  CHECK_FALSE(acceptsRequests(Reports, "s", 1, Start + seconds(60)));
  CHECK(acceptsRequests(Reports, "s", 2, Start + seconds(60)));
}

TEST_CASE("reports that are no longer of use are forgotten") {
  backend_reports Reports;
  for (int Number = 0; Number < 1000; ++Number)
    addReport(Reports, "s" + std::to_string(Number), 1,
              holdOffReport(milliseconds(50)),
              Start + milliseconds(100) * Number);
  CHECK(Reports.ByBackend.size() == 1);
  addReport(Reports, "plain", 1, {}, Start + seconds(200));
  CHECK(Reports.ByBackend.empty());
}

TEST_CASE("only reports of the listed start of a server are passed on") {
  backend_reports Reports;
  addReport(Reports, "server-0", 1, LeavingReport, Start);
  addReport(Reports, "server-1", 9, LeavingReport, Start);
  const auto Known = reportsOf(Reports, makeServers(3), Start + seconds(1));
  REQUIRE(Known.size() == 1);
  CHECK(Known.front() == knownLeaving("server-0", 1));
}

TEST_CASE("a leaving server gets no request of any host") {
  slot_allocator State;
  setBackends(State, makeServers(2), Start);
  const std::string Leaving =
      useOnce(State, "a", 1, slot_outcome::Succeeded, LeavingReport, Start);
  for (std::uint64_t Id = 2; Id < 20; ++Id)
    CHECK(useOnce(State, "b", Id, slot_outcome::Succeeded, {}, Start) !=
          Leaving);
  // The list still names it as ready.
  setBackends(State, makeServers(2), Start);
  for (std::uint64_t Id = 20; Id < 30; ++Id)
    CHECK(useOnce(State, "b", Id, slot_outcome::Succeeded, {}, Start) !=
          Leaving);
}

TEST_CASE("a new start of a server that left is used") {
  slot_allocator State;
  std::vector<backend_registration> Servers = makeServers(1);
  setBackends(State, Servers, Start);
  useOnce(State, "a", 1, slot_outcome::Succeeded, LeavingReport, Start);
  Servers.front().StartedAtUnixMs += 1;
  setBackends(State, Servers, Start);
  slot_request Request = requestOf("a", 2, Start);
  Request.KnownReports = {knownLeaving("server-0", 1)};
  CHECK(requestAndWait(State, Request, Start).Verdict == slot_verdict::Granted);
}

TEST_CASE("an allocator that takes over learns what a host knows") {
  slot_allocator State;
  setBackends(State, makeServers(3), Start);
  slot_request First = requestOf("a", 1, Start);
  known_backend_report Held;
  Held.Backend = "server-1";
  Held.StartedAtUnixMs = 1;
  Held.HeldUntil = Start + seconds(5);
  First.KnownReports = {knownLeaving("server-0", 1), Held};
  CHECK(requestSlot(State, First, Start).Backend == "server-2");
  bool UsedHeld = false;
  for (std::uint64_t Id = 2; Id < 12; ++Id) {
    const slot_answer Other =
        requestSlot(State, requestOf("b", Id, Start), Start);
    CHECK(Other.Backend != "server-0");
    UsedHeld = UsedHeld || Other.Backend == "server-1";
  }
  CHECK(UsedHeld);
}

TEST_CASE("a server that holds off a host serves the other hosts") {
  slot_allocator State;
  setBackends(State, makeServers(1), Start);
  useOnce(State, "a", 1, slot_outcome::Full, holdOffReport(seconds(2)), Start);
  const time_point Later = Start + milliseconds(500);
  CHECK(requestAndWait(State, requestOf("a", 2, Later), Later).Verdict ==
        slot_verdict::Refused);
  CHECK(requestAndWait(State, requestOf("b", 3, Later), Later).Verdict ==
        slot_verdict::Granted);
  const time_point End = Start + seconds(2);
  CHECK(requestAndWait(State, requestOf("a", 4, End), End).Verdict ==
        slot_verdict::Granted);
}

TEST_CASE("a server that holds off several hosts rests from all") {
  slot_allocator State;
  setBackends(State, makeServers(1), Start);
  time_point Now = Start;
  std::uint64_t Id = 0;
  for (const char *Host : {"a", "b", "c"}) {
    useOnce(State, Host, ++Id, slot_outcome::Full, holdOffReport(seconds(5)),
            Now);
    Now += milliseconds(700);
  }
  CHECK(requestAndWait(State, requestOf("d", 9, Now), Now).Verdict ==
        slot_verdict::Refused);
  const time_point FirstEnd = Start + seconds(5);
  CHECK(requestAndWait(State, requestOf("d", 10, FirstEnd), FirstEnd).Verdict ==
        slot_verdict::Granted);
}

TEST_CASE("a request that all servers hold off is refused at once with the "
          "time at which one takes it") {
  slot_allocator State;
  setBackends(State, makeServers(2), Start);
  useOnce(State, "a", 1, slot_outcome::Full, holdOffReport(seconds(8)), Start);
  useOnce(State, "a", 2, slot_outcome::Full, holdOffReport(seconds(6)), Start);
  const slot_answer Refused =
      requestSlot(State, requestOf("a", 3, Start), Start);
  CHECK(Refused.Verdict == slot_verdict::Refused);
  CHECK(Refused.RetryAfter == seconds(6));
  // It waits if a server takes it early enough.
  const time_point Later = Start + milliseconds(5800);
  CHECK(requestSlot(State, requestOf("a", 4, Later), Later).Verdict ==
        slot_verdict::Queued);
  const auto Answers = processQueue(State, Start + seconds(6));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Verdict == slot_verdict::Granted);
}

TEST_CASE("requests are refused at once when all servers are leaving") {
  slot_allocator State;
  setBackends(State, {makeServer("server-0", 1)}, Start);
  const slot_answer Running =
      requestSlot(State, requestOf("a", 1, Start), Start);
  REQUIRE(Running.Verdict == slot_verdict::Granted);
  REQUIRE(requestSlot(State, requestOf("b", 2, Start), Start).Verdict ==
          slot_verdict::Queued);
  releaseSlot(
      State,
      {{"a", 1}, slot_outcome::Succeeded, milliseconds(20), LeavingReport},
      Start);
  const auto Answers = processQueue(State, Start + milliseconds(10));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Verdict == slot_verdict::Refused);
  CHECK(requestSlot(State, requestOf("c", 3, Start), Start).Verdict ==
        slot_verdict::Refused);
}

TEST_CASE("no grant goes to a server that left or holds off the host, "
          "whatever the load") {
  const bool Holds = rc::check([] {
    slot_allocator State;
    constexpr int ServerCount = 4;
    setBackends(State, makeServers(ServerCount), Start);
    std::map<std::string, bool> Left;
    std::map<std::pair<std::string, std::string>, time_point> HeldUntil;
    std::map<slot_key, std::string> Running;
    const auto CheckGrant = [&](const slot_answer &Answer, time_point Now) {
      if (Answer.Verdict != slot_verdict::Granted)
        return;
      RC_ASSERT_FALSE(Left[Answer.Backend]);
      RC_ASSERT(Now >=
                HeldUntil[std::make_pair(Answer.Backend, Answer.Key.Host)]);
      Running[Answer.Key] = Answer.Backend;
    };
    time_point Now = Start;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 120));
      const std::string Host(1, *rc::gen::elementOf(std::string("abcde")));
      CheckGrant(
          requestSlot(State,
                      requestOf(Host, static_cast<std::uint64_t>(Step), Now),
                      Now),
          Now);
      for (const slot_answer &Answer : processQueue(State, Now))
        CheckGrant(Answer, Now);
      if (Running.empty() || *rc::gen::inRange(0, 3) == 0)
        continue;
      const auto [Key, Backend] = *Running.begin();
      Running.erase(Running.begin());
      const int Kind = *rc::gen::inRange(0, 10);
      backend_report Report;
      if (Kind == 0) {
        Report.Leaving = true;
        Left[Backend] = true;
      } else if (Kind < 4) {
        Report.HoldOff = milliseconds(*rc::gen::inRange(1, 3000));
        time_point &Until = HeldUntil[std::make_pair(Backend, Key.Host)];
        Until = std::max(Until, Now + Report.HoldOff);
      }
      releaseSlot(State,
                  {Key, Kind < 4 ? slot_outcome::Full : slot_outcome::Succeeded,
                   milliseconds(10), Report},
                  Now);
    }
  });
  CHECK(Holds);
}
