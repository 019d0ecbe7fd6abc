// Replays loads above the capacity of a pool.
#include "load_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

constexpr duration Step = milliseconds(10);
constexpr int ServerCount = 20;
/// Of three slots per server and a mean duration of RequestDuration.
constexpr double CapacityPerSecond = 300;
constexpr duration WarmUp = seconds(5);
/// The last requests end within their deadline.
constexpr duration CoolDown = seconds(3);

/// The requests of one kind of caller.
struct caller_load {
  std::string Account;
  std::uint32_t AccountPriority = 0;
  double Weight = 1;
  double PerSecond = 0;
};

/// What became of the requests of one kind of caller.
struct load_result {
  int Arrived = 0;
  int Served = 0;
  int InTime = 0;
  int Late = 0;
  /// The sums of the times until a response, and until a refusal.
  double ServedSeconds = 0;
  double RefusedSeconds = 0;
  [[nodiscard]] double servedShare() const { return double(Served) / Arrived; }
  [[nodiscard]] double meanServedSeconds() const {
    return ServedSeconds / Served;
  }
  [[nodiscard]] double meanRefusedSeconds() const {
    return RefusedSeconds / (Arrived - Served);
  }
  [[nodiscard]] double inTimeShare() const { return double(InTime) / Arrived; }
};

/// A request as its caller saw it.
struct sent_request {
  std::size_t Kind;
  slot_request Request;
};

/// Varies the durations evenly between half and one and a half times their
/// mean, in a fixed order.
duration variedDuration(std::uint64_t Id) {
  constexpr std::uint64_t Steps = 101;
  constexpr std::uint64_t Stride = 37;
  const double Part = 0.5 + double(Id * Stride % Steps) / (Steps - 1);
  return std::chrono::duration_cast<duration>(RequestDuration * Part);
}

/// Several kinds of callers in front of one pool.
struct overload_simulation {
  load_simulation Pool;
  std::vector<sent_request> Sent;
  std::map<std::size_t, double> Due;

  overload_simulation() {
    setBackends(Pool.State, makeServers(ServerCount), Pool.Now);
  }

  void send(std::size_t Kind, const caller_load &Load) {
    slot_request Request = makeRequest(Pool.NextId++, Pool.Now, true);
    Request.Account = Load.Account;
    Request.AccountPriority = Load.AccountPriority;
    Request.AccountWeight = Load.Weight;
    Pool.Durations[Request.Key.Id] = variedDuration(Request.Key.Id);
    Sent.push_back({Kind, Request});
    Pool.handleAnswer(requestSlot(Pool.State, Request, Pool.Now));
  }

  void advance() {
    Pool.finishDueRequests();
    for (const slot_answer &Answer : processQueue(Pool.State, Pool.Now))
      Pool.handleAnswer(Answer);
  }

  void run(duration Length, const std::vector<caller_load> &Loads) {
    for (const time_point End = Pool.Now + Length; Pool.Now < End;
         Pool.Now += Step) {
      advance();
      for (std::size_t Kind = 0; Kind < Loads.size(); ++Kind)
        for (Due[Kind] += Loads[Kind].PerSecond * toSeconds(Step);
             Due[Kind] >= 1; Due[Kind] -= 1)
          send(Kind, Loads[Kind]);
    }
  }

  /// \returns what became of the requests of \p Kind sent from \p Since until
  /// \p Until.
  [[nodiscard]] load_result result(std::size_t Kind, time_point Since,
                                   time_point Until) const {
    load_result Result;
    for (const sent_request &Each : Sent) {
      const slot_request &Request = Each.Request;
      if (Each.Kind != Kind || Request.RequestedAt < Since ||
          Request.RequestedAt >= Until)
        continue;
      ++Result.Arrived;
      const auto Served = Pool.ServedAt.find(Request.Key.Id);
      const auto Refused = Pool.RefusedAt.find(Request.Key.Id);
      if (Refused != Pool.RefusedAt.end())
        Result.RefusedSeconds +=
            toSeconds(Refused->second - Request.RequestedAt);
      if (Served == Pool.ServedAt.end())
        continue;
      ++Result.Served;
      const bool InTime = Served->second <= Request.Target;
      (InTime ? Result.InTime : Result.Late) += 1;
      Result.ServedSeconds += toSeconds(Served->second - Request.RequestedAt);
    }
    return Result;
  }
};

} // namespace

