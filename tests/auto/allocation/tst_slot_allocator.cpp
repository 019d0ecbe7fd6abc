#include "load_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace coriandertray;
using namespace coriandertray::testing;

TEST_CASE("every server that joins under light load gets a request") {
  load_simulation Simulation;
  std::vector<backend_registration> Servers = makeServers(16);
  setBackends(Simulation.State, Servers, Simulation.Now);
  Simulation.run(seconds(10), milliseconds(30));
  std::vector<backend_registration> Joined = makeServers(5, 100);
  for (backend_registration &Server : Joined)
    Server.WarmUpRemaining = milliseconds(3000);
  Servers.insert(Servers.end(), Joined.begin(), Joined.end());
  setBackends(Simulation.State, Servers, Simulation.Now);
  Simulation.run(milliseconds(3500), milliseconds(30));
  setBackends(Simulation.State, Servers, Simulation.Now);
  Simulation.run(milliseconds(1000), milliseconds(30));
  for (const backend_registration &Server : Joined)
    CHECK(Simulation.Granted[Server.Name] > 0);
}

TEST_CASE(
    "a new server gets another first request if the first one was not sent") {
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(4), Simulation.Now);
  Simulation.run(seconds(2), milliseconds(30));
  std::vector<backend_registration> Servers = makeServers(5);
  setBackends(Simulation.State, Servers, Simulation.Now);
  Simulation.Now += seconds(2);
  const slot_request First = makeRequest(9001, Simulation.Now);
  const slot_answer Answer =
      requestSlot(Simulation.State, First, Simulation.Now);
  REQUIRE(Answer.Backend == "server-4");
  releaseSlot(Simulation.State, {First.Key, slot_outcome::NotUsed, {}},
              Simulation.Now);
  Simulation.run(seconds(2), milliseconds(30));
  CHECK(Simulation.Granted["server-4"] > 0);
}

TEST_CASE("a server that stops answering loses few requests") {
  // With a gray failure, a server hangs most of its requests for seconds while
  // its health check passes.
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(8), Simulation.Now);
  Simulation.run(seconds(5), milliseconds(40));
  const int ServedBefore = Simulation.Served;
  const auto Busiest = std::ranges::max_element(
      Simulation.Granted, {}, &std::map<std::string, int>::value_type::second);
  Simulation.HungServers.insert(Busiest->first);
  Simulation.Lost = 0;
  Simulation.run(seconds(5), milliseconds(40));
  CHECK(Simulation.Served > ServedBefore);
  // At most the requests in its three slots before the failure is detected, and
  // one trial request afterwards.
  CHECK(Simulation.Lost <= 4);
}

TEST_CASE("a server that answers again is trusted again") {
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(2), Simulation.Now);
  Simulation.HungServers = {"server-0"};
  Simulation.run(seconds(6), milliseconds(100));
  CHECK(Simulation.State.Backends["server-0"].Suspected);
  Simulation.HungServers.clear();
  Simulation.Granted.clear();
  Simulation.run(seconds(20), milliseconds(30));
  CHECK(Simulation.Granted["server-0"] > 20);
  CHECK_FALSE(Simulation.State.Backends["server-0"].Suspected);
}

