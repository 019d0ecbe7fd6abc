#include "balancing/admission_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace coriandertray;

namespace {

/// Reference model: the waiting requests in a plain list.
struct queue_model {
  std::vector<waiting_request> Waiting;
  std::uint64_t NextId = 1;
};

struct queue_under_test {
  admission_queue Queue;
  manual_clock Clock;
};

using queue_command = rc::state::Command<queue_model, queue_under_test>;

struct push_request : queue_command {
  std::string Account = *rc::gen::element<std::string>("a", "b", "c");
  int DeadlineMs = *rc::gen::inRange(1, 500);

  void apply(queue_model &Model) const override {
    Model.Waiting.push_back({Model.NextId++, Account,
                             manual_clock().now() + milliseconds(DeadlineMs)});
  }
  void run(const queue_model &Model, queue_under_test &Sut) const override {
    Sut.Queue.push({Model.NextId, Account,
                    manual_clock().now() + milliseconds(DeadlineMs)});
    RC_ASSERT(Sut.Queue.size() == Model.Waiting.size() + 1);
  }
};

struct check_front : queue_command {
  void checkPreconditions(const queue_model &Model) const override {
    RC_PRE(!Model.Waiting.empty());
  }
  // The model does not predict which account is next, only that the request
  // with the earliest deadline of that account is.
  void apply(queue_model &Model) const override { (void)Model; }
  void run(const queue_model &Model, queue_under_test &Sut) const override {
    const auto Front = Sut.Queue.front();
    RC_ASSERT(Front.has_value());
    const auto Found =
        std::ranges::find(Model.Waiting, *Front, &waiting_request::Id);
    RC_ASSERT(Found != Model.Waiting.end());
    RC_ASSERT(
        std::ranges::none_of(Model.Waiting, [&](const waiting_request &Other) {
          return Other.Account == Found->Account &&
                 Other.Deadline < Found->Deadline;
        }));
  }
};

struct remove_oldest : queue_command {
  void checkPreconditions(const queue_model &Model) const override {
    RC_PRE(!Model.Waiting.empty());
  }
  void apply(queue_model &Model) const override {
    Model.Waiting.erase(Model.Waiting.begin());
  }
  void run(const queue_model &Model, queue_under_test &Sut) const override {
    Sut.Queue.remove(Model.Waiting.front().Id);
    RC_ASSERT(Sut.Queue.size() == Model.Waiting.size() - 1);
  }
};

struct dispatch_oldest : remove_oldest {
  void run(const queue_model &Model, queue_under_test &Sut) const override {
    Sut.Clock.advance(milliseconds(1));
    Sut.Queue.dispatch(Model.Waiting.front().Id);
    Sut.Queue.recordAccepted({}, Sut.Clock.now());
    RC_ASSERT(Sut.Queue.size() == Model.Waiting.size() - 1);
  }
};

struct list_expired : queue_command {
  int AfterMs = *rc::gen::inRange(0, 500);

  void run(const queue_model &Model, queue_under_test &Sut) const override {
    const time_point Now = manual_clock().now() + milliseconds(AfterMs);
    const auto Expired = Sut.Queue.expired(duration::zero(), Now);
    const auto Expected = std::ranges::count_if(
        Model.Waiting, [Now](const waiting_request &Request) {
          return Request.Deadline < Now;
        });
    RC_ASSERT(static_cast<std::ptrdiff_t>(Expired.size()) == Expected);
  }
};

} // namespace

TEST_CASE("the queue holds the same requests as a reference list") {
  CHECK(rc::check([] {
    queue_under_test Sut;
    rc::state::check(
        queue_model(), Sut,
        rc::state::gen::execOneOfWithArgs<push_request, check_front,
                                          remove_oldest, dispatch_oldest,
                                          list_expired>());
  }));
}

TEST_CASE("accounts with waiting requests are served in equal shares") {
  admission_queue Queue;
  manual_clock Clock;
  const time_point Deadline = Clock.now() + seconds(10);
  std::map<std::uint64_t, std::string> Accounts;
  std::uint64_t Id = 1;
  const auto Push = [&](const std::string &Account) {
    Accounts[Id] = Account;
    Queue.push({Id++, Account, Deadline});
  };
  for (int Index = 0; Index < 90; ++Index)
    Push("greedy");
  for (int Index = 0; Index < 10; ++Index)
    Push("modest");
  std::map<std::string, int> Served;
  for (int Index = 0; Index < 20; ++Index) {
    const std::uint64_t Front = *Queue.front();
    ++Served[Accounts[Front]];
    Queue.dispatch(Front);
  }
  CHECK(Served["modest"] == 10);
}

TEST_CASE(
    "a request that can't meet its deadline behind the queue is not admitted") {
  admission_queue Queue;
  manual_clock Clock;
  const time_point Far = Clock.now() + seconds(10);
  const throughput_estimate Estimate = {milliseconds(20), milliseconds(10)};
  for (std::uint64_t Id = 1; Id <= 50; ++Id)
    Queue.push({Id, "a", Far});
  const auto CanMeetWithin = [&](milliseconds Left) {
    return Queue.canMeetDeadline(Clock.now() + Left, Estimate, Clock.now());
  };
  CHECK(CanMeetWithin(milliseconds(800)));
  CHECK_FALSE(CanMeetWithin(milliseconds(700)));
  for (std::uint64_t Id = 1; Id <= 25; ++Id) {
    Clock.advance(milliseconds(5));
    Queue.dispatch(Id);
    Queue.recordAccepted(Estimate, Clock.now());
  }
  CHECK_FALSE(CanMeetWithin(milliseconds(150)));
  CHECK(CanMeetWithin(milliseconds(350)));
}

TEST_CASE("the queue length is limited even if all deadlines are distant") {
  admission_queue Queue;
  manual_clock Clock;
  const time_point Far = Clock.now() + seconds(100);
  const throughput_estimate Estimate = {milliseconds(20), milliseconds(10)};
  std::uint64_t Id = 1;
  while (Queue.canMeetDeadline(Far, Estimate, Clock.now()) && Id < 1000)
    Queue.push({Id++, "a", Far});
  CHECK(Queue.size() <= 51);
}

TEST_CASE("refusals by a full server do not raise the estimated service rate") {
  admission_queue Queue;
  manual_clock Clock;
  const time_point Far = Clock.now() + seconds(100);
  const throughput_estimate Estimate = {milliseconds(20), milliseconds(10)};
  for (std::uint64_t Id = 1; Id <= 150; ++Id)
    Queue.push({Id, "a", Far});
  for (int Ask = 0; Ask < 200; ++Ask) {
    Clock.advance(milliseconds(1));
    const std::uint64_t Front = *Queue.front();
    Queue.dispatch(Front);
    Queue.recordRefused("a");
    Queue.push({Front, "a", Far});
  }
  CHECK_FALSE(Queue.canMeetDeadline(Far, Estimate, Clock.now()));
}
