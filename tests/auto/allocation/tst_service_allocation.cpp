#include "allocation_fixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr duration Work = milliseconds(200);

/// Runs a steady load against an allocation; servers named sick never answer.
struct load_replay {
  service_allocation State;
  time_point Now{std::chrono::hours(1)};
  std::uint64_t NextId = 1;
  std::set<std::string> Sick;
  std::map<std::string, int> Granted;
  int Lost = 0;
  int Served = 0;
  int Refused = 0;

  struct running {
    slot_key Key;
    std::string Backend;
    time_point End;
    bool Silent;
  };
  std::vector<running> Running;

  void begin(const slot_answer &Answer) {
    ++Granted[Answer.Backend];
    const bool Silent = Sick.contains(Answer.Backend);
    Running.push_back({Answer.Key, Answer.Backend,
                       Now + (Silent ? duration(seconds(2)) : Work), Silent});
  }

  void take(const slot_answer &Answer) {
    if (Answer.Verdict == slot_verdict::Granted)
      begin(Answer);
    Refused += Answer.Verdict == slot_verdict::Refused ? 1 : 0;
  }

  void finishDue() {
    std::vector<running> Left;
    for (const running &Each : Running) {
      if (Each.End > Now) {
        Left.push_back(Each);
        continue;
      }
      (Each.Silent ? Lost : Served) += 1;
      endSlot(State,
              {Each.Key,
               Each.Silent ? slot_outcome::Silent : slot_outcome::Succeeded,
               Each.Silent ? duration(seconds(2)) : Work},
              Now);
    }
    Running = std::move(Left);
  }

  void run(duration Length, duration Interval, bool Idempotent = false) {
    const time_point End = Now + Length;
    constexpr duration Step = milliseconds(10);
    time_point NextArrival = Now;
    while (Now < End) {
      finishDue();
      for (const slot_answer &Answer : advance(State, Now))
        take(Answer);
      if (Now >= NextArrival) {
        NextArrival += Interval;
        take(askSlot(State, makeRequest(NextId++, Now, Idempotent), Now));
      }
      (void)takeBeliefChanges(State, Now);
      Now += Step;
    }
  }
};

} // namespace

TEST_CASE("servers that join under light load each get a request") {
  load_replay Replay;
  std::vector<backend_registration> Servers = makeServers(16);
  setBackends(Replay.State, Servers, Replay.Now);
  Replay.run(seconds(10), milliseconds(30));
  std::vector<backend_registration> Joined = makeServers(5, 100);
  for (backend_registration &Server : Joined)
    Server.WarmUpRemaining = milliseconds(3000);
  Servers.insert(Servers.end(), Joined.begin(), Joined.end());
  setBackends(Replay.State, Servers, Replay.Now);
  Replay.run(milliseconds(3500), milliseconds(30));
  setBackends(Replay.State, Servers, Replay.Now);
  Replay.run(milliseconds(1000), milliseconds(30));
  for (const backend_registration &Server : Joined)
    CHECK(Replay.Granted[Server.Name] > 0);
}

TEST_CASE("a joined server whose first request did not arrive gets another") {
  load_replay Replay;
  setBackends(Replay.State, makeServers(4), Replay.Now);
  Replay.run(seconds(2), milliseconds(30));
  std::vector<backend_registration> Servers = makeServers(5);
  setBackends(Replay.State, Servers, Replay.Now);
  Replay.Now += seconds(2);
  const slot_request First = makeRequest(9001, Replay.Now);
  const slot_answer Answer = askSlot(Replay.State, First, Replay.Now);
  REQUIRE(Answer.Backend == "server-4");
  endSlot(Replay.State, {First.Key, slot_outcome::NotUsed, {}}, Replay.Now);
  Replay.run(seconds(2), milliseconds(30));
  CHECK(Replay.Granted["server-4"] > 0);
}

TEST_CASE("a server that goes silent under steady load loses little work") {
  // The load: some servers hang most of their requests for seconds while their
  // health path says all is well.
  load_replay Replay;
  setBackends(Replay.State, makeServers(8), Replay.Now);
  Replay.run(seconds(5), milliseconds(40));
  const int ServedBefore = Replay.Served;
  const auto Busiest = std::ranges::max_element(
      Replay.Granted, {}, &std::map<std::string, int>::value_type::second);
  Replay.Sick.insert(Busiest->first);
  Replay.Lost = 0;
  Replay.run(seconds(5), milliseconds(40));
  CHECK(Replay.Served > ServedBefore);
  // No more than its slots hold before it is known, and one trial after.
  CHECK(Replay.Lost <= 4);
}

