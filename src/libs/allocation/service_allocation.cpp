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
constexpr double HedgeQuantile = 0.9;
// Of the budget of repeats, for those that follow a failure.
constexpr double HedgeReserve = 0.3;
// Beliefs move slowly when nothing happens.
constexpr duration EvaluationAge = milliseconds(4);
// A use whose end nobody told of is forgotten so long after its deadline.
constexpr duration OrphanAge = milliseconds(1500);
// Kinds of work told apart in one service; the others are taken together.
constexpr std::size_t MostProfiles = 512;
constexpr double LateAdmission = 0.5;
constexpr duration LeastRetryAfter = milliseconds(100);

std::size_t profileIndex(service_allocation &State, const std::string &Work,
                         duration Target) {
  const auto Found = State.ProfileIndices.find(Work);
  if (Found != State.ProfileIndices.end())
    return Found->second;
  if (State.Profiles.size() >= MostProfiles)
    return 0;
  State.Profiles.push_back(makeWorkProfile(Target));
  State.ProfileIndices.emplace(Work, State.Profiles.size() - 1);
  return State.Profiles.size() - 1;
}

std::size_t profileIndex(service_allocation &State,
                         const slot_request &Request) {
  return profileIndex(State, Request.Work, Request.Target - Request.Asked);
}

duration medianOf(service_allocation &State, const slot_request &Request) {
  return medianWork(State.Profiles[profileIndex(State, Request)]);
}

// The share of servers that look sick, drawn towards a middling one while
// there are few.
double usualLogOdds(const service_allocation &State) {
  constexpr double AssumedSick = 2;
  constexpr double AssumedServers = 8;
  const auto Suspected = std::ranges::count_if(
      State.Backends, [](const auto &Entry) { return Entry.second.Suspected; });
  const double Share =
      (AssumedSick + static_cast<double>(Suspected)) /
      (AssumedServers + static_cast<double>(State.Backends.size()));
  return logOddsOf(std::clamp(Share, LeastUsualSick, MostUsualSick));
}

void evaluate(const service_allocation &State, backend_record &Backend,
              time_point Now) {
  Backend.Probability = probabilityOf(
      sicknessLogOdds(Backend, State.Profiles, State.UsualLogOdds, Now));
}

void evaluateAll(service_allocation &State, time_point Now) {
  if (State.EvaluatedAt && Now - *State.EvaluatedAt < EvaluationAge)
    return;
  State.EvaluatedAt = Now;
  State.UsualLogOdds = usualLogOdds(State);
  for (auto &[Name, Backend] : State.Backends) {
    std::erase_if(Backend.Uses, [Now](const slot_use &Use) {
      return Now > Use.Deadline + OrphanAge;
    });
    evaluate(State, Backend, Now);
  }
}

slot_answer grant(service_allocation &State, backend_record &Backend,
                  const slot_request &Request, time_point Now) {
  const std::size_t Profile = profileIndex(State, Request);
  Backend.Uses.push_back(
      {Request.Key, Profile, Now, Request.Deadline, Backend.AwaitsFirstUse});
  Backend.LastGranted = Now;
  Backend.AwaitsFirstUse = false;
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Verdict = slot_verdict::Granted;
  Answer.Backend = Backend.Registration.Name;
  Answer.Address = Backend.Registration.Address;
  Answer.HedgeAfter = workQuantile(State.Profiles[Profile], HedgeQuantile);
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

bool isHedge(const slot_request &Request) {
  return Request.Repeat == repeat_reason::Slow;
}

// How long until a slot falls free for a request behind those of its urgency.
duration expectedWait(service_allocation &State, const slot_request &Request,
                      time_point Now) {
  double Slots = 0;
  std::ptrdiff_t Free = 0;
  for (const auto &[Name, Backend] : State.Backends) {
    if (mayTake(Backend, Request, Now))
      Free += freeSlots(Backend);
    if (takesWork(Backend))
      Slots += Backend.Registration.Slots * (1 - Backend.Probability);
  }
  const auto Ahead = std::ranges::count_if(
      State.Waiting, [&Request](const slot_request &Other) {
        return !isHedge(Other) && Other.Priority <= Request.Priority;
      });
  // Those who wait for a better server take a doubtful one in the end.
  if (Ahead < Free)
    return duration::zero();
  constexpr double MeanOverMedian = 1.3;
  const double Turns =
      static_cast<double>(Ahead + 1) / std::max(1.0, Slots) * MeanOverMedian;
  return std::chrono::duration_cast<duration>(medianOf(State, Request) * Turns);
}

time_point latestEnd(const slot_request &Request) {
  return Request.Target +
         std::chrono::duration_cast<duration>(
             (Request.Deadline - Request.Target) * LateAdmission);
}

// A second attempt beside the first: only where it is likely to be answered.
std::optional<slot_answer> tryHedge(service_allocation &State,
                                    const slot_request &Request,
                                    time_point Now) {
  const std::optional<priced_backend> Best =
      cheapestPlace(State.Backends, Request, State.Policy, Now);
  if (!Best || Best->Backend->Probability > State.Policy.HedgeBelow)
    return std::nullopt;
  if (!takeRepeat(State.RetryWindow, State.Retries, HedgeReserve, Now))
    return refusal(Request, "retry-budget", {});
  return grant(State, *Best->Backend, Request, Now);
}

std::optional<slot_answer> tryGrant(service_allocation &State,
                                    const slot_request &Request,
                                    time_point Now) {
  if (isHedge(Request))
    return tryHedge(State, Request, Now);
  const std::optional<priced_backend> Best =
      cheapestPlace(State.Backends, Request, State.Policy, Now);
  if (!Best || Best->Cost > acceptedCost(Request, State.Policy, Now))
    return std::nullopt;
  return grant(State, *Best->Backend, Request, Now);
}

slot_answer enqueue(service_allocation &State, const slot_request &Request) {
  State.Waiting.push_back(Request);
  slot_answer Answer;
  Answer.Key = Request.Key;
  Answer.Verdict = slot_verdict::Queued;
  return Answer;
}

bool comesBefore(const slot_request &Left, const slot_request &Right) {
  if (isHedge(Left) != isHedge(Right))
    return isHedge(Right);
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  return Left.Target < Right.Target;
}

bool hasNobodyAhead(const service_allocation &State,
                    const slot_request &Request) {
  return std::ranges::none_of(State.Waiting,
                              [&Request](const slot_request &Other) {
                                return !comesBefore(Request, Other);
                              });
}

backend_record newRecord(const service_allocation &State, time_point Now) {
  backend_record Record;
  Record.Belief = {State.UsualLogOdds, Now};
  Record.Probability = probabilityOf(State.UsualLogOdds);
  Record.JoinedAt = Now;
  Record.LastGranted = Now;
  Record.AwaitsFirstUse = State.FirstListAt.has_value();
  return Record;
}

bool isSameStart(const backend_registration &Left,
                 const backend_registration &Right) {
  return Left.StartedAtUnixMs == Right.StartedAtUnixMs &&
         Left.Address == Right.Address;
}

} // namespace

