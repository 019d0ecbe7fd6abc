// The order of the queue, fair shares and times to return.
#include "allocation/admission_order.h"
#include "allocation/fair_share.h"
#include "allocation/return_schedule.h"
#include "allocation_fixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <compare>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr duration Median = milliseconds(200);
constexpr duration Likely = milliseconds(300);

/// Few different values, so that equal ones are common.
admission_rank anyRank() {
  admission_rank Rank;
  Rank.IsHedge = *rc::gen::arbitrary<bool>();
  Rank.Class = {*rc::gen::inRange(0U, 2U), *rc::gen::inRange(0U, 2U)};
  Rank.MissesTarget = *rc::gen::arbitrary<bool>();
  Rank.FairStart = *rc::gen::inRange(0, 2) / 2.0;
  Rank.Target = Start + milliseconds(*rc::gen::inRange(0, 2));
  Rank.RequestedAt = Start + milliseconds(*rc::gen::inRange(0, 2));
  return Rank;
}

/// A request whose target may be out of reach, of an account or none.
slot_request anyRequest(std::uint64_t Id) {
  slot_request Request = makeRequest(Id, Start, true);
  Request.Target = Start + milliseconds(*rc::gen::inRange(0, 1000));
  if (*rc::gen::inRange(0, 5) == 0)
    Request.RetryReason = retry_reason::Hedge;
  const int Account = *rc::gen::inRange(0, 4);
  Request.Account = Account == 0 ? "" : "account-" + std::to_string(Account);
  Request.AccountPriority = *rc::gen::inRange(0U, 3U);
  Request.AccountWeight = *rc::gen::inRange(1, 20);
  Request.Priority = *rc::gen::inRange(0U, 3U);
  return Request;
}

std::vector<slot_request> inOrder(const std::vector<slot_request> &Requests,
                                  const fair_share &Shares = {}) {
  std::vector<admission_candidate> Candidates;
  for (const slot_request &Request : Requests)
    Candidates.push_back({&Request, Median, Likely});
  std::vector<slot_request> Ordered;
  for (const ranked_request &Entry : orderRequests(Candidates, Shares, Start))
    Ordered.push_back(Requests[Entry.Index]);
  return Ordered;
}

slot_request accountRequest(std::uint64_t Id, const std::string &Account,
                            double Weight = 1) {
  slot_request Request = makeRequest(Id, Start, true);
  Request.Account = Account;
  Request.AccountWeight = Weight;
  return Request;
}

std::map<std::string, int>
countAccounts(const std::vector<slot_request> &Requests, std::size_t First) {
  std::map<std::string, int> Counts;
  for (std::size_t Index = 0; Index < First; ++Index)
    ++Counts[Requests[Index].Account];
  return Counts;
}

} // namespace

TEST_CASE("the order of requests is a strict weak ordering") {
  CHECK(rc::check("for random ranks", [] {
    const admission_rank A = anyRank();
    const admission_rank B = anyRank();
    const admission_rank C = anyRank();
    const auto Equivalent = [](const auto &Left, const auto &Right) {
      return !(Left < Right) && !(Right < Left);
    };
    RC_ASSERT_FALSE(A < A);
    RC_ASSERT(!(A < B) || !(B < A));
    RC_ASSERT(!(A < B) || !(B < C) || A < C);
    RC_ASSERT(!Equivalent(A, B) || !Equivalent(B, C) || Equivalent(A, C));
  }));
}

TEST_CASE("no less urgent request is placed ahead of a more urgent one") {
  CHECK(rc::check("for random requests", [] {
    std::vector<slot_request> Requests;
    for (std::uint64_t Id = 0; Id < 30; ++Id)
      Requests.push_back(anyRequest(Id));
    const std::vector<slot_request> Ordered = inOrder(Requests);
    RC_ASSERT(Ordered.size() == Requests.size());
    const auto Urgency = [](const slot_request &Request) {
      return std::tuple(
          isHedge(Request), Request.AccountPriority, Request.Priority,
          !isHedge(Request) && missesTarget(Request.Target, Likely, Start));
    };
    RC_ASSERT(std::ranges::is_sorted(Ordered, {}, Urgency));
  }));
}