TEST_CASE("a server that was silent is trusted again after its answers") {
  load_replay Replay;
  setBackends(Replay.State, makeServers(2), Replay.Now);
  Replay.Sick = {"server-0"};
  Replay.run(seconds(6), milliseconds(100));
  CHECK(Replay.State.Backends["server-0"].Suspected);
  Replay.Sick.clear();
  Replay.Granted.clear();
  Replay.run(seconds(20), milliseconds(30));
  CHECK(Replay.Granted["server-0"] > 20);
  CHECK_FALSE(Replay.State.Backends["server-0"].Suspected);
}

TEST_CASE("work that can't be repeated waits for a proven server") {
  // Where some servers are sick, an unknown one may be as well.
  load_replay Replay;
  Replay.Sick = {"server-2", "server-3", "server-4"};
  setBackends(Replay.State, makeServers(5), Replay.Now);
  Replay.run(seconds(3), milliseconds(60), true);
  service_allocation &State = Replay.State;
  setBackends(State, makeServers(6), Replay.Now);
  State.Backends["server-5"].AwaitsFirstUse = false;
  std::uint64_t Id = 5000;
  slot_answer Answer;
  slot_request Booking;
  do {
    Booking = makeRequest(Id++, Replay.Now);
    Answer = askSlot(State, Booking, Replay.Now);
    if (Answer.Verdict == slot_verdict::Granted)
      CHECK(Answer.Backend != "server-5");
  } while (Answer.Verdict == slot_verdict::Granted);
  CHECK(Answer.Verdict == slot_verdict::Queued);
  // A proven slot falls free: it goes there.
  endSlot(State,
          {State.Backends["server-0"].Uses.front().Key, slot_outcome::Succeeded,
           Work},
          Replay.Now + milliseconds(20));
  const auto Answers = advance(State, Replay.Now + milliseconds(20));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Key == Booking.Key);
  CHECK(Answers.front().Backend == "server-0");
}

TEST_CASE("what can't be served in time is refused when that is known") {
  load_replay Replay;
  setBackends(Replay.State, makeServers(1), Replay.Now);
  Replay.run(seconds(3), milliseconds(100));
  int Refused = 0;
  int Queued = 0;
  for (std::uint64_t Id = 5000; Id < 5100; ++Id) {
    const slot_answer Answer =
        askSlot(Replay.State, makeRequest(Id, Replay.Now), Replay.Now);
    Refused += Answer.Verdict == slot_verdict::Refused ? 1 : 0;
    Queued += Answer.Verdict == slot_verdict::Queued ? 1 : 0;
    if (Answer.Verdict == slot_verdict::Refused) {
      CHECK(Answer.Reason == "overloaded");
      CHECK(Answer.RetryAfter > duration::zero());
    }
  }
  // Three slots at 200 ms serve fifteen a second, for a second and a half.
  CHECK(Refused > 70);
  CHECK(Queued > 5);
}

TEST_CASE("the most urgent of those who wait goes first") {
  load_replay Replay;
  setBackends(Replay.State, makeServers(1), Replay.Now);
  Replay.run(seconds(3), milliseconds(300));
  service_allocation &State = Replay.State;
  time_point Now = Replay.Now + seconds(1);
  for (std::uint64_t Id = 5000; Id < 5003; ++Id)
    (void)askSlot(State, makeRequest(Id, Now, true), Now);
  slot_request Later = makeRequest(5003, Now);
  Later.Priority = 2;
  slot_request Urgent = makeRequest(5004, Now);
  Urgent.Priority = 0;
  CHECK(askSlot(State, Later, Now).Verdict == slot_verdict::Queued);
  CHECK(askSlot(State, Urgent, Now).Verdict == slot_verdict::Queued);
  endSlot(State, {{"host", 5000}, slot_outcome::Succeeded, Work}, Now);
  const auto Answers = advance(State, Now);
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Key == Urgent.Key);
}

TEST_CASE("a draining server gets nothing, nor one that isn't the one named") {
  load_replay Replay;
  std::vector<backend_registration> Servers = makeServers(3);
  Servers[0].Draining = true;
  setBackends(Replay.State, Servers, Replay.Now);
  Replay.run(seconds(2), milliseconds(50));
  CHECK(Replay.Granted["server-0"] == 0);
  const slot_request Request = makeRequest(5000, Replay.Now);
  const slot_answer Answer = askSlot(Replay.State, Request, Replay.Now);
  REQUIRE(Answer.Verdict == slot_verdict::Granted);
  endSlot(Replay.State, {Request.Key, slot_outcome::Misdirected, {}},
          Replay.Now);
  Replay.Granted.clear();
  Replay.run(seconds(2), milliseconds(50));
  CHECK(Replay.Granted[Answer.Backend] == 0);
}

