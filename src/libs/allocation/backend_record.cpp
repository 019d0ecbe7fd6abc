#include "allocation/backend_record.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr duration FullPause = milliseconds(60);
constexpr std::uint32_t MostFullStreak = 5;

// The first request of a server that joined did not arrive there.
void awaitFirstUseAgain(backend_record &Backend, const slot_use &Use,
                        time_point Now) {
  if (!Use.IsFirst)
    return;
  Backend.AwaitsFirstUse = true;
  Backend.JoinedAt = std::max(Backend.JoinedAt, Now - JoinPatience);
}

} // namespace

bool takesWork(const backend_record &Backend) {
  return !Backend.Registration.Draining && !Backend.Misdirected;
}

std::uint32_t freeSlots(const backend_record &Backend) {
  const auto Used = static_cast<std::uint32_t>(Backend.Uses.size());
  return Backend.Registration.Slots -
         std::min(Backend.Registration.Slots, Used);
}

double sicknessLogOdds(const backend_record &Backend,
                       const std::vector<work_profile> &Profiles,
                       double UsualLogOdds, time_point Now) {
  double LogOdds = fadedLogOdds(Backend.Belief, UsualLogOdds, Now);
  for (const slot_use &Use : Backend.Uses)
    LogOdds +=
        silenceWeight(survivalAt(Profiles[Use.Profile], Now - Use.Start));
  return LogOdds;
}

void noteOutcome(backend_record &Backend, const slot_use &Use,
                 const slot_end &End, const work_profile &Profile,
                 double UsualLogOdds, time_point Now) {
  const double Survival = survivalAt(Profile, End.Elapsed);
  switch (End.Outcome) {
  case slot_outcome::Succeeded:
    Backend.FullStreak = 0;
    addEvidence(Backend.Belief, successWeight(Survival), UsualLogOdds, Now);
    return;
  case slot_outcome::Failed:
    Backend.LastFailure = Now;
    addEvidence(Backend.Belief, evidence_weight::Failure, UsualLogOdds, Now);
    return;
  case slot_outcome::Silent:
    Backend.LastFailure = Now;
    addEvidence(Backend.Belief, silenceWeight(Survival), UsualLogOdds, Now);
    return;
  case slot_outcome::Unreachable:
    addEvidence(Backend.Belief, evidence_weight::Unreachable, UsualLogOdds,
                Now);
    awaitFirstUseAgain(Backend, Use, Now);
    return;
  case slot_outcome::Full:
    Backend.FullStreak = std::min(Backend.FullStreak + 1, MostFullStreak);
    Backend.FullUntil = Now + FullPause * Backend.FullStreak;
    addEvidence(Backend.Belief, evidence_weight::Full, UsualLogOdds, Now);
    return;
  case slot_outcome::Misdirected:
    Backend.Misdirected = true;
    return;
  case slot_outcome::NotUsed:
    awaitFirstUseAgain(Backend, Use, Now);
    return;
  }
}

} // namespace coriandertray
