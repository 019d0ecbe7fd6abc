/// \file
/// Plays a load against one service's allocation in simulated time: backend
/// servers that hang most of their requests for seconds, stragglers, errors,
/// swells. Prints one JSON line with what callers got.
///
/// A tool for weighing placements by many thousand requests a second; the same
/// seed gives the same line.

#include "allocation/slot_allocator.h"

#include "utils/json.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <queue>
#include <random>

DEFINE_int32(servers, 16, "backend servers");
DEFINE_int32(slots, 3, "slots of each");
DEFINE_double(rate, 55, "requests a second");
DEFINE_double(swing, 0.55, "how far the rate swells and ebbs, 0 to 1");
DEFINE_double(work_ms, 200, "mean duration of a request");
DEFINE_double(spread, 0.3, "spread of the durations");
DEFINE_double(safe_share, 0, "share of the requests that may be repeated");
DEFINE_double(sick_share, 0.3, "share of the time that a server is sick");
DEFINE_double(sick_s, 9, "mean length of a sickness, seconds");
DEFINE_double(loss, 0.75, "share of its requests that a sick server hangs");
DEFINE_int32(target_ms, 1000, "when an answer is worth most");
DEFINE_int32(timeout_ms, 2000, "when a request ends");
DEFINE_double(length_s, 32, "length of a run, seconds");
DEFINE_int32(runs, 20, "runs, each with its own seed");
DEFINE_double(at_once, 0.12, "policy");
DEFINE_double(takes_any, 0.35, "policy");
DEFINE_double(crowding, 0.04, "policy");
DEFINE_double(company, 0.1, "policy");
DEFINE_double(proven, 0.15, "policy");
DEFINE_double(hedge_below, 0.35, "policy");
DEFINE_double(cover_safe, 0.85, "policy");
DEFINE_double(cover_any, 0.75, "policy");
DEFINE_int32(cover_age_ms, 1500, "policy");
DEFINE_int32(failure_ms, 2000, "policy");
DEFINE_double(sound_below, 0.9, "policy");
DEFINE_int32(seed, 1, "seed of the first run");

using namespace coriandertray;

namespace {

constexpr double ErrorShare = 0.012;
constexpr double TailShare = 0.03;
constexpr double TailFactor = 7;
constexpr double SwingSeconds = 17;
constexpr duration TurnInterval = milliseconds(10);
constexpr duration WindowLength = seconds(2);
constexpr double FloorShare = 0.7;

struct simulated_server {
  std::string Name;
  bool Sick = false;
  time_point ChangesAt;
  time_point WellSince;
  time_point LastArrival;
  time_point LastFailure;
};

struct totals {
  std::int64_t Asked = 0;
  std::int64_t InTarget = 0;
  std::int64_t Late = 0;
  std::int64_t Refused = 0;
  std::int64_t Failed = 0;
  std::int64_t Inherent = 0;
  std::int64_t Hedges = 0;
  std::int64_t Windows = 0;
  std::int64_t LowByState = 0;
  std::int64_t LowByFailure = 0;
};

/// One request on its course through up to two attempts.
struct simulated_request {
  bool Idempotent = false;
  time_point Start;
  duration Work{0};
  bool Errs = false;
  bool Over = false;
  bool HedgeAsked = false;
  int OpenTries = 0;
  int Sent = 0;
  std::vector<std::string> Tried;
};

using request_pointer = std::shared_ptr<simulated_request>;

class simulation {
public:
  simulation(std::uint32_t Seed, totals &Totals)
      : Random(Seed), Totals(Totals) {
    std::vector<backend_registration> Registered;
    for (int Number = 0; Number < FLAGS_servers; ++Number) {
      simulated_server Server;
      Server.Name = "server-" + std::to_string(Number);
      Server.Sick = chance(FLAGS_sick_share);
      Server.ChangesAt = Now + dwell(Server.Sick);
      Server.WellSince = Now - seconds(10);
      Servers[Server.Name] = Server;
      Registered.push_back({Server.Name,
                            "service",
                            {"10.0.0.1", 80},
                            "a",
                            static_cast<std::uint32_t>(FLAGS_slots),
                            false,
                            {},
                            1});
    }
    placement_policy &P = State.Policy;
    P.InitialMaxCost = FLAGS_at_once;
    P.AcceptAnyAfterShare = FLAGS_takes_any;
    P.UtilizationCost = FLAGS_crowding;
    P.UnprovenInFlightCost = FLAGS_company;
    P.ProvenMaxFailureProbability = FLAGS_proven;
    P.HedgeMaxFailureProbability = FLAGS_hedge_below;
    P.IdempotentCoverageTarget = FLAGS_cover_safe;
    P.NonIdempotentCoverageTarget = FLAGS_cover_any;
    P.CoverageWindow = milliseconds(FLAGS_cover_age_ms);
    P.RecentFailureWindow = milliseconds(FLAGS_failure_ms);
    P.CoverageMaxFailureProbability = FLAGS_sound_below;
    State.RetryLimits = {0.2, seconds(10), 58};
    setBackends(State, Registered, Now);
  }

