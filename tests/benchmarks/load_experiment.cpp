/// \file
/// Simulates a load on the allocator of one service, with faulty backend
/// servers that hang most of their requests for seconds, stragglers, errors and
/// a varying request rate. Prints the results as one JSON line.
///
/// Compares placement policies over many thousand requests per second of run
/// time. Apart from the measured time (us_a_request), the same seed gives the
/// same line.

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
DEFINE_int32(slots, 3, "slots of each backend server");
DEFINE_double(rate, 55, "mean request rate per second");
DEFINE_double(swing, 0.55, "amplitude of the rate as a share of it, 0 to 1");
DEFINE_double(work_ms, 200, "mean service time, milliseconds");
DEFINE_double(spread, 0.3, "sigma of the lognormal service times");
DEFINE_double(safe_share, 0, "share of idempotent requests");
DEFINE_double(sick_share, 0.3, "share of the time that a server is faulty");
DEFINE_double(sick_s, 9, "mean duration of a fault, seconds");
DEFINE_double(loss, 0.75, "share of the requests that hang at a faulty server");
DEFINE_int32(target_ms, 1000, "target latency, milliseconds");
DEFINE_int32(timeout_ms, 2000, "request timeout, milliseconds");
DEFINE_double(length_s, 32, "duration of a run, seconds");
DEFINE_int32(runs, 20, "runs, each with its own seed");
// The flags up to sound_below set the placement_policy.
DEFINE_double(at_once, 0.12, "cost accepted without waiting");
DEFINE_double(
    takes_any, 0.35,
    "share of the time to the target after which any cost is accepted");
DEFINE_double(crowding, 0.04, "cost of a server whose slots are all in use");
DEFINE_double(company, 0.1, "cost per request in flight at an unproven server");
DEFINE_double(proven, 0.15, "loss probability below which a server is proven");
DEFINE_double(hedge_below, 0.35,
              "loss probability below which a server may get a hedge");
DEFINE_double(
    cover_safe, 0.85,
    "share of the healthy servers to keep in use by idempotent requests");
DEFINE_double(cover_any, 0.75,
              "share of the healthy servers to keep in use by any request");
DEFINE_int32(
    cover_age_ms, 1500,
    "time after a request in which a server counts as in use, milliseconds");
DEFINE_int32(failure_ms, 2000,
             "time after a failure in which a server does not count as "
             "healthy, milliseconds");
DEFINE_double(sound_below, 0.9,
              "loss probability below which a server counts as healthy");
DEFINE_int32(seed, 1, "seed of the first run");

using namespace coriandertray;

