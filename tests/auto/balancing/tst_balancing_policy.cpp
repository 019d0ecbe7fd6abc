#include "balancing/balancing_policy.h"

#include "balancing/caller_limits.h"
#include "balancing/latency_tracker.h"
#include "balancing/route_table.h"
#include "balancing/token_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace coriandertray;

namespace {

backend_state makeState(const std::string &Name, std::uint32_t Slots = 3) {
  backend_state State;
  State.Server = {Name, {"127.0.0.1", 1}, "a", Slots, 10};
  return State;
}

std::vector<backend_state> makeStates(std::size_t Count) {
  std::vector<backend_state> States;
  for (std::size_t Index = 0; Index < Count; ++Index)
    States.push_back(makeState("s" + std::to_string(Index)));
  return States;
}

choice_request makeRequest(balancing_policy Policy, std::uint64_t Draw) {
  choice_request Request;
  Request.Policy = Policy;
  Request.FirstRandom = Draw * 0x9e3779b97f4a7c15ULL;
  Request.SecondRandom = Draw * 0xbf58476d1ce4e5b9ULL;
  Request.RoundRobinTurn = Draw;
  return Request;
}

} // namespace

TEST_CASE("late binding chooses a usable, untried server with a free slot") {
  CHECK(rc::check([] {
    std::vector<backend_state> States = makeStates(*rc::gen::inRange(1, 8));
    manual_clock Clock;
    const time_point Now = Clock.now();
    choice_request Request = makeRequest(balancing_policy::LateBinding,
                                         *rc::gen::arbitrary<std::uint64_t>());
    Request.FloorSlots = *rc::gen::inRange(0U, 12U);
    for (backend_state &State : States) {
      State.InFlight = *rc::gen::inRange(0U, 5U);
      State.Draining = *rc::gen::arbitrary<bool>();
      State.Status =
          *rc::gen::element(backend_status::InService, backend_status::Ejected,
                            backend_status::Trial, backend_status::Leaving);
      if (*rc::gen::arbitrary<bool>())
        State.FullUntil = Now + milliseconds(5);
      Request.Tried.push_back(*rc::gen::arbitrary<bool>());
    }
    const auto Choice = chooseBackend(States, Request, Now);
    if (!Choice)
      return;
    const backend_state &Chosen = States[*Choice];
    RC_ASSERT(usableBackends(States, Request.FloorSlots, Now)[*Choice]);
    RC_ASSERT(!Request.Tried[*Choice]);
    RC_ASSERT(!Chosen.Draining);
    RC_ASSERT(Chosen.Status != backend_status::Leaving);
    RC_ASSERT(Chosen.InFlight < Chosen.Server.Slots);
    RC_ASSERT(Now >= Chosen.FullUntil);
  }));
}

TEST_CASE("an ejected server gets no work while the floor holds without it") {
  std::vector<backend_state> States = makeStates(4);
  States[1].Status = backend_status::Ejected;
  manual_clock Clock;
  for (std::uint64_t Draw = 0; Draw < 200; ++Draw) {
    const auto Choice = chooseBackend(
        States, makeRequest(balancing_policy::LateBinding, Draw), Clock.now());
    CHECK(Choice != std::optional<std::size_t>(1));
  }
}

TEST_CASE("a server on trial gets a share of the work, one request at a time") {
  std::vector<backend_state> States = makeStates(4);
  States[1].Status = backend_status::Trial;
  States[1].WeightPercent = 10;
  manual_clock Clock;
  std::mt19937_64 Random(1);
  int Chosen = 0;
  for (int Draw = 0; Draw < 2000; ++Draw) {
    choice_request Request = makeRequest(balancing_policy::LateBinding, 0);
    Request.Idempotent = true;
    Request.FirstRandom = Random();
    Request.SecondRandom = Random();
    Chosen += chooseBackend(States, Request, Clock.now()) ==
              std::optional<std::size_t>(1);
  }
  CHECK(Chosen > 0);
  CHECK(Chosen < 200);
  beginAttempt(States[1]);
  for (int Draw = 0; Draw < 500; ++Draw) {
    choice_request Request = makeRequest(balancing_policy::LateBinding, 0);
    Request.FirstRandom = Random();
    CHECK(chooseBackend(States, Request, Clock.now()) !=
          std::optional<std::size_t>(1));
  }
}

TEST_CASE("a proxy excludes a server by its own failures, without a verdict") {
  std::vector<backend_state> States = makeStates(2);
  manual_clock Clock;
  for (int Failure = 0; Failure < 3; ++Failure) {
    beginAttempt(States[0]);
    endAttempt(States[0], attempt_outcome::Failed, 0, Clock.now());
  }
  CHECK(usableBackends(States, 3, Clock.now()) ==
        std::vector<bool>{false, true});
  CHECK(usableBackends(States, 6, Clock.now()) ==
        std::vector<bool>{true, true});
}

TEST_CASE("an early timeout does not count as a failure of the server") {
  const attempt_outcome Failed = attempt_outcome::Failed;
  const duration HungThreshold = seconds(2);
  CHECK(outcomeForHealth(Failed, true, seconds(1), HungThreshold) ==
        attempt_outcome::Cancelled);
  CHECK(outcomeForHealth(Failed, true, seconds(3), HungThreshold) == Failed);
  CHECK(outcomeForHealth(Failed, true, seconds(1), std::nullopt) == Failed);
  CHECK(outcomeForHealth(Failed, false, seconds(1), HungThreshold) == Failed);
}