TEST_CASE("a request that is not idempotent waits for a proven server") {
  // While some servers hang, a server without evidence may hang as well.
  load_simulation Simulation;
  Simulation.HungServers = {"server-2", "server-3", "server-4"};
  setBackends(Simulation.State, makeServers(5), Simulation.Now);
  Simulation.run(seconds(3), milliseconds(60), true);
  slot_allocator &State = Simulation.State;
  setBackends(State, makeServers(6), Simulation.Now);
  State.Backends["server-5"].AwaitsFirstRequest = false;
  std::uint64_t Id = 5000;
  slot_answer Answer;
  slot_request NonIdempotent;
  do {
    NonIdempotent = makeRequest(Id++, Simulation.Now);
    Answer = requestSlot(State, NonIdempotent, Simulation.Now);
    if (Answer.Verdict == slot_verdict::Granted)
      CHECK(Answer.Backend != "server-5");
  } while (Answer.Verdict == slot_verdict::Granted);
  CHECK(Answer.Verdict == slot_verdict::Queued);
  // The request goes to the first slot that becomes free at a proven server.
  releaseSlot(State,
              {State.Backends["server-0"].Leases.front().Key,
               slot_outcome::Succeeded, RequestDuration},
              Simulation.Now + milliseconds(20));
  const auto Answers = processQueue(State, Simulation.Now + milliseconds(20));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Key == NonIdempotent.Key);
  CHECK(Answers.front().Backend == "server-0");
}

TEST_CASE("a request that cannot be served in time is refused immediately") {
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(1), Simulation.Now);
  Simulation.run(seconds(3), milliseconds(100));
  int Refused = 0;
  int Queued = 0;
  for (std::uint64_t Id = 5000; Id < 5100; ++Id) {
    const slot_answer Answer = requestSlot(
        Simulation.State, makeRequest(Id, Simulation.Now), Simulation.Now);
    Refused += Answer.Verdict == slot_verdict::Refused ? 1 : 0;
    Queued += Answer.Verdict == slot_verdict::Queued ? 1 : 0;
    if (Answer.Verdict == slot_verdict::Refused) {
      CHECK(Answer.Reason == "overloaded");
      CHECK(Answer.RetryAfter > duration::zero());
    }
  }
  // Three slots at 200 ms per request serve fifteen requests a second, and
  // requests are admitted for a second and a half.
  CHECK(Refused > 70);
  CHECK(Queued > 5);
}

TEST_CASE("the most urgent queued request is served first") {
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(1), Simulation.Now);
  Simulation.run(seconds(3), milliseconds(300));
  slot_allocator &State = Simulation.State;
  time_point Now = Simulation.Now + seconds(1);
  for (std::uint64_t Id = 5000; Id < 5003; ++Id)
    (void)requestSlot(State, makeRequest(Id, Now, true), Now);
  slot_request LowPriority = makeRequest(5003, Now);
  LowPriority.Priority = 2;
  slot_request Urgent = makeRequest(5004, Now);
  Urgent.Priority = 0;
  CHECK(requestSlot(State, LowPriority, Now).Verdict == slot_verdict::Queued);
  CHECK(requestSlot(State, Urgent, Now).Verdict == slot_verdict::Queued);
  releaseSlot(State, {{"host", 5000}, slot_outcome::Succeeded, RequestDuration},
              Now);
  const auto Answers = processQueue(State, Now);
  REQUIRE(Answers.size() == 1);
  CHECK(Answers.front().Key == Urgent.Key);
}

TEST_CASE("draining and misdirected servers get no requests") {
  load_simulation Simulation;
  std::vector<backend_registration> Servers = makeServers(3);
  Servers[0].Draining = true;
  setBackends(Simulation.State, Servers, Simulation.Now);
  Simulation.run(seconds(2), milliseconds(50));
  CHECK(Simulation.Granted["server-0"] == 0);
  const slot_request Request = makeRequest(5000, Simulation.Now);
  const slot_answer Answer =
      requestSlot(Simulation.State, Request, Simulation.Now);
  REQUIRE(Answer.Verdict == slot_verdict::Granted);
  releaseSlot(Simulation.State, {Request.Key, slot_outcome::Misdirected, {}},
              Simulation.Now);
  Simulation.Granted.clear();
  Simulation.run(seconds(2), milliseconds(50));
  CHECK(Simulation.Granted[Answer.Backend] == 0);
}