TEST_CASE("a name that starts again begins without a past") {
  load_replay Replay;
  std::vector<backend_registration> Servers = makeServers(2);
  setBackends(Replay.State, Servers, Replay.Now);
  Replay.Sick = {"server-0"};
  Replay.run(seconds(4), milliseconds(100));
  Servers[0].StartedAtUnixMs = 2;
  setBackends(Replay.State, Servers, Replay.Now);
  const backend_record &Again = Replay.State.Backends["server-0"];
  CHECK(Again.Uses.empty());
  CHECK(Again.AwaitsFirstUse);
}

TEST_CASE("hedges go to proven servers and keep the budget") {
  load_replay Replay;
  Replay.State.Retries = {0.2, seconds(10), 10};
  setBackends(Replay.State, makeServers(4), Replay.Now);
  Replay.run(seconds(5), milliseconds(100), true);
  int Granted = 0;
  for (std::uint64_t Id = 5000; Id < 5100; ++Id) {
    slot_request Hedge = makeRequest(Id, Replay.Now, true);
    Hedge.Repeat = repeat_reason::Slow;
    const slot_answer Answer = askSlot(Replay.State, Hedge, Replay.Now);
    if (Answer.Verdict == slot_verdict::Granted) {
      ++Granted;
      endSlot(Replay.State, {Hedge.Key, slot_outcome::Succeeded, Work},
              Replay.Now);
    }
  }
  CHECK(Granted > 0);
  // A fifth of 50 requests and the slack of 10.
  CHECK(Granted <= 20);
}

TEST_CASE("repeats over any window stay within the budget") {
  rc::check("for random arrivals", [] {
    const retry_limits Limits = {0.2, seconds(10), 20};
    retry_window Window;
    time_point Now{std::chrono::hours(1)};
    std::vector<time_point> Requests;
    std::vector<time_point> Repeats;
    for (int Step = 0; Step < 400; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 120));
      if (*rc::gen::inRange(0, 3) > 0) {
        noteRequest(Window, Limits, Now);
        Requests.push_back(Now);
      } else if (takeRepeat(Window, Limits, 0, Now)) {
        Repeats.push_back(Now);
      }
      const auto InWindow = [&](const std::vector<time_point> &Times) {
        return std::ranges::count_if(Times, [&](time_point Time) {
          return Now - Time <= Limits.Window;
        });
      };
      const double Allowed = Limits.Ratio * double(InWindow(Requests)) + 20;
      RC_ASSERT(double(InWindow(Repeats)) <= Allowed);
    }
  });
}

TEST_CASE("hosts that each allocate for themselves keep the budget together") {
  // The load: no allocator is to be reached, and most requests fail.
  constexpr std::size_t Hosts = 134;
  const retry_limits Limits = {0.2, seconds(10), 218};
  const time_point Now{std::chrono::hours(1)};
  int Repeats = 0;
  int Requests = 0;
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    const retry_limits Part = partOf(Limits, Hosts);
    retry_window Window;
    for (int Count = 0; Count < 8; ++Count) {
      noteRequest(Window, Part, Now);
      ++Requests;
    }
    while (takeRepeat(Window, Part, 0, Now))
      ++Repeats;
  }
  CHECK(Repeats > 0);
  CHECK(Repeats <= Limits.Ratio * Requests + Limits.Slack);
}

TEST_CASE("no sequence of events gives a server more than its slots") {
  rc::check("nor a request two grants or an answer twice", [] {
    service_allocation State;
    time_point Now{std::chrono::hours(1)};
    setBackends(State, makeServers(4, 0), Now);
    std::set<std::uint64_t> Open;
    std::uint64_t NextId = 1;
    const auto Take = [&](const slot_answer &Answer) {
      if (Answer.Verdict == slot_verdict::Granted)
        RC_ASSERT(Open.insert(Answer.Key.Id).second);
    };
    for (int Step = 0; Step < 300; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 60));
      const int Kind = *rc::gen::inRange(0, 10);
      if (Kind < 5) {
        slot_request Request =
            makeRequest(NextId++, Now, *rc::gen::arbitrary<bool>());
        Request.Priority = *rc::gen::inRange(0U, 3U);
        Take(askSlot(State, Request, Now));
      } else if (Kind < 8 && !Open.empty()) {
        const std::uint64_t Id = *Open.begin();
        Open.erase(Open.begin());
        const auto Outcome = static_cast<slot_outcome>(
            *rc::gen::inRange(0, static_cast<int>(slot_outcome::NotUsed) + 1));
        endSlot(State, {{"host", Id}, Outcome, milliseconds(100)}, Now);
      } else if (Kind == 8) {
        const int Count = *rc::gen::inRange(0, 6);
        setBackends(State, makeServers(Count, *rc::gen::inRange(0, 3)), Now);
      }
      for (const slot_answer &Answer : advance(State, Now))
        Take(Answer);
      for (const auto &[Name, Backend] : State.Backends)
        RC_ASSERT(Backend.Uses.size() <= Backend.Registration.Slots);
    }
  });
}