TEST_CASE("a proxy without an agent probes servers that have not responded") {
  backend_state State = makeState("s");
  manual_clock Clock;
  endAttempt(State, attempt_outcome::Succeeded, 0, Clock.now());
  CHECK_FALSE(needsDrainProbe(State, true, Clock.now()));
  Clock.advance(seconds(2));
  CHECK(needsDrainProbe(State, true, Clock.now()));
  CHECK_FALSE(needsDrainProbe(State, false, Clock.now()));
  recordDraining(State, true, Clock.now());
  CHECK(needsDrainProbe(State, false, Clock.now()));
  recordDraining(State, false, Clock.now());
  CHECK_FALSE(needsDrainProbe(State, true, Clock.now()));
}

TEST_CASE("round robin takes turns, least in flight takes the least loaded") {
  std::vector<backend_state> States = makeStates(3);
  manual_clock Clock;
  std::vector<int> Turns(3);
  for (std::uint64_t Turn = 0; Turn < 30; ++Turn)
    ++Turns[*chooseBackend(
        States, makeRequest(balancing_policy::RoundRobin, Turn), Clock.now())];
  CHECK(Turns == std::vector<int>{10, 10, 10});
  States[0].InFlight = 5;
  States[2].InFlight = 4;
  CHECK(*chooseBackend(States, makeRequest(balancing_policy::LeastInFlight, 7),
                       Clock.now()) == 1);
}

TEST_CASE("a server that stays keeps its state across a reconfiguration") {
  std::vector<backend_state> States = makeStates(2);
  States[0].Draining = true;
  States[0].InFlight = 2;
  service Service;
  Service.BackendServers = {States[0].Server, makeState("new").Server};
  const std::vector<backend_state> Next = reconfigure(States, Service);
  CHECK(Next[0] == States[0]);
  CHECK(Next[1].InFlight == 0);
}

TEST_CASE("a budget allows extra requests up to its share") {
  token_budget Budget{0};
  int Extra = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    fillBudget(Budget, 10);
    Extra += takeFromBudget(Budget) ? 1 : 0;
  }
  CHECK(Extra >= 95);
  CHECK(Extra <= 100);
}

TEST_CASE("the late threshold is two to five times the normal latency") {
  latency_tracker Tracker;
  manual_clock Clock;
  CHECK_FALSE(Tracker.lateThreshold().has_value());
  for (int Index = 0; Index < 100; ++Index)
    Tracker.record(milliseconds(Index % 50 == 0 ? 3000 : 100), Clock.now());
  CHECK(*Tracker.lateThreshold() > milliseconds(200));
  CHECK(*Tracker.lateThreshold() < milliseconds(500));
}

TEST_CASE("the hung threshold needs enough requests and exceeds the tail") {
  latency_tracker Tracker(seconds(60));
  manual_clock Clock;
  for (int Index = 0; Index < 99; ++Index)
    Tracker.record(milliseconds(Index % 50 == 0 ? 3000 : 100), Clock.now());
  CHECK_FALSE(Tracker.hungThreshold().has_value());
  for (int Index = 0; Index < 101; ++Index)
    Tracker.record(milliseconds(Index % 50 == 0 ? 3000 : 100), Clock.now());
  CHECK(*Tracker.hungThreshold() > milliseconds(3000));
  CHECK(*Tracker.hungThreshold() < milliseconds(6000));
}

TEST_CASE("each account is held to its own limits") {
  manifest Manifest;
  Manifest.DefaultLimits = {2, 0};
  Manifest.Accounts = {{"slow", {10, 5}}};
  caller_limits Limits;
  Limits.configure(Manifest);
  manual_clock Clock;
  CHECK(Limits.admit("a", Clock.now()) == admission_result::Admitted);
  CHECK(Limits.admit("a", Clock.now()) == admission_result::Admitted);
  CHECK(Limits.admit("a", Clock.now()) == admission_result::TooManyInFlight);
  CHECK(Limits.admit("b", Clock.now()) == admission_result::Admitted);
  Limits.release("a");
  CHECK(Limits.admit("a", Clock.now()) == admission_result::Admitted);
  int Admitted = 0;
  for (int Index = 0; Index < 20; ++Index) {
    if (Limits.admit("slow", Clock.now()) != admission_result::Admitted)
      continue;
    ++Admitted;
    Limits.release("slow");
  }
  CHECK(Admitted == 5);
  Clock.advance(seconds(1));
  CHECK(Limits.admit("slow", Clock.now()) == admission_result::Admitted);
}

TEST_CASE("a route for the host wins, then the longest prefix of segments") {
  manifest Manifest;
  service Service;
  Service.Routes = {{"any", "", "/", {"GET"}, {}, milliseconds(1)},
                    {"a", "h", "/a", {"GET"}, {}, milliseconds(1)},
                    {"ab", "h", "/a/b", {"GET"}, {}, milliseconds(1)}};
  Manifest.Services = {Service};
  const route_table Table(Manifest);
  const auto RouteOf = [&Table](std::string_view Host, std::string_view Path) {
    const auto Match = Table.match(Host, Path);
    return Match ? static_cast<int>(Match->RouteIndex) : -1;
  };
  CHECK(RouteOf("h", "/a/b/c?x=/q") == 2);
  CHECK(RouteOf("h:80", "/a/bc") == 1);
  CHECK(RouteOf("h", "/ab") == 0);
  CHECK(RouteOf("other", "/a/b") == 0);
}

TEST_CASE("paths that two parsers could resolve differently are ambiguous") {
  CHECK(isUnambiguousPath("/a/b?c=../d"));
  for (const char *Path : {"a", "/a//b", "/a/../b", "/a/%2e%2e/b", "/a\\b",
                           "/a/..", "/a/%2Fb", ""})
    CHECK_FALSE(isUnambiguousPath(Path));
}