TEST_CASE("a restarted server starts with a new record") {
  load_simulation Simulation;
  std::vector<backend_registration> Servers = makeServers(2);
  setBackends(Simulation.State, Servers, Simulation.Now);
  Simulation.HungServers = {"server-0"};
  Simulation.run(seconds(4), milliseconds(100));
  Servers[0].StartedAtUnixMs = 2;
  setBackends(Simulation.State, Servers, Simulation.Now);
  const backend_record &Restarted = Simulation.State.Backends["server-0"];
  CHECK(Restarted.Leases.empty());
  CHECK(Restarted.AwaitsFirstRequest);
}

TEST_CASE("hedges stay within the retry budget") {
  load_simulation Simulation;
  Simulation.State.RetryLimits = {0.2, seconds(10), 10};
  setBackends(Simulation.State, makeServers(4), Simulation.Now);
  Simulation.run(seconds(5), milliseconds(100), true);
  int Granted = 0;
  for (std::uint64_t Id = 5000; Id < 5100; ++Id) {
    slot_request Hedge = makeRequest(Id, Simulation.Now, true);
    Hedge.RetryReason = retry_reason::Hedge;
    const slot_answer Answer =
        requestSlot(Simulation.State, Hedge, Simulation.Now);
    if (Answer.Verdict == slot_verdict::Granted) {
      ++Granted;
      releaseSlot(Simulation.State,
                  {Hedge.Key, slot_outcome::Succeeded, RequestDuration},
                  Simulation.Now);
    }
  }
  CHECK(Granted > 0);
  // A fifth of 50 requests, and the slack of 10.
  CHECK(Granted <= 20);
}

TEST_CASE("retries in any window stay within the budget") {
  const bool Holds = rc::check("for random arrivals", [] {
    const retry_limits Limits = {0.2, seconds(10), 20};
    retry_budget Budget;
    time_point Now{std::chrono::hours(1)};
    std::vector<time_point> Requests;
    std::vector<time_point> Retries;
    for (int Step = 0; Step < 400; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 120));
      if (*rc::gen::inRange(0, 3) > 0) {
        recordRequest(Budget, Limits, "host", Now);
        Requests.push_back(Now);
      } else if (tryConsumeRetry(Budget, Limits, "host", 0, Now)) {
        Retries.push_back(Now);
      }
      const auto InWindow = [&](const std::vector<time_point> &Times) {
        return std::ranges::count_if(Times, [&](time_point Time) {
          return Now - Time <= Limits.Window;
        });
      };
      const double Allowed = Limits.Ratio * double(InWindow(Requests)) + 20;
      RC_ASSERT(double(InWindow(Retries)) <= Allowed);
    }
  });
  CHECK(Holds);
}

TEST_CASE("hosts that allocate for themselves stay within the shared budget") {
  // When no allocator is reachable, every host allocates for itself. Most
  // requests fail, so that each host uses its whole budget.
  constexpr std::size_t Hosts = 134;
  const retry_limits Limits = {0.2, seconds(10), 218};
  const time_point Now{std::chrono::hours(1)};
  int Retries = 0;
  int Requests = 0;
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    const retry_limits Part = divideRetryLimits(Limits, Hosts);
    retry_budget Budget;
    for (int Count = 0; Count < 8; ++Count) {
      recordRequest(Budget, Part, "host", Now);
      ++Requests;
    }
    while (tryConsumeRetry(Budget, Part, "host", 0, Now))
      ++Retries;
  }
  CHECK(Retries > 0);
  CHECK(Retries <= Limits.Ratio * Requests + Limits.Slack);
}