namespace {

/// Share of the requests that fail at every backend server.
constexpr double FailureShare = 0.012;
/// Stragglers take StragglerFactor times as long as other requests.
constexpr double StragglerShare = 0.03;
constexpr double StragglerFactor = 7;
constexpr double LoadPeriodSeconds = 17;
constexpr duration TickInterval = milliseconds(10);
/// A server that got a request this recently counts as used.
constexpr duration WindowLength = seconds(2);
/// Share of the healthy servers that must be in use.
constexpr double FloorShare = 0.7;

struct simulated_server {
  std::string Name;
  bool Faulty = false;
  /// When the server turns faulty or healthy again.
  time_point ChangesAt;
  time_point HealthySince;
  time_point LastArrival;
  time_point LastFailure;
};

/// Counts over all runs.
struct totals {
  std::int64_t Requests = 0;
  std::int64_t InTarget = 0;
  std::int64_t Late = 0;
  std::int64_t Refused = 0;
  std::int64_t Failed = 0;
  /// Requests that fail at every server or take longer than the timeout.
  std::int64_t Unavoidable = 0;
  std::int64_t Hedges = 0;
  std::int64_t FloorSamples = 0;
  /// Samples in which fewer healthy servers than FloorShare were in use.
  /// Healthy by state means not faulty for two windows; by failure, that no
  /// request failed or hung at the server in the last two windows.
  std::int64_t BelowFloorByState = 0;
  std::int64_t BelowFloorByFailure = 0;
};

/// A request with its attempts.
struct simulated_request {
  bool Idempotent = false;
  time_point Start;
  duration Work{0};
  bool Fails = false;
  bool Concluded = false;
  bool HedgeRequested = false;
  int OpenAttempts = 0;
  int SentAttempts = 0;
  std::vector<std::string> TriedBackends;
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
      Server.Faulty = chance(FLAGS_sick_share);
      Server.ChangesAt = Now + drawStateDuration(Server.Faulty);
      Server.HealthySince = Now - seconds(10);
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
    placement_policy &Policy = State.Policy;
    Policy.InitialMaxCost = FLAGS_at_once;
    Policy.AcceptAnyAfterShare = FLAGS_takes_any;
    Policy.UtilizationCost = FLAGS_crowding;
    Policy.UnprovenInFlightCost = FLAGS_company;
    Policy.ProvenMaxFailureProbability = FLAGS_proven;
    Policy.HedgeMaxFailureProbability = FLAGS_hedge_below;
    Policy.IdempotentCoverageTarget = FLAGS_cover_safe;
    Policy.NonIdempotentCoverageTarget = FLAGS_cover_any;
    Policy.CoverageWindow = milliseconds(FLAGS_cover_age_ms);
    Policy.RecentFailureWindow = milliseconds(FLAGS_failure_ms);
    Policy.CoverageMaxFailureProbability = FLAGS_sound_below;
    State.RetryLimits = {0.2, seconds(10), 58};
    setBackends(State, Registered, Now);
  }