TEST_CASE("a burst of 1.7 for 3 s on a full pool: most requests that it has "
          "capacity for meet their target") {
  // If requests that can't meet their target any more go first, they delay all
  // others beyond theirs, also after the burst.
  constexpr double Burst = 1.7;
  const auto Load = [](double Share) {
    return std::vector<caller_load>{{"", 0, 1, Share * CapacityPerSecond}};
  };
  overload_simulation Simulation;
  Simulation.run(WarmUp, Load(0.95));
  const time_point BurstStart = Simulation.Pool.Now;
  Simulation.run(seconds(3), Load(Burst));
  const time_point BurstEnd = Simulation.Pool.Now;
  Simulation.run(seconds(3), Load(0.95));
  const time_point End = Simulation.Pool.Now;
  Simulation.run(CoolDown, {});
  const load_result During = Simulation.result(0, BurstStart, BurstEnd);
  const load_result After = Simulation.result(0, BurstEnd, End);
  // By then, the queue is as long as it gets.
  const load_result Full =
      Simulation.result(0, BurstStart + seconds(2), BurstEnd + seconds(1));
  CAPTURE(Full.inTimeShare());
  CHECK(Full.inTimeShare() > 0.6);
  CAPTURE(During.inTimeShare());
  CAPTURE(After.inTimeShare());
  CAPTURE(During.servedShare());
  CAPTURE(After.servedShare());
  CHECK(During.inTimeShare() > 0.6);
  CHECK(After.inTimeShare() > 0.95);
  CHECK(During.servedShare() > 0.55);
}

TEST_CASE("one account with 7.5 times its usual load does not delay the "
          "others of its priority") {
  constexpr std::size_t Accounts = 10;
  constexpr double UsualShare = 0.8;
  constexpr double Overload = 7.5;
  std::vector<caller_load> Loads;
  for (std::size_t Number = 0; Number < Accounts; ++Number) {
    const double PerSecond = UsualShare * CapacityPerSecond / Accounts;
    Loads.push_back(
        {"account-" + std::to_string(Number), 1, PerSecond, PerSecond});
  }
  overload_simulation Simulation;
  Simulation.run(WarmUp, Loads);
  const time_point Start = Simulation.Pool.Now;
  Loads.front().PerSecond *= Overload;
  Simulation.run(seconds(6), Loads);
  const time_point End = Simulation.Pool.Now;
  Simulation.run(CoolDown, {});
  load_result All;
  for (std::size_t Kind = 0; Kind < Accounts; ++Kind) {
    const load_result Result = Simulation.result(Kind, Start, End);
    All.Arrived += Result.Arrived;
    All.Served += Result.Served;
    CAPTURE(Kind);
    CAPTURE(Result.inTimeShare());
    CAPTURE(Result.servedShare());
    CAPTURE(Result.meanServedSeconds());
    if (Kind > 0)
      CHECK(Result.inTimeShare() > 0.97);
    if (Kind > 0)
      CHECK(Result.meanServedSeconds() < 0.4);
  }
  const double Heavy = Simulation.result(0, Start, End).servedShare();
  CHECK(Heavy >= All.servedShare() / 4);
}