TEST_CASE("a server never has more leases than slots") {
  const bool Holds =
      rc::check("for random events, and no request is granted twice", [] {
        slot_allocator State;
        time_point Now{std::chrono::hours(1)};
        setBackends(State, makeServers(4, 0), Now);
        std::set<std::uint64_t> Open;
        std::uint64_t NextId = 1;
        const auto HandleAnswer = [&](const slot_answer &Answer) {
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
            HandleAnswer(requestSlot(State, Request, Now));
          } else if (Kind < 8 && !Open.empty()) {
            const std::uint64_t Id = *Open.begin();
            Open.erase(Open.begin());
            const auto Outcome = static_cast<slot_outcome>(*rc::gen::inRange(
                0, static_cast<int>(slot_outcome::NotUsed) + 1));
            releaseSlot(State, {{"host", Id}, Outcome, milliseconds(100)}, Now);
          } else if (Kind == 8) {
            const int Count = *rc::gen::inRange(0, 6);
            setBackends(State, makeServers(Count, *rc::gen::inRange(0, 3)),
                        Now);
          }
          for (const slot_answer &Answer : processQueue(State, Now))
            HandleAnswer(Answer);
          for (const auto &[Name, Backend] : State.Backends)
            RC_ASSERT(Backend.Leases.size() <= Backend.Registration.Slots);
        }
      });
  CHECK(Holds);
}

TEST_CASE("a recovered server gets requests again within two seconds") {
  // Under a light load, a few proven servers could carry all requests. Servers
  // that used to hang would then get no request that could show that they have
  // recovered.
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(10), Simulation.Now);
  Simulation.HungServers = {"server-0", "server-1", "server-2", "server-3"};
  Simulation.run(seconds(4), milliseconds(30));
  Simulation.HungServers.clear();
  // Two seconds after its last failure, a server counts as possibly healthy.
  Simulation.run(seconds(4), milliseconds(30));
  for (int Window = 0; Window < 5; ++Window) {
    Simulation.Granted.clear();
    Simulation.run(seconds(2), milliseconds(30));
    const auto Used =
        std::ranges::count_if(makeServers(10), [&](const auto &Server) {
          return Simulation.Granted[Server.Name] > 0;
        });
    CHECK(Used >= 7);
  }
}

TEST_CASE("failed requests do not increase the trials of hung servers") {
  // The load is so light that trials could make up most of the requests.
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(16), Simulation.Now);
  Simulation.HungServers = {"server-0", "server-1", "server-2", "server-3",
                            "server-4"};
  Simulation.run(seconds(6), milliseconds(50));
  Simulation.Lost = 0;
  Simulation.Served = 0;
  Simulation.run(seconds(20), milliseconds(50));
  CHECK(Simulation.Served + Simulation.Lost > 350);
  // Each of the five servers gets at most one trial in four seconds: the trial
  // takes two seconds to fail, and for two more the server gets no request.
  CHECK(Simulation.Lost <= 25);
}

TEST_CASE("a hedge waits for a free slot at a proven server") {
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(1), Simulation.Now);
  Simulation.State.RetryLimits = {0.2, seconds(10), 58};
  Simulation.run(seconds(3), milliseconds(300), true);
  slot_allocator &State = Simulation.State;
  const time_point Now = Simulation.Now + seconds(1);
  for (std::uint64_t Id = 5000; Id < 5003; ++Id)
    (void)requestSlot(State, makeRequest(Id, Now, true), Now);
  slot_request Hedge = makeRequest(5003, Now, true);
  Hedge.RetryReason = retry_reason::Hedge;
  CHECK(requestSlot(State, Hedge, Now).Verdict == slot_verdict::Queued);
  slot_request First = makeRequest(5004, Now, true);
  First.Priority = 9;
  CHECK(requestSlot(State, First, Now).Verdict == slot_verdict::Queued);
  releaseSlot(State, {{"host", 5000}, slot_outcome::Succeeded, RequestDuration},
              Now);
  const auto FirstAnswers = processQueue(State, Now);
  REQUIRE(FirstAnswers.size() == 1);
  CHECK(FirstAnswers.front().Key == First.Key);
  releaseSlot(State, {{"host", 5001}, slot_outcome::Succeeded, RequestDuration},
              Now);
  const auto HedgeAnswers = processQueue(State, Now);
  REQUIRE(HedgeAnswers.size() == 1);
  CHECK(HedgeAnswers.front().Key == Hedge.Key);
  CHECK(HedgeAnswers.front().Verdict == slot_verdict::Granted);
}