TEST_CASE("requests without an account keep their order among themselves, "
          "whatever accounts are beside them") {
  CHECK(rc::check("for random requests", [] {
    std::vector<slot_request> Requests;
    for (std::uint64_t Id = 0; Id < 30; ++Id) {
      Requests.push_back(anyRequest(Id));
      Requests.back().AccountPriority = 0;
      Requests.back().Priority = 0;
      Requests.back().RetryReason = retry_reason::None;
    }
    const auto WithoutAccount = [](std::vector<slot_request> Some) {
      std::erase_if(Some, [](const slot_request &Request) {
        return !Request.Account.empty();
      });
      return Some;
    };
    const std::vector<slot_request> Alone = inOrder(WithoutAccount(Requests));
    RC_ASSERT(WithoutAccount(inOrder(Requests)) == Alone);
    std::vector<slot_request> Expected = WithoutAccount(Requests);
    std::ranges::stable_sort(Expected, {}, [](const slot_request &Request) {
      return std::pair(missesTarget(Request.Target, Likely, Start),
                       Request.Target);
    });
    RC_ASSERT(Alone == Expected);
  }));
}

TEST_CASE("queued accounts are served by their weights, whatever their load") {
  std::vector<slot_request> Requests;
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    Requests.push_back(accountRequest(Id, "heavy", 1));
  for (std::uint64_t Id = 100; Id < 120; ++Id)
    Requests.push_back(accountRequest(Id, "light", 1));
  for (std::uint64_t Id = 120; Id < 160; ++Id)
    Requests.push_back(accountRequest(Id, "large", 2));
  const auto Counts = countAccounts(inOrder(Requests), 40);
  CHECK(Counts == std::map<std::string, int>{
                      {"heavy", 10}, {"large", 20}, {"light", 10}});
}

TEST_CASE("requests without an account share capacity with all accounts") {
  std::vector<slot_request> Requests;
  for (std::uint64_t Id = 0; Id < 60; ++Id)
    Requests.push_back(accountRequest(Id, ""));
  for (std::uint64_t Id = 60; Id < 100; ++Id)
    Requests.push_back(
        accountRequest(Id, Id % 2 == 0 ? "a" : "b", Id % 2 == 0 ? 5 : 15));
  const auto Counts = countAccounts(inOrder(Requests), 20);
  CHECK(Counts.at("") == 10);
}

TEST_CASE("an account that was idle collects no credit") {
  // It would otherwise delay all others for as long as it was idle.
  fair_share Shares;
  const share_key Busy{{}, "busy"};
  for (int Count = 0; Count < 1000; ++Count)
    recordService(Shares, Busy,
                  intervalFrom(nextStart(Shares, Busy), toSeconds(Median), 1),
                  Start);
  std::vector<slot_request> Requests;
  for (std::uint64_t Id = 0; Id < 40; ++Id)
    Requests.push_back(accountRequest(Id, Id < 20 ? "idle" : "busy"));
  const auto Counts = countAccounts(inOrder(Requests, Shares), 20);
  CHECK(Counts.at("idle") <= 11);
  CHECK(Counts.at("busy") >= 9);
}

TEST_CASE("fair shares keep a bounded number of accounts and classes") {
  fair_share Shares;
  for (std::uint32_t Number = 0; Number < 3 * MaxFairShareEntries; ++Number) {
    const share_key Key{{0, Number}, "account-" + std::to_string(Number)};
    recordArrival(Shares, Key, Start);
    recordService(Shares, Key, {1, 2}, Start);
    REQUIRE(Shares.Accounts.size() <= MaxFairShareEntries);
    REQUIRE(Shares.Classes.size() <= MaxFairShareEntries);
  }
}