TEST_CASE("an account with 7.5 times its usual load on a full pool of many "
          "accounts is served at least a quarter as often as all") {
  // By its weight alone it would be served for 13 of 100 requests.
  constexpr std::size_t Accounts = 50;
  constexpr double Overload = 7.5;
  std::vector<caller_load> Loads;
  for (std::size_t Number = 0; Number < Accounts; ++Number) {
    const double PerSecond = CapacityPerSecond / Accounts;
    Loads.push_back(
        {"account-" + std::to_string(Number), 1, PerSecond, PerSecond});
  }
  overload_simulation Simulation;
  Simulation.run(WarmUp, Loads);
  const time_point Start = Simulation.Pool.Now;
  Loads.front().PerSecond *= Overload;
  Simulation.run(seconds(10), Loads);
  const time_point End = Simulation.Pool.Now;
  Simulation.run(CoolDown, {});
  int Arrived = 0;
  int Served = 0;
  double LeastOthers = 1;
  for (std::size_t Kind = 0; Kind < Accounts; ++Kind) {
    const load_result Result = Simulation.result(Kind, Start, End);
    Arrived += Result.Arrived;
    Served += Result.Served;
    if (Kind > 0)
      LeastOthers = std::min(LeastOthers, Result.servedShare());
  }
  const double All = double(Served) / Arrived;
  const double Heavy = Simulation.result(0, Start, End).servedShare();
  CAPTURE(Heavy);
  CAPTURE(All);
  CAPTURE(LeastOthers);
  CHECK(Heavy >= All / 4);
  CHECK(LeastOthers > 0.85);
}

TEST_CASE("a third of the servers five times slower: the requests that there "
          "is room for meet their target, the others are rejected soon") {
  overload_simulation Simulation;
  const std::vector<caller_load> Load = {{"", 0, 1, 0.9 * CapacityPerSecond}};
  Simulation.run(WarmUp, Load);
  for (int Number = 0; Number < ServerCount; Number += 3)
    Simulation.Pool.Slowdowns["server-" + std::to_string(Number)] = 5;
  const time_point Start = Simulation.Pool.Now;
  Simulation.run(seconds(6), Load);
  const time_point End = Simulation.Pool.Now;
  Simulation.run(CoolDown, {});
  const load_result Result = Simulation.result(0, Start, End);
  CAPTURE(Result.inTimeShare());
  CAPTURE(Result.servedShare());
  CAPTURE(Result.meanRefusedSeconds());
  // Four fifths of the load fit the capacity that is left.
  CHECK(Result.inTimeShare() > 0.75);
  CHECK(Result.meanRefusedSeconds() < 1.2);
}

TEST_CASE("a more urgent kind in overload delays no request of its own kind "
          "for a less urgent one, which uses the capacity left over") {
  overload_simulation Simulation;
  const auto Loads = [](double Urgent) {
    return std::vector<caller_load>{
        {"urgent", 0, 100, Urgent * CapacityPerSecond},
        {"other", 1, 100, 0.5 * CapacityPerSecond}};
  };
  Simulation.run(WarmUp, Loads(0.4));
  const time_point Start = Simulation.Pool.Now;
  Simulation.run(seconds(5), Loads(0.8));
  const time_point End = Simulation.Pool.Now;
  Simulation.run(CoolDown, {});
  const load_result Urgent = Simulation.result(0, Start, End);
  const load_result Other = Simulation.result(1, Start, End);
  CAPTURE(Urgent.inTimeShare());
  CAPTURE(Other.inTimeShare());
  CAPTURE(Other.servedShare());
  CHECK(Urgent.inTimeShare() > 0.97);
  CHECK(Other.servedShare() > 0.25);
}

TEST_CASE("600 requests at once on a pool that serves 300 in a second: the "
          "callers of those rejected do not return together") {
  overload_simulation Simulation;
  Simulation.run(WarmUp, {{"", 0, 1, 0.5 * CapacityPerSecond}});
  Simulation.Pool.RetryAfter.clear();
  for (int Count = 0; Count < 600; ++Count)
    Simulation.send(0, {});
  std::vector<duration> Returns;
  for (const auto &[Id, RetryAfter] : Simulation.Pool.RetryAfter)
    Returns.push_back(RetryAfter);
  REQUIRE(Returns.size() > 100);
  std::ranges::sort(Returns);
  CAPTURE(Returns.size());
  CHECK(Returns.front() >= milliseconds(100));
  CHECK(Returns.back() <= duration(seconds(2)) / 3);
  std::ptrdiff_t MostTogether = 0;
  for (auto First = Returns.begin(); First != Returns.end(); ++First)
    MostTogether =
        std::max(MostTogether, std::upper_bound(First, Returns.end(),
                                                *First + milliseconds(100)) -
                                   First);
  CAPTURE(MostTogether);
  // The callers come back over a third of a second.
  CHECK(double(MostTogether) <= 0.4 * double(Returns.size()));
}