void setBackends(service_allocation &State,
                 const std::vector<backend_registration> &Backends,
                 time_point Now) {
  State.UsualLogOdds = usualLogOdds(State);
  backend_records Next;
  for (const backend_registration &Registration : Backends) {
    const auto Known = State.Backends.find(Registration.Name);
    const bool IsKnown = Known != State.Backends.end() &&
                         isSameStart(Known->second.Registration, Registration);
    backend_record Record =
        IsKnown ? std::move(Known->second) : newRecord(State, Now);
    Record.Registration = Registration;
    Record.WarmAt = Now + Registration.WarmUpRemaining;
    Next.emplace(Registration.Name, std::move(Record));
  }
  State.Backends = std::move(Next);
  if (!State.FirstListAt)
    State.FirstListAt = Now;
}

slot_answer askSlot(service_allocation &State, const slot_request &Request,
                    time_point Now) {
  evaluateAll(State, Now);
  if (Request.Repeat == repeat_reason::None)
    noteRequest(State.RetryWindow, State.Retries, Now);
  else if (!isHedge(Request) &&
           !takeRepeat(State.RetryWindow, State.Retries, 0, Now))
    return refusal(Request, "retry-budget", {});
  if (hasNobodyAhead(State, Request))
    if (std::optional<slot_answer> Granted = tryGrant(State, Request, Now))
      return *Granted;
  if (isHedge(Request))
    return enqueue(State, Request);
  const duration Wait = expectedWait(State, Request, Now);
  if (Now + Wait + medianOf(State, Request) > latestEnd(Request))
    return refusal(Request, "overloaded", Wait);
  return enqueue(State, Request);
}

void endSlot(service_allocation &State, const slot_end &End, time_point Now) {
  for (auto &[Name, Backend] : State.Backends) {
    const auto Found = std::ranges::find(Backend.Uses, End.Key, &slot_use::Key);
    if (Found == Backend.Uses.end())
      continue;
    const slot_use Use = *Found;
    Backend.Uses.erase(Found);
    work_profile &Profile = State.Profiles[Use.Profile];
    noteOutcome(Backend, Use, End, Profile, State.UsualLogOdds, Now);
    if (End.Outcome == slot_outcome::Succeeded)
      noteWork(Profile, End.Elapsed, Now);
    evaluate(State, Backend, Now);
    return;
  }
  std::erase_if(State.Waiting, [&End](const slot_request &Request) {
    return Request.Key == End.Key;
  });
}

void adoptUse(service_allocation &State, const slot_use_report &Report,
              time_point Now) {
  const auto Found = State.Backends.find(Report.Backend);
  if (Found == State.Backends.end() || Now > Report.Deadline)
    return;
  std::vector<slot_use> &Uses = Found->second.Uses;
  if (std::ranges::find(Uses, Report.Key, &slot_use::Key) != Uses.end())
    return;
  const std::size_t Profile =
      profileIndex(State, Report.Work, Report.Deadline - Report.Start);
  Uses.push_back({Report.Key, Profile, Report.Start, Report.Deadline, false});
}

std::vector<slot_answer> advance(service_allocation &State, time_point Now) {
  std::vector<slot_answer> Answers;
  if (State.Waiting.empty())
    return Answers;
  evaluateAll(State, Now);
  std::ranges::stable_sort(State.Waiting, comesBefore);
  std::vector<slot_request> Left;
  for (slot_request &Request : State.Waiting) {
    if (Now + medianOf(State, Request) > Request.Deadline)
      Answers.push_back(refusal(Request, "deadline", {}));
    else if (std::optional<slot_answer> Answer = tryGrant(State, Request, Now))
      Answers.push_back(std::move(*Answer));
    else
      Left.push_back(std::move(Request));
  }
  State.Waiting = std::move(Left);
  return Answers;
}

std::vector<belief_change> takeBeliefChanges(service_allocation &State,
                                             time_point Now) {
  evaluateAll(State, Now);
  std::vector<belief_change> Changes;
  for (auto &[Name, Backend] : State.Backends) {
    const bool Next = Backend.Suspected ? Backend.Probability >= TrustedBelow
                                        : Backend.Probability > SuspectedAt;
    if (Next == Backend.Suspected)
      continue;
    Backend.Suspected = Next;
    Changes.push_back({Name, Next, Backend.Probability, Backend.Uses.size()});
  }
  return Changes;
}

} // namespace coriandertray
