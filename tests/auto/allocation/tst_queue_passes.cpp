// What the passes over the queue of an allocator grant and refuse.
#include "allocation/admission_order.h"
#include "allocation/pool_capacity.h"
#include "load_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

priority_class classOf(const slot_request &Request) {
  return {Request.AccountPriority, Request.Priority};
}

slot_request anyRequest(std::uint64_t Id, time_point Now) {
  slot_request Request = makeRequest(Id, Now, *rc::gen::arbitrary<bool>());
  const int Account = *rc::gen::inRange(0, 3);
  Request.Account = Account == 0 ? "" : "account-" + std::to_string(Account);
  Request.AccountPriority = *rc::gen::inRange(0U, 2U);
  Request.Priority = *rc::gen::inRange(0U, 2U);
  return Request;
}

/// Random arrivals and releases at an allocator, with a check after each pass
/// over its queue.
struct random_load {
  slot_allocator State;
  time_point Now{std::chrono::hours(1)};
  std::map<std::uint64_t, slot_request> Requests;
  std::set<std::uint64_t> Running;
  std::uint64_t NextId = 1;

  random_load() { setBackends(State, makeServers(3), Now); }

  void note(const slot_answer &Answer) {
    if (Answer.Verdict == slot_verdict::Granted)
      Running.insert(Answer.Key.Id);
  }

  void arrive() {
    const slot_request Request = anyRequest(NextId++, Now);
    Requests[Request.Key.Id] = Request;
    const std::vector<slot_request> Before = State.Queue;
    const slot_answer Answer = requestSlot(State, Request, Now);
    note(Answer);
    if (Answer.Verdict == slot_verdict::Granted)
      for (const slot_request &Other : Before)
        RC_ASSERT(classOf(Request) <= classOf(Other));
  }

  void release() {
    if (Running.empty())
      return;
    const std::uint64_t Id = *Running.begin();
    Running.erase(Running.begin());
    releaseSlot(State, {{"host", Id}, slot_outcome::Succeeded, RequestDuration},
                Now);
  }

  template <typename Inspection> void run(const Inspection &Inspect) {
    for (int Step = 0; Step < 300; ++Step) {
      Now += milliseconds(*rc::gen::inRange(0, 40));
      if (*rc::gen::inRange(0, 10) < 6)
        arrive();
      else
        release();
      const std::vector<slot_answer> Answers = processQueue(State, Now);
      for (const slot_answer &Answer : Answers)
        note(Answer);
      Inspect(Answers);
    }
  }
};

} // namespace

TEST_CASE("no request is granted a slot while a more urgent one waits for it") {
  CHECK(rc::check("for random arrivals", [] {
    random_load Load;
    // All requests accept any server, so that none waits for a better one.
    Load.State.Policy.InitialMaxCost = 10;
    Load.run([&Load](const std::vector<slot_answer> &Answers) {
      for (const slot_answer &Answer : Answers)
        if (Answer.Verdict == slot_verdict::Granted)
          for (const slot_request &Waiting : Load.State.Queue)
            RC_ASSERT(classOf(Load.Requests[Answer.Key.Id]) <=
                      classOf(Waiting));
    });
  }));
}

TEST_CASE("no slot stays free while a queued request could use it") {
  CHECK(rc::check("for random arrivals", [] {
    random_load Load;
    Load.run([&Load](const std::vector<slot_answer> &) {
      for (const slot_request &Waiting : Load.State.Queue) {
        const auto Best = findCheapestBackend(Load.State.Backends, Waiting,
                                              Load.State.Policy, Load.Now);
        RC_ASSERT(!Best ||
                  Best->Cost >
                      maxAcceptableCost(Waiting, Load.State.Policy, Load.Now));
      }
    });
  }));
}

TEST_CASE("a queued request is refused only if it would not end in time behind "
          "those that stay, at the capacity of the pool") {
  CHECK(rc::check("for random arrivals", [] {
    random_load Load;
    Load.State.Policy.InitialMaxCost = 10;
    int Refused = 0;
    Load.run([&](const std::vector<slot_answer> &Answers) {
      double Slots = 0;
      for (const auto &[Name, Backend] : Load.State.Backends)
        Slots += Backend.Registration.Slots * (1 - Backend.FailureProbability);
      for (const slot_answer &Answer : Answers) {
        if (Answer.Verdict != slot_verdict::Refused)
          continue;
        ++Refused;
        const slot_request &Request = Load.Requests[Answer.Key.Id];
        // All those that stay are at most as many as those before it.
        const auto Behind = std::ranges::count_if(
            Load.State.Queue, [&Request](const slot_request &Other) {
              return classOf(Other) <= classOf(Request);
            });
        const duration Median = medianDuration(Load.State.Profiles[0]);
        const duration Wait = std::chrono::duration_cast<duration>(
            meanDuration(Median) * double(Behind) / std::max(1.0, Slots));
        RC_ASSERT(Load.Now + Wait + Median > Request.Deadline);
        RC_ASSERT(startableNow(Load.State.Backends, Request, Load.Now) == 0 ||
                  Answer.Reason == DeadlineReason);
      }
    });
    RC_CLASSIFY(Refused > 0, "refused some");
  }));
}

TEST_CASE("queued requests are refused as soon as more urgent ones take their "
          "place, long before their deadline") {
  load_simulation Simulation;
  slot_allocator &State = Simulation.State;
  setBackends(State, makeServers(2), Simulation.Now);
  Simulation.run(seconds(3), milliseconds(50), true);
  const time_point Now = Simulation.Now;
  std::uint64_t Id = 5000;
  const auto Send = [&](std::uint32_t Priority) {
    slot_request Request = makeRequest(Id++, Now, true);
    Request.AccountPriority = Priority;
    return requestSlot(State, Request, Now).Verdict;
  };
  for (int Count = 0; Count < 30; ++Count)
    (void)Send(1);
  CHECK(processQueue(State, Now).empty());
  const std::size_t LessUrgent = State.Queue.size();
  CHECK(LessUrgent > 15);
  for (int Count = 0; Count < 20; ++Count)
    CHECK(Send(0) == slot_verdict::Queued);
  const std::vector<slot_answer> Answers = processQueue(State, Now);
  CHECK(Answers.size() > 5);
  CHECK(Answers.size() < LessUrgent);
  std::set<duration> Returns;
  for (const slot_answer &Answer : Answers) {
    CHECK(Answer.Reason == OverloadedReason);
    CHECK(Answer.RetryAfter >= MinRetryAfter);
    CHECK(Answer.RetryAfter <= duration(seconds(2)) / 3);
    Returns.insert(Answer.RetryAfter);
  }
  CHECK(Returns.size() == Answers.size());
  CHECK(State.Counts.WhileQueued.Overloaded == Answers.size());
  CHECK(State.Counts.Delayed >= LessUrgent - 1);
  CHECK(processQueue(State, Now).empty());
}