  void run() {
    const time_point Begin = Now;
    const time_point End =
        Begin + std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(FLAGS_length_s));
    at(Now, [this, Begin, End] { arrive(Begin, End); });
    at(Now, [this, End] { turn(End); });
    at(Now + seconds(4), [this, End] { lookAtFloor(End); });
    while (!Events.empty()) {
      const event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Do();
    }
  }

private:
  struct event {
    time_point At;
    std::uint64_t Order;
    std::function<void()> Do;
    bool operator<(const event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  struct use {
    request_pointer Request;
    std::string Backend;
    time_point Start;
    bool Hangs = false;
    bool IsHedge = false;
    bool Sent = false;
    duration HedgeAfter{0};
  };

  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(Random) < Share;
  }

  duration inSeconds(double Value) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Value));
  }

  duration exponential(double Mean) {
    return inSeconds(std::exponential_distribution<>(1 / Mean)(Random));
  }

  duration dwell(bool Sick) {
    const double WellMean =
        FLAGS_sick_s * (1 - FLAGS_sick_share) / FLAGS_sick_share;
    return exponential(Sick ? FLAGS_sick_s : WellMean);
  }

  duration drawWork() {
    const double Sigma = FLAGS_spread;
    double Ms =
        FLAGS_work_ms / (1 + TailShare * (TailFactor - 1)) *
        std::lognormal_distribution<>(-Sigma * Sigma / 2, Sigma)(Random);
    if (chance(TailShare))
      Ms *= TailFactor;
    return inSeconds(Ms / 1000);
  }

  void at(time_point When, std::function<void()> Do) {
    Events.push({When, NextOrder++, std::move(Do)});
  }

  simulated_server &server(const std::string &Name) {
    simulated_server &Server = Servers[Name];
    while (Now >= Server.ChangesAt) {
      Server.Sick = !Server.Sick;
      if (!Server.Sick)
        Server.WellSince = Server.ChangesAt;
      Server.ChangesAt += dwell(Server.Sick);
    }
    return Server;
  }

  void arrive(time_point Begin, time_point End) {
    if (Now >= End)
      return;
    auto Request = std::make_shared<simulated_request>();
    Request->Idempotent = chance(FLAGS_safe_share);
    Request->Start = Now;
    Request->Work = drawWork();
    Request->Errs = chance(ErrorShare);
    ++Totals.Asked;
    if (Request->Errs || Request->Work > milliseconds(FLAGS_timeout_ms))
      ++Totals.Inherent;
    at(Now + milliseconds(FLAGS_timeout_ms),
       [this, Request] { conclude(Request, "timeout"); });
    ask(Request, retry_reason::None);
    const double Phase = toSeconds(Now - Begin) / SwingSeconds * 6.2832;
    const double Rate = FLAGS_rate * (1 + FLAGS_swing * std::sin(Phase));
    at(Now + exponential(1 / Rate), [this, Begin, End] { arrive(Begin, End); });
  }

  void ask(const request_pointer &Request, retry_reason Repeat) {
    slot_request Wanted;
    Wanted.Key = {"host", NextId++};
    Wanted.Zone = "a";
    Wanted.RequestClass = "work";
    Wanted.Idempotent = Request->Idempotent;
    Wanted.RequestedAt = Now;
    Wanted.Target = Request->Start + milliseconds(FLAGS_target_ms);
    Wanted.Deadline = Request->Start + milliseconds(FLAGS_timeout_ms);
    Wanted.RetryReason = Repeat;
    Wanted.Tried = Request->Tried;
    Uses[Wanted.Key.Id] = {
        Request, {}, {}, false, Repeat == retry_reason::Hedge};
    ++Request->OpenTries;
    take(requestSlot(State, Wanted, Now));
  }

  void take(const slot_answer &Answer) {
    if (Answer.Verdict == slot_verdict::Queued)
      return;
    const auto Found = Uses.find(Answer.Key.Id);
    if (Found == Uses.end()) {
      if (Answer.Verdict == slot_verdict::Granted)
        releaseSlot(State, {Answer.Key, slot_outcome::NotUsed, {}}, Now);
      return;
    }
    use &Use = Found->second;
    const request_pointer Request = Use.Request;
    if (Answer.Verdict == slot_verdict::Refused) {
      const bool WasHedge = Use.IsHedge;
      Uses.erase(Found);
      --Request->OpenTries;
      if (Request->OpenTries == 0)
        conclude(Request, WasHedge || Request->Sent > 0 ? "failed" : "refused");
      return;
    }
    simulated_server &Server = server(Answer.Backend);
    Use.Backend = Answer.Backend;
    Use.Start = Now;
    Use.Sent = true;
    Use.Hangs = Server.Sick && chance(FLAGS_loss);
    Server.LastArrival = Now;
    Request->Tried.push_back(Answer.Backend);
    ++Request->Sent;
    Totals.Hedges += Use.IsHedge ? 1 : 0;
    const std::uint64_t Id = Answer.Key.Id;
    if (!Use.Hangs)
      at(Now + Request->Work, [this, Id] { finish(Id); });
    if (Request->Idempotent && Request->Sent == 1)
      at(Now + Answer.HedgeAfter, [this, Request] { hedge(Request); });
  }

  void hedge(const request_pointer &Request) {
    if (Request->Over || Request->Sent != 1 || Request->HedgeAsked)
      return;
    Request->HedgeAsked = true;
    ask(Request, retry_reason::Hedge);
  }

  void finish(std::uint64_t Id) {
    const auto Found = Uses.find(Id);
    if (Found == Uses.end())
      return;
    const use Use = Found->second;
    Uses.erase(Found);
    const request_pointer Request = Use.Request;
    --Request->OpenTries;
    const bool Errs = Request->Errs;
    if (Errs)
      server(Use.Backend).LastFailure = Now;
    releaseSlot(State,
                {{"host", Id},
                 Errs ? slot_outcome::Failed : slot_outcome::Succeeded,
                 Now - Use.Start},
                Now);
    if (!Errs)
      conclude(Request, "served");
    else if (Request->Idempotent && Request->Sent < 2)
      ask(Request, retry_reason::Failed);
    else if (Request->OpenTries == 0)
      conclude(Request, "failed");
    serveWaiting();
  }

  void conclude(const request_pointer &Request, const std::string &How) {
    if (std::exchange(Request->Over, true))
      return;
    const bool InTarget = Now <= Request->Start + milliseconds(FLAGS_target_ms);
    if (How == "served")
      ++(InTarget ? Totals.InTarget : Totals.Late);
    else if (How == "refused" || Request->Sent == 0)
      ++Totals.Refused;
    else
      ++Totals.Failed;
    std::vector<std::uint64_t> Left;
    for (const auto &[Id, Use] : Uses)
      if (Use.Request == Request)
        Left.push_back(Id);
    for (const std::uint64_t Id : Left) {
      const use Use = Uses[Id];
      Uses.erase(Id);
      const slot_outcome Outcome =
          Use.Sent ? slot_outcome::Silent : slot_outcome::NotUsed;
      if (Use.Hangs)
        server(Use.Backend).LastFailure = Now;
      releaseSlot(
          State,
          {{"host", Id}, Outcome, Use.Sent ? Now - Use.Start : duration(0)},
          Now);
    }
    if (!Left.empty())
      serveWaiting();
  }

  void serveWaiting() {
    for (const slot_answer &Answer : processQueue(State, Now))
      take(Answer);
    (void)takeSuspicionChanges(State, Now);
  }

  void turn(time_point End) {
    serveWaiting();
    if (Now < End + seconds(3))
      at(Now + TurnInterval, [this, End] { turn(End); });
  }

  // Of the servers that are sound, which got a request in the window?
  void lookAtFloor(time_point End) {
    int SoundByState = 0;
    int UsedByState = 0;
    int SoundByFailure = 0;
    int UsedByFailure = 0;
    for (auto &[Name, Unused] : Servers) {
      const simulated_server &Server = server(Name);
      const bool Used = Now - Server.LastArrival <= WindowLength;
      if (!Server.Sick && Now - Server.WellSince > 2 * WindowLength) {
        ++SoundByState;
        UsedByState += Used ? 1 : 0;
      }
      if (Now - Server.LastFailure > 2 * WindowLength) {
        ++SoundByFailure;
        UsedByFailure += Used ? 1 : 0;
      }
    }
    ++Totals.Windows;
    Totals.LowByState += UsedByState < FloorShare * SoundByState ? 1 : 0;
    Totals.LowByFailure += UsedByFailure < FloorShare * SoundByFailure ? 1 : 0;
    if (Now < End)
      at(Now + milliseconds(250), [this, End] { lookAtFloor(End); });
  }

  std::mt19937 Random;
  totals &Totals;
  slot_allocator State;
  time_point Now{std::chrono::hours(1)};
  std::map<std::string, simulated_server> Servers;
  std::map<std::uint64_t, use> Uses;
  std::uint64_t NextId = 1;
  std::uint64_t NextOrder = 0;
  std::priority_queue<event> Events;
};