  void run() {
    const time_point Begin = Now;
    const time_point End =
        Begin + std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(FLAGS_length_s));
    at(Now, [this, Begin, End] { arrive(Begin, End); });
    at(Now, [this, End] { tick(End); });
    at(Now + seconds(4), [this, End] { sampleFloor(End); });
    while (!Events.empty()) {
      const event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
  }

private:
  struct event {
    time_point At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  struct simulated_attempt {
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

  duration toDuration(double Value) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Value));
  }

  duration exponential(double Mean) {
    return toDuration(std::exponential_distribution<>(1 / Mean)(Random));
  }

  /// \returns a random duration of a fault, or of the time between two.
  duration drawStateDuration(bool Faulty) {
    const double HealthyMean =
        FLAGS_sick_s * (1 - FLAGS_sick_share) / FLAGS_sick_share;
    return exponential(Faulty ? FLAGS_sick_s : HealthyMean);
  }

  duration drawWork() {
    const double Sigma = FLAGS_spread;
    double Ms =
        FLAGS_work_ms / (1 + StragglerShare * (StragglerFactor - 1)) *
        std::lognormal_distribution<>(-Sigma * Sigma / 2, Sigma)(Random);
    if (chance(StragglerShare))
      Ms *= StragglerFactor;
    return toDuration(Ms / 1000);
  }

  /// Schedules \p Action in simulated time.
  void at(time_point When, std::function<void()> Action) {
    Events.push({When, NextOrder++, std::move(Action)});
  }

  /// \returns a server with its faults up to the current time applied.
  simulated_server &server(const std::string &Name) {
    simulated_server &Server = Servers[Name];
    while (Now >= Server.ChangesAt) {
      Server.Faulty = !Server.Faulty;
      if (!Server.Faulty)
        Server.HealthySince = Server.ChangesAt;
      Server.ChangesAt += drawStateDuration(Server.Faulty);
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
    Request->Fails = chance(FailureShare);
    ++Totals.Requests;
    if (Request->Fails || Request->Work > milliseconds(FLAGS_timeout_ms))
      ++Totals.Unavoidable;
    at(Now + milliseconds(FLAGS_timeout_ms),
       [this, Request] { conclude(Request, "timeout"); });
    askForSlot(Request, retry_reason::None);
    const double Phase = toSeconds(Now - Begin) / LoadPeriodSeconds * 6.2832;
    const double Rate = FLAGS_rate * (1 + FLAGS_swing * std::sin(Phase));
    at(Now + exponential(1 / Rate), [this, Begin, End] { arrive(Begin, End); });
  }

  void askForSlot(const request_pointer &Request, retry_reason Repeat) {
    slot_request SlotRequest;
    SlotRequest.Key = {"host", NextId++};
    SlotRequest.Zone = "a";
    SlotRequest.RequestClass = "work";
    SlotRequest.Idempotent = Request->Idempotent;
    SlotRequest.RequestedAt = Now;
    SlotRequest.Target = Request->Start + milliseconds(FLAGS_target_ms);
    SlotRequest.Deadline = Request->Start + milliseconds(FLAGS_timeout_ms);
    SlotRequest.RetryReason = Repeat;
    SlotRequest.Tried = Request->TriedBackends;
    Attempts[SlotRequest.Key.Id] = {
        Request, {}, {}, false, Repeat == retry_reason::Hedge};
    ++Request->OpenAttempts;
    handleAnswer(requestSlot(State, SlotRequest, Now));
  }

  void handleAnswer(const slot_answer &Answer) {
    if (Answer.Verdict == slot_verdict::Queued)
      return;
    const auto Found = Attempts.find(Answer.Key.Id);
    if (Found == Attempts.end()) {
      if (Answer.Verdict == slot_verdict::Granted)
        releaseSlot(State, {Answer.Key, slot_outcome::NotUsed, {}}, Now);
      return;
    }
    simulated_attempt &Attempt = Found->second;
    const request_pointer Request = Attempt.Request;
    if (Answer.Verdict == slot_verdict::Refused) {
      const bool WasHedge = Attempt.IsHedge;
      Attempts.erase(Found);
      --Request->OpenAttempts;
      if (Request->OpenAttempts == 0)
        conclude(Request,
                 WasHedge || Request->SentAttempts > 0 ? "failed" : "refused");
      return;
    }
    simulated_server &Server = server(Answer.Backend);
    Attempt.Backend = Answer.Backend;
    Attempt.Start = Now;
    Attempt.Sent = true;
    Attempt.Hangs = Server.Faulty && chance(FLAGS_loss);
    Server.LastArrival = Now;
    Request->TriedBackends.push_back(Answer.Backend);
    ++Request->SentAttempts;
    Totals.Hedges += Attempt.IsHedge ? 1 : 0;
    const std::uint64_t Id = Answer.Key.Id;
    if (!Attempt.Hangs)
      at(Now + Request->Work, [this, Id] { finishAttempt(Id); });
    if (Request->Idempotent && Request->SentAttempts == 1)
      at(Now + Answer.HedgeAfter, [this, Request] { hedge(Request); });
  }

  void hedge(const request_pointer &Request) {
    if (Request->Concluded || Request->SentAttempts != 1 ||
        Request->HedgeRequested)
      return;
    Request->HedgeRequested = true;
    askForSlot(Request, retry_reason::Hedge);
  }

  void finishAttempt(std::uint64_t Id) {
    const auto Found = Attempts.find(Id);
    if (Found == Attempts.end())
      return;
    const simulated_attempt Attempt = Found->second;
    Attempts.erase(Found);
    const request_pointer Request = Attempt.Request;
    --Request->OpenAttempts;
    const bool Fails = Request->Fails;
    if (Fails)
      server(Attempt.Backend).LastFailure = Now;
    releaseSlot(State,
                {{"host", Id},
                 Fails ? slot_outcome::Failed : slot_outcome::Succeeded,
                 Now - Attempt.Start},
                Now);
    if (!Fails)
      conclude(Request, "served");
    else if (Request->Idempotent && Request->SentAttempts < 2)
      askForSlot(Request, retry_reason::Failed);
    else if (Request->OpenAttempts == 0)
      conclude(Request, "failed");
    advanceAllocation();
  }

  /// Ends a request as served, failed, refused or by timeout, and the slots of
  /// its open attempts.
  void conclude(const request_pointer &Request, const std::string &Result) {
    if (std::exchange(Request->Concluded, true))
      return;
    const bool InTarget = Now <= Request->Start + milliseconds(FLAGS_target_ms);
    if (Result == "served")
      ++(InTarget ? Totals.InTarget : Totals.Late);
    else if (Result == "refused" || Request->SentAttempts == 0)
      ++Totals.Refused;
    else
      ++Totals.Failed;
    std::vector<std::uint64_t> OpenIds;
    for (const auto &[Id, Attempt] : Attempts)
      if (Attempt.Request == Request)
        OpenIds.push_back(Id);
    for (const std::uint64_t Id : OpenIds) {
      const simulated_attempt Attempt = Attempts[Id];
      Attempts.erase(Id);
      const slot_outcome Outcome =
          Attempt.Sent ? slot_outcome::Silent : slot_outcome::NotUsed;
      if (Attempt.Hangs)
        server(Attempt.Backend).LastFailure = Now;
      releaseSlot(State,
                  {{"host", Id},
                   Outcome,
                   Attempt.Sent ? Now - Attempt.Start : duration(0)},
                  Now);
    }
    if (!OpenIds.empty())
      advanceAllocation();
  }

  void advanceAllocation() {
    for (const slot_answer &Answer : processQueue(State, Now))
      handleAnswer(Answer);
    (void)takeSuspicionChanges(State, Now);
  }

  void tick(time_point End) {
    advanceAllocation();
    if (Now < End + seconds(3))
      at(Now + TickInterval, [this, End] { tick(End); });
  }

  // Samples how many of the healthy servers got a request in the last window.
  void sampleFloor(time_point End) {
    int HealthyByState = 0;
    int UsedByState = 0;
    int HealthyByFailure = 0;
    int UsedByFailure = 0;
    for (auto &[Name, Unused] : Servers) {
      const simulated_server &Server = server(Name);
      const bool Used = Now - Server.LastArrival <= WindowLength;
      if (!Server.Faulty && Now - Server.HealthySince > 2 * WindowLength) {
        ++HealthyByState;
        UsedByState += Used ? 1 : 0;
      }
      if (Now - Server.LastFailure > 2 * WindowLength) {
        ++HealthyByFailure;
        UsedByFailure += Used ? 1 : 0;
      }
    }
    ++Totals.FloorSamples;
    Totals.BelowFloorByState +=
        UsedByState < FloorShare * HealthyByState ? 1 : 0;
    Totals.BelowFloorByFailure +=
        UsedByFailure < FloorShare * HealthyByFailure ? 1 : 0;
    if (Now < End)
      at(Now + milliseconds(250), [this, End] { sampleFloor(End); });
  }

  std::mt19937 Random;
  totals &Totals;
  slot_allocator State;
  time_point Now{std::chrono::hours(1)};
  std::map<std::string, simulated_server> Servers;
  std::map<std::uint64_t, simulated_attempt> Attempts;
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
      {"asked", Totals.Requests},
      {"in_target", share(Totals.InTarget, Totals.Requests)},
      {"late", share(Totals.Late, Totals.Requests)},
      {"refused", share(Totals.Refused, Totals.Requests)},
      {"failed", share(Totals.Failed, Totals.Requests)},
      {"inherent", share(Totals.Unavoidable, Totals.Requests)},
      {"hedges", share(Totals.Hedges, Totals.Requests)},
      {"floor_low_by_state",
       share(Totals.BelowFloorByState, Totals.FloorSamples)},
      {"floor_low_by_failure",
       share(Totals.BelowFloorByFailure, Totals.FloorSamples)},
      {"us_a_request", std::round(toMilliseconds(Taken) * 1000 /
                                  static_cast<double>(std::max<std::int64_t>(
                                      1, Totals.Requests)))}};
  std::cout << json::serialize(Line) << "\n";
}