TEST_CASE("no request is refused as overload while a slot is free") {
  // All servers look unhealthy at once, because all requests take unusually
  // long.
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(10), Simulation.Now);
  Simulation.run(seconds(3), milliseconds(50), true);
  slot_allocator &State = Simulation.State;
  const time_point Now = Simulation.Now + seconds(3);
  std::uint64_t Id = 5000;
  for (auto &[Name, Backend] : State.Backends) {
    Backend.Leases.clear();
    for (int Count = 0; Count < 2; ++Count)
      adoptLease(State,
                 {{"other", Id++},
                  Name,
                  "",
                  Now - milliseconds(900),
                  Now + milliseconds(600)},
                 Now);
  }
  for (int Count = 0; Count < 10; ++Count)
    CHECK(requestSlot(State, makeRequest(Id++, Now, true), Now).Verdict !=
          slot_verdict::Refused);
  for (int Count = 0; Count < 8; ++Count)
    (void)requestSlot(State, makeRequest(Id++, Now, true), Now);
  CHECK(requestSlot(State, makeRequest(Id++, Now, true), Now).Verdict ==
        slot_verdict::Refused);
}

TEST_CASE("most healthy servers get requests in any two seconds") {
  // A few servers could carry this light load, but they may fail at any moment.
  load_simulation Simulation;
  setBackends(Simulation.State, makeServers(16), Simulation.Now);
  Simulation.run(seconds(4), milliseconds(30));
  for (int Window = 0; Window < 5; ++Window) {
    Simulation.Granted.clear();
    Simulation.run(seconds(2), milliseconds(30));
    CHECK(Simulation.Granted.size() >= 12);
  }
}

TEST_CASE(
    "a new allocator uses most of its servers within two seconds, whether "
    "or not some lose their requests") {
  // The load of one pool of a large service at the start of traffic.
  constexpr int ServerCount = 30;
  constexpr duration Interval = milliseconds(40);
  constexpr duration RequestDuration = milliseconds(230);
  constexpr duration FloorWindow = seconds(2);
  constexpr double FloorShare = 0.7;
  for (const int LosingServers : {0, 7}) {
    CAPTURE(LosingServers);
    slot_allocator State;
    time_point Now{std::chrono::hours(1)};
    setBackends(State, makeServers(ServerCount), Now);
    std::set<std::string> Losing;
    for (int Number = 0; Number < LosingServers; ++Number)
      Losing.insert("server-" + std::to_string(Number * 4));
    std::set<std::string> Used;
    std::vector<std::pair<time_point, slot_key>> Running;
    const time_point End = Now + FloorWindow;
    const auto Use = [&](const slot_answer &Answer) {
      if (Answer.Verdict != slot_verdict::Granted)
        return;
      Used.insert(Answer.Backend);
      if (!Losing.contains(Answer.Backend))
        Running.emplace_back(Now + RequestDuration, Answer.Key);
    };
    for (std::uint64_t Id = 0; Now < End; ++Id, Now += Interval) {
      std::erase_if(Running, [&](const auto &Request) {
        if (Request.first > Now)
          return false;
        releaseSlot(
            State,
            {Request.second, slot_outcome::Succeeded, RequestDuration, {}},
            Now);
        return true;
      });
      for (const slot_answer &Answer : processQueue(State, Now))
        Use(Answer);
      Use(requestSlot(State, makeRequest(Id, Now, Id % 5 == 0), Now));
    }
    const auto Sound = std::ranges::count_if(
        Used, [&](const std::string &Name) { return !Losing.contains(Name); });
    CHECK(static_cast<double>(Sound) >=
          FloorShare * (ServerCount - LosingServers));
  }
}
