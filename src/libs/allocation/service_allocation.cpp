#include "allocation/service_allocation.h"

#include <algorithm>
#include <ranges>

namespace coriandertray {

namespace {

// The share of servers taken to be sick while nothing is known, at least and
// at most.
constexpr double LeastUsualSick = 0.05;
constexpr double MostUsualSick = 0.4;
constexpr double SuspectedAt = 0.5;
constexpr double TrustedBelow = 0.3;
// Costs of a placement, in parts of the worth of a lost request.
constexpr double LossOfUnrepeatable = 0.75;
constexpr double LossOfRepeatable = 0.35;
constexpr double OtherZoneCost = 0.01;
constexpr double CrowdingCost = 0.04;
constexpr double WarmUpCost = 0.15;
constexpr double UnprovenCompanyCost = 0.1;
constexpr double ProvenBelow = 0.15;
// A request takes a place of this cost at once; the bound rises while it waits
// until it takes any place at this part of its time to the target.
constexpr double CostAtOnce = 0.12;
constexpr double TakesAnyAfter = 0.35;
constexpr double HedgeProbability = 0.35;
constexpr double HedgeQuantile = 0.9;
constexpr double HedgeReserve = 0.3;
constexpr duration FullPause = milliseconds(60);
constexpr std::uint32_t MostFullStreak = 5;
// A server that joins is given a request within this time of being warm.
constexpr duration JoinPatience = milliseconds(800);
constexpr duration WarmUpPatience = milliseconds(2500);
// While more than this share of the requests goes unserved, every server that
// may be well is tried again after a pause, so that the floor is kept.
constexpr duration EndMemory = seconds(2);
constexpr double UnservedShare = 0.07;
constexpr std::size_t LeastEnds = 10;
constexpr duration CoveragePause = milliseconds(1200);
// So many of the servers believed well get work all the time: what fails next
// may be what carries the rest.
constexpr double CoveredShare = 0.8;
constexpr double CoverageBonus = 1.0;
// A use whose end nobody told of is forgotten so long after its deadline.
constexpr duration OrphanAge = milliseconds(1500);
// Kinds of work remembered for one service.
constexpr std::size_t MostProfiles = 512;
constexpr double LateAdmission = 0.5;
constexpr duration LeastRetryAfter = milliseconds(100);

bool holds(const std::vector<std::string> &Names, const std::string &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

work_profile &profileOf(service_allocation &State,
                        const slot_request &Request) {
  const auto Found = State.Profiles.find(Request.Work);
  if (Found != State.Profiles.end())
    return Found->second;
  if (State.Profiles.size() >= MostProfiles)
    State.Profiles.clear();
  return State.Profiles
      .emplace(Request.Work, makeWorkProfile(Request.Target - Request.Asked))
      .first->second;
}

bool takesWork(const backend_record &Backend) {
  return !Backend.Registration.Draining && !Backend.Misdirected;
}

// The share of servers that look sick, drawn towards a middling one while
// there are few.
double usualLogOdds(const service_allocation &State) {
  constexpr double AssumedSick = 2;
  constexpr double AssumedServers = 8;
  double Sick = AssumedSick;
  double Known = AssumedServers;
  for (const auto &[Name, Backend] : State.Backends) {
    Sick += Backend.Suspected ? 1 : 0;
    Known += 1;
  }
  return logOddsOf(std::clamp(Sick / Known, LeastUsualSick, MostUsualSick));
}

double survivalOf(const service_allocation &State, const slot_use &Use,
                  duration Age) {
  const auto Profile = State.Profiles.find(Use.Work);
  return Profile == State.Profiles.end() ? 1 : survivalAt(Profile->second, Age);
}

double probabilityAt(const service_allocation &State,
                     const backend_record &Backend, double Usual,
                     time_point Now) {
  double LogOdds = fadedLogOdds(Backend.Belief, Usual, Now);
  for (const slot_use &Use : Backend.Uses)
    LogOdds += silenceWeight(survivalOf(State, Use, Now - Use.Start));
  return probabilityOf(LogOdds);
}

void forgetOrphans(service_allocation &State, time_point Now) {
  for (auto &[Name, Backend] : State.Backends)
    std::erase_if(Backend.Uses, [Now](const slot_use &Use) {
      return Now > Use.Deadline + OrphanAge;
    });
}

void noteEnd(service_allocation &State, bool Served, time_point Now) {
  State.RecentEnds.emplace_back(Now, Served);
  while (!State.RecentEnds.empty() &&
         Now - State.RecentEnds.front().first > EndMemory)
    State.RecentEnds.pop_front();
}

bool manyUnserved(const service_allocation &State) {
  const auto Unserved = std::ranges::count(
      State.RecentEnds, false, &std::pair<time_point, bool>::second);
  return State.RecentEnds.size() >= LeastEnds &&
         static_cast<double>(Unserved) >
             UnservedShare * static_cast<double>(State.RecentEnds.size());
}

// Whether too few of the servers believed well were given work lately.
bool fewCovered(const service_allocation &State, time_point Now) {
  double Well = 0;
  double Covered = 0;
  for (const auto &[Name, Backend] : State.Backends) {
    if (!takesWork(Backend) || Backend.Suspected)
      continue;
    Well += 1;
    Covered += Now - Backend.LastGranted <= CoveragePause ? 1 : 0;
  }
  return Covered < CoveredShare * Well;
}

/// Which servers are to be used although others are cheaper.
struct coverage_need {
  bool AmongWell = false;
  bool AmongAll = false;
};

bool mustBeUsed(const backend_record &Backend, const slot_request &Request,
                time_point Now) {
  if (!Backend.AwaitsFirstUse || !Backend.Uses.empty())
    return false;
  const time_point Ready = std::min(std::max(Backend.JoinedAt, Backend.WarmAt),
                                    Backend.JoinedAt + WarmUpPatience);
  return Now >= Ready && (Request.Idempotent || Now >= Ready + JoinPatience);
}

struct priced_backend {
  backend_record *Backend = nullptr;
  double Cost = 0;
  double Probability = 1;
};

priced_backend priceOf(const service_allocation &State, backend_record &Backend,
                       const slot_request &Request, double Usual,
                       coverage_need Need, time_point Now) {
  const double Probability = probabilityAt(State, Backend, Usual, Now);
  const auto Uses = static_cast<double>(Backend.Uses.size());
  double Cost = Probability *
                (Request.Idempotent ? LossOfRepeatable : LossOfUnrepeatable);
  if (Backend.Registration.Zone != Request.Zone)
    Cost += OtherZoneCost;
  Cost += CrowdingCost * Uses / Backend.Registration.Slots;
  if (Probability > ProvenBelow)
    Cost += UnprovenCompanyCost * Uses;
  if (Now < Backend.WarmAt)
    Cost += WarmUpCost;
  const bool Wanted =
      Need.AmongAll || (Need.AmongWell && Probability < SuspectedAt);
  const bool Uncovered = Wanted && Backend.Uses.empty() &&
                         Now - Backend.LastGranted > CoveragePause;
  if (mustBeUsed(Backend, Request, Now) || Uncovered)
    Cost -= CoverageBonus;
  return {&Backend, Cost, Probability};
}

bool mayTake(const backend_record &Backend, const slot_request &Request,
             time_point Now) {
  return takesWork(Backend) && Now >= Backend.FullUntil &&
         Backend.Uses.size() < Backend.Registration.Slots &&
         !holds(Request.Tried, Backend.Registration.Name) &&
         !holds(Request.Unreachable, Backend.Registration.Name);
}

std::optional<priced_backend> cheapest(service_allocation &State,
                                       const slot_request &Request,
                                       time_point Now) {
  const double Usual = usualLogOdds(State);
  const coverage_need Need = {fewCovered(State, Now), manyUnserved(State)};
  std::optional<priced_backend> Best;
  for (auto &[Name, Backend] : State.Backends) {
    if (!mayTake(Backend, Request, Now))
      continue;
    const priced_backend Priced =
        priceOf(State, Backend, Request, Usual, Need, Now);
    if (!Best || Priced.Cost < Best->Cost)
      Best = Priced;
  }
  return Best;
}

double acceptedCost(const slot_request &Request, time_point Now) {
  const double Time =
      std::max(1.0, toMilliseconds(Request.Target - Request.Asked));
  const double Waited = toMilliseconds(Now - Request.Asked) / Time;
  // Slowly at first: a slot of a proven server falls free soon.
  const double Part = std::max(0.0, Waited) / TakesAnyAfter;
  return CostAtOnce + Part * Part;
}

slot_answer grant(service_allocation &State, backend_record &Backend,
                  const slot_request &Request, time_point Now) {
  Backend.Uses.push_back({Request.Key, Request.Work, Now, Request.Deadline,
                          Backend.AwaitsFirstUse});
  Backend.LastGranted = Now;
  Backend.AwaitsFirstUse = false;
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Verdict = slot_verdict::Granted;
  Answer.Backend = Backend.Registration.Name;
  Answer.Address = Backend.Registration.Address;
  Answer.HedgeAfter = workQuantile(profileOf(State, Request), HedgeQuantile);
  return Answer;
}

slot_answer refusal(const slot_request &Request, std::string Reason,
                    duration RetryAfter) {
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Reason = std::move(Reason);
  Answer.RetryAfter = std::max<duration>(RetryAfter, LeastRetryAfter);
  return Answer;
}

// How long until a slot falls free for a request behind those of its urgency.
duration expectedWait(service_allocation &State, const slot_request &Request,
                      time_point Now) {
  const double Usual = usualLogOdds(State);
  double Slots = 0;
  std::ptrdiff_t Free = 0;
  for (const auto &[Name, Backend] : State.Backends) {
    if (mayTake(Backend, Request, Now))
      Free += static_cast<std::ptrdiff_t>(Backend.Registration.Slots -
                                          Backend.Uses.size());
    if (takesWork(Backend))
      Slots += Backend.Registration.Slots *
               (1 - probabilityAt(State, Backend, Usual, Now));
  }
  const auto Ahead = std::ranges::count_if(
      State.Waiting, [&Request](const slot_request &Other) {
        return Other.Priority <= Request.Priority;
      });
  // Those who wait for a better server take a doubtful one in the end.
  if (Ahead < Free)
    return duration::zero();
  const duration Work = medianWork(profileOf(State, Request));
  constexpr double MeanOverMedian = 1.3;
  const double Turns =
      static_cast<double>(Ahead + 1) / std::max(1.0, Slots) * MeanOverMedian;
  return std::chrono::duration_cast<duration>(Work * Turns);
}

time_point latestEnd(const slot_request &Request) {
  return Request.Target +
         std::chrono::duration_cast<duration>(
             (Request.Deadline - Request.Target) * LateAdmission);
}

std::optional<slot_answer> tryGrant(service_allocation &State,
                                    const slot_request &Request,
                                    time_point Now) {
  const std::optional<priced_backend> Best = cheapest(State, Request, Now);
  if (!Best || Best->Cost > acceptedCost(Request, Now))
    return std::nullopt;
  return grant(State, *Best->Backend, Request, Now);
}

slot_answer askHedge(service_allocation &State, const slot_request &Request,
                     time_point Now) {
  const std::optional<priced_backend> Best = cheapest(State, Request, Now);
  if (!Best || Best->Probability > HedgeProbability)
    return refusal(Request, "no-proven-server", {});
  if (!takeRepeat(State.RetryWindow, State.Retries, HedgeReserve, Now))
    return refusal(Request, "retry-budget", {});
  return grant(State, *Best->Backend, Request, Now);
}

bool comesBefore(const slot_request &Left, const slot_request &Right) {
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  return Left.Target < Right.Target;
}

void forgetWaiting(service_allocation &State, const slot_key &Key) {
  std::erase_if(State.Waiting, [&Key](const slot_request &Request) {
    return Request.Key == Key;
  });
}

// The first request of a server that joined did not arrive there.
void awaitFirstUseAgain(backend_record &Backend, const slot_use &Use,
                        time_point Now) {
  if (!Use.IsFirst)
    return;
  Backend.AwaitsFirstUse = true;
  Backend.JoinedAt = std::max(Backend.JoinedAt, Now - JoinPatience);
}

void noteOutcome(service_allocation &State, backend_record &Backend,
                 const slot_use &Use, const slot_end &End, time_point Now) {
  const double Usual = usualLogOdds(State);
  const double Survival = survivalOf(State, Use, End.Elapsed);
  switch (End.Outcome) {
  case slot_outcome::Succeeded:
    Backend.FullStreak = 0;
    addEvidence(Backend.Belief, successWeight(Survival), Usual, Now);
    if (const auto Found = State.Profiles.find(Use.Work);
        Found != State.Profiles.end())
      noteWork(Found->second, End.Elapsed, Now);
    noteEnd(State, true, Now);
    return;
  case slot_outcome::Failed:
    addEvidence(Backend.Belief, evidence_weight::Failure, Usual, Now);
    noteEnd(State, false, Now);
    return;
  case slot_outcome::Silent:
    addEvidence(Backend.Belief, silenceWeight(Survival), Usual, Now);
    noteEnd(State, false, Now);
    return;
  case slot_outcome::Unreachable:
    addEvidence(Backend.Belief, evidence_weight::Unreachable, Usual, Now);
    awaitFirstUseAgain(Backend, Use, Now);
    return;
  case slot_outcome::Full:
    Backend.FullStreak = std::min(Backend.FullStreak + 1, MostFullStreak);
    Backend.FullUntil = Now + FullPause * Backend.FullStreak;
    addEvidence(Backend.Belief, evidence_weight::Full, Usual, Now);
    return;
  case slot_outcome::Misdirected:
    Backend.Misdirected = true;
    return;
  case slot_outcome::NotUsed:
    awaitFirstUseAgain(Backend, Use, Now);
    return;
  }
}

} // namespace

std::string_view slotOutcomeName(slot_outcome Outcome) {
  switch (Outcome) {
  case slot_outcome::Succeeded:
    return "succeeded";
  case slot_outcome::Failed:
    return "failed";
  case slot_outcome::Silent:
    return "silent";
  case slot_outcome::Unreachable:
    return "unreachable";
  case slot_outcome::Full:
    return "full";
  case slot_outcome::Misdirected:
    return "misdirected";
  case slot_outcome::NotUsed:
    return "not-used";
  }
  return "unknown";
}

void setBackends(service_allocation &State,
                 const std::vector<backend_registration> &Backends,
                 time_point Now) {
  const double Usual = usualLogOdds(State);
  std::map<std::string, backend_record> Next;
  for (const backend_registration &Registration : Backends) {
    const auto Known = State.Backends.find(Registration.Name);
    const bool SameStart =
        Known != State.Backends.end() &&
        Known->second.Registration.BornMs == Registration.BornMs &&
        Known->second.Registration.Address == Registration.Address;
    backend_record Record;
    if (SameStart) {
      Record = std::move(Known->second);
    } else {
      Record.Belief = {Usual, Now};
      Record.JoinedAt = Now;
      Record.LastGranted = Now;
      Record.AwaitsFirstUse = State.FirstListAt.has_value();
    }
    Record.Registration = Registration;
    Record.WarmAt = Now + Registration.WarmUp;
    Next.emplace(Registration.Name, std::move(Record));
  }
  State.Backends = std::move(Next);
  if (!State.FirstListAt)
    State.FirstListAt = Now;
}

slot_answer askSlot(service_allocation &State, const slot_request &Request,
                    time_point Now) {
  forgetOrphans(State, Now);
  (void)profileOf(State, Request);
  if (Request.Repeat == repeat_reason::Slow)
    return askHedge(State, Request, Now);
  if (Request.Repeat == repeat_reason::None)
    noteRequest(State.RetryWindow, State.Retries, Now);
  else if (!takeRepeat(State.RetryWindow, State.Retries, 0, Now))
    return refusal(Request, "retry-budget", {});
  const bool FirstInLine = std::ranges::none_of(
      State.Waiting, [&Request](const slot_request &Other) {
        return Other.Priority <= Request.Priority;
      });
  if (FirstInLine)
    if (std::optional<slot_answer> Granted = tryGrant(State, Request, Now))
      return *Granted;
  const duration Wait = expectedWait(State, Request, Now);
  const duration Work = medianWork(profileOf(State, Request));
  if (Now + Wait + Work > latestEnd(Request)) {
    noteEnd(State, false, Now);
    return refusal(Request, "overloaded", Wait);
  }
  State.Waiting.push_back(Request);
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Verdict = slot_verdict::Queued;
  return Answer;
}

void endSlot(service_allocation &State, const slot_end &End, time_point Now) {
  for (auto &[Name, Backend] : State.Backends) {
    const auto Found = std::ranges::find(Backend.Uses, End.Key, &slot_use::Key);
    if (Found == Backend.Uses.end())
      continue;
    const slot_use Use = *Found;
    Backend.Uses.erase(Found);
    noteOutcome(State, Backend, Use, End, Now);
    return;
  }
  forgetWaiting(State, End.Key);
}

void adoptUse(service_allocation &State, const slot_use_report &Report,
              time_point Now) {
  const auto Found = State.Backends.find(Report.Backend);
  if (Found == State.Backends.end() || Now > Report.Deadline)
    return;
  std::vector<slot_use> &Uses = Found->second.Uses;
  if (std::ranges::find(Uses, Report.Key, &slot_use::Key) == Uses.end())
    Uses.push_back(
        {Report.Key, Report.Work, Report.Start, Report.Deadline, false});
}

std::vector<slot_answer> advance(service_allocation &State, time_point Now) {
  std::vector<slot_answer> Answers;
  if (State.Waiting.empty())
    return Answers;
  forgetOrphans(State, Now);
  std::ranges::stable_sort(State.Waiting, comesBefore);
  std::vector<slot_request> Left;
  for (slot_request &Request : State.Waiting) {
    const duration Work = medianWork(profileOf(State, Request));
    if (Now + Work > Request.Deadline) {
      noteEnd(State, false, Now);
      Answers.push_back(refusal(Request, "deadline", {}));
    } else if (std::optional<slot_answer> Granted =
                   tryGrant(State, Request, Now)) {
      Answers.push_back(std::move(*Granted));
    } else {
      Left.push_back(std::move(Request));
    }
  }
  State.Waiting = std::move(Left);
  return Answers;
}

std::vector<belief_change> takeBeliefChanges(service_allocation &State,
                                             time_point Now) {
  const double Usual = usualLogOdds(State);
  std::vector<belief_change> Changes;
  for (auto &[Name, Backend] : State.Backends) {
    const double Probability = probabilityAt(State, Backend, Usual, Now);
    const bool Next = Backend.Suspected ? Probability >= TrustedBelow
                                        : Probability > SuspectedAt;
    if (Next == Backend.Suspected)
      continue;
    Backend.Suspected = Next;
    Changes.push_back({Name, Next, Probability, Backend.Uses.size()});
  }
  return Changes;
}

double sickProbability(const service_allocation &State,
                       const backend_record &Backend, time_point Now) {
  return probabilityAt(State, Backend, usualLogOdds(State), Now);
}

} // namespace coriandertray