double share(std::int64_t Part, std::int64_t Whole) {
  const double Value = static_cast<double>(Part) /
                       static_cast<double>(std::max<std::int64_t>(1, Whole));
  return std::round(Value * 10'000) / 10'000;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  totals Totals;
  const auto Begin = std::chrono::steady_clock::now();
  for (int Run = 0; Run < FLAGS_runs; ++Run)
    simulation(static_cast<std::uint32_t>(FLAGS_seed + Run), Totals).run();
  const duration Taken = std::chrono::steady_clock::now() - Begin;
  const json::object Line = {
      {"asked", Totals.Asked},
      {"in_target", share(Totals.InTarget, Totals.Asked)},
      {"late", share(Totals.Late, Totals.Asked)},
      {"refused", share(Totals.Refused, Totals.Asked)},
      {"failed", share(Totals.Failed, Totals.Asked)},
      {"inherent", share(Totals.Inherent, Totals.Asked)},
      {"hedges", share(Totals.Hedges, Totals.Asked)},
      {"floor_low_by_state", share(Totals.LowByState, Totals.Windows)},
      {"floor_low_by_failure", share(Totals.LowByFailure, Totals.Windows)},
      {"us_a_request", std::round(toMilliseconds(Taken) * 1000 /
                                  static_cast<double>(std::max<std::int64_t>(
                                      1, Totals.Asked)))}};
  std::cout << json::serialize(Line) << "\n";
}