TEST_CASE("a server that recovered unseen gets work again in two seconds") {
  // The load: light, while a few proven servers could carry it alone. Servers
  // that hung are well again, but nothing has shown it yet.
  load_replay Replay;
  setBackends(Replay.State, makeServers(10), Replay.Now);
  Replay.Sick = {"server-0", "server-1", "server-2", "server-3"};
  Replay.run(seconds(4), milliseconds(30));
  Replay.Sick.clear();
  // What failed of its own counts as sound after two seconds.
  Replay.run(seconds(4), milliseconds(30));
  for (int Window = 0; Window < 5; ++Window) {
    Replay.Granted.clear();
    Replay.run(seconds(2), milliseconds(30));
    const auto Used =
        std::ranges::count_if(makeServers(10), [&](const auto &Server) {
          return Replay.Granted[Server.Name] > 0;
        });
    CHECK(Used >= 7);
  }
}

TEST_CASE("work that fails doesn't call for more trials of sick servers") {
  // The load: so light that the trials would be most of it.
  load_replay Replay;
  setBackends(Replay.State, makeServers(16), Replay.Now);
  Replay.Sick = {"server-0", "server-1", "server-2", "server-3", "server-4"};
  Replay.run(seconds(6), milliseconds(50));
  Replay.Lost = 0;
  Replay.Served = 0;
  Replay.run(seconds(20), milliseconds(50));
  CHECK(Replay.Served + Replay.Lost > 350);
  // Each of the five is tried once in four seconds at most: two until it is
  // known to hang, and two in which it is left alone.
  CHECK(Replay.Lost <= 25);
}

TEST_CASE("a second attempt waits until a proven server has a free slot") {
  load_replay Replay;
  setBackends(Replay.State, makeServers(1), Replay.Now);
  Replay.State.Retries = {0.2, seconds(10), 58};
  Replay.run(seconds(3), milliseconds(300), true);
  service_allocation &State = Replay.State;
  const time_point Now = Replay.Now + seconds(1);
  for (std::uint64_t Id = 5000; Id < 5003; ++Id)
    (void)askSlot(State, makeRequest(Id, Now, true), Now);
  slot_request Hedge = makeRequest(5003, Now, true);
  Hedge.Repeat = repeat_reason::Slow;
  CHECK(askSlot(State, Hedge, Now).Verdict == slot_verdict::Queued);
  slot_request First = makeRequest(5004, Now, true);
  First.Priority = 9;
  CHECK(askSlot(State, First, Now).Verdict == slot_verdict::Queued);
  endSlot(State, {{"host", 5000}, slot_outcome::Succeeded, Work}, Now);
  const auto ToFirst = advance(State, Now);
  REQUIRE(ToFirst.size() == 1);
  CHECK(ToFirst.front().Key == First.Key);
  endSlot(State, {{"host", 5001}, slot_outcome::Succeeded, Work}, Now);
  const auto ToHedge = advance(State, Now);
  REQUIRE(ToHedge.size() == 1);
  CHECK(ToHedge.front().Key == Hedge.Key);
  CHECK(ToHedge.front().Verdict == slot_verdict::Granted);
}

TEST_CASE("nothing is refused as overload while a slot is free") {
  // The load: all servers look doubtful at once, as their requests run long.
  load_replay Replay;
  setBackends(Replay.State, makeServers(10), Replay.Now);
  Replay.run(seconds(3), milliseconds(50), true);
  service_allocation &State = Replay.State;
  const time_point Now = Replay.Now + seconds(3);
  std::uint64_t Id = 5000;
  for (auto &[Name, Backend] : State.Backends) {
    Backend.Uses.clear();
    for (int Count = 0; Count < 2; ++Count)
      adoptUse(State,
               {{"other", Id++},
                Name,
                "",
                Now - milliseconds(900),
                Now + milliseconds(600)},
               Now);
  }
  for (int Count = 0; Count < 10; ++Count)
    CHECK(askSlot(State, makeRequest(Id++, Now, true), Now).Verdict !=
          slot_verdict::Refused);
  for (int Count = 0; Count < 8; ++Count)
    (void)askSlot(State, makeRequest(Id++, Now, true), Now);
  CHECK(askSlot(State, makeRequest(Id++, Now, true), Now).Verdict ==
        slot_verdict::Refused);
}

TEST_CASE("most servers believed well get work in any two seconds") {
  // The load: light enough for a few servers, which may be lost at any moment.
  load_replay Replay;
  setBackends(Replay.State, makeServers(16), Replay.Now);
  Replay.run(seconds(4), milliseconds(30));
  for (int Window = 0; Window < 5; ++Window) {
    Replay.Granted.clear();
    Replay.run(seconds(2), milliseconds(30));
    CHECK(Replay.Granted.size() >= 12);
  }
}