TEST_CASE("no account is served less than a quarter as often as all") {
  // Serves random loads of a few accounts in rounds of 100 ms. Requests that
  // wait for longer than Patience are rejected.
  constexpr int Rounds = 300;
  constexpr duration Round = milliseconds(100);
  constexpr duration Patience = milliseconds(1500);
  CHECK(rc::check("for random loads and weights", [&] {
    const int Accounts = *rc::gen::inRange(2, 8);
    std::vector<double> Loads;
    std::vector<double> Weights;
    for (int Number = 0; Number < Accounts; ++Number) {
      Loads.push_back(*rc::gen::inRange(5, 80) / 10.0);
      Weights.push_back(*rc::gen::inRange(1, 50));
    }
    const std::size_t Capacity = *rc::gen::inRange<std::size_t>(2, 30);
    std::vector<int> Arrived(Accounts);
    std::vector<int> Served(Accounts);
    fair_share Shares;
    std::vector<slot_request> Queue;
    std::vector<double> Due(Accounts);
    time_point Now = Start;
    for (int Count = 0; Count < Rounds; ++Count, Now += Round) {
      for (int Number = 0; Number < Accounts; ++Number)
        for (Due[Number] += Loads[Number]; Due[Number] >= 1; --Due[Number]) {
          slot_request Request = makeRequest(Number, Now, true);
          Request.Account = std::to_string(Number);
          Request.AccountWeight = Weights[Number];
          recordArrival(Shares, shareKey(Request), Now);
          ++Arrived[Number];
          Queue.push_back(std::move(Request));
        }
      std::erase_if(Queue, [&](const slot_request &Request) {
        return Now - Request.RequestedAt > Patience;
      });
      std::set<std::size_t> Done;
      while (Done.size() < std::min(Capacity, Queue.size())) {
        std::vector<admission_candidate> Waiting;
        std::vector<std::size_t> Indices;
        for (std::size_t Index = 0; Index < Queue.size(); ++Index)
          if (!Done.contains(Index)) {
            Waiting.push_back({&Queue[Index], Median, Likely});
            Indices.push_back(Index);
          }
        const auto Ordered = orderRequests(Waiting, Shares, Now);
        // A few are served in each pass of the allocator.
        constexpr std::size_t PerPass = 5;
        for (std::size_t Place = 0; Place < std::min(PerPass, Ordered.size()) &&
                                    Done.size() < Capacity;
             ++Place) {
          const ranked_request &Entry = Ordered[Place];
          const slot_request &Request = *Waiting[Entry.Index].Request;
          recordService(Shares, shareKey(Request), Entry.Share, Now);
          Done.insert(Indices[Entry.Index]);
          ++Served[Request.Key.Id];
        }
      }
      std::vector<slot_request> Left;
      for (std::size_t Index = 0; Index < Queue.size(); ++Index)
        if (!Done.contains(Index))
          Left.push_back(Queue[Index]);
      Queue = std::move(Left);
    }
    const double All = double(std::reduce(Served.begin(), Served.end())) /
                       std::reduce(Arrived.begin(), Arrived.end());
    for (int Number = 0; Number < Accounts; ++Number)
      RC_ASSERT(double(Served[Number]) / Arrived[Number] >= All / 4);
  }));
}

TEST_CASE("times to return stay within their bounds") {
  CHECK(rc::check("for random rejections", [] {
    return_schedule Schedule;
    time_point Now = Start;
    for (int Count = 0; Count < 200; ++Count) {
      Now += milliseconds(*rc::gen::inRange(0, 50));
      rejection Rejected;
      Rejected.Wait = milliseconds(*rc::gen::inRange(0, 5000));
      Rejected.Remaining = milliseconds(*rc::gen::inRange(-100, 4000));
      Rejected.ServiceInterval = milliseconds(*rc::gen::inRange(0, 400));
      const duration Return = scheduleReturn(Schedule, Rejected, Now);
      RC_ASSERT(Return >= MinRetryAfter);
      RC_ASSERT(Return <= longestRetryAfter(Rejected));
      RC_ASSERT(longestRetryAfter(Rejected) ==
                std::max<duration>(MinRetryAfter, Rejected.Remaining / 3));
      RC_ASSERT(
          Schedule.NextReturn <=
          Now + longestRetryAfter(Rejected) +
              std::max<duration>(milliseconds(1), Rejected.ServiceInterval));
    }
  }));
}

TEST_CASE("callers rejected together return one service interval apart") {
  CHECK(rc::check("while their remaining time allows it", [] {
    return_schedule Schedule;
    rejection Rejected;
    Rejected.Wait = milliseconds(*rc::gen::inRange(0, 3000));
    Rejected.Remaining = milliseconds(*rc::gen::inRange(1000, 10000));
    Rejected.ServiceInterval = milliseconds(*rc::gen::inRange(1, 20));
    // The first half of the time may pass before there is room.
    const auto Spread =
        (longestRetryAfter(Rejected) -
         std::max<duration>(MinRetryAfter, longestRetryAfter(Rejected) / 2)) /
        Rejected.ServiceInterval;
    duration Last = scheduleReturn(Schedule, Rejected, Start);
    RC_ASSERT(Last >= std::min<duration>(Rejected.Wait,
                                         longestRetryAfter(Rejected) / 2));
    for (std::int64_t Count = 0; Count < Spread; ++Count) {
      const duration Next = scheduleReturn(Schedule, Rejected, Start);
      RC_ASSERT(Next == Last + Rejected.ServiceInterval);
      Last = Next;
    }
  }));
}

TEST_CASE("callers are told the true time if no server takes their request "
          "before its deadline") {
  return_schedule Schedule;
  rejection Rejected;
  Rejected.Wait = seconds(6);
  Rejected.Remaining = seconds(2);
  Rejected.ServersClosedFor = seconds(6);
  Rejected.ServiceInterval = milliseconds(5);
  CHECK(scheduleReturn(Schedule, Rejected, Start) == seconds(6));
  CHECK(scheduleReturn(Schedule, Rejected, Start) ==
        seconds(6) + Rejected.ServiceInterval);
}
