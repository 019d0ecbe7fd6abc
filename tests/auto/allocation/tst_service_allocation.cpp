#include "allocation_fixture.h"

#include <doctest/doctest.h>

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
    Server.WarmUp = milliseconds(3000);
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
