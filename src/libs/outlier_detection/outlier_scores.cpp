#include "outlier_detection/outlier_scores.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace coriandertray {

namespace {

constexpr double HealthyFailureShare = 0.005;
constexpr double SickFailureShare = 0.1;
constexpr double HealthyLateShare = 0.04;
constexpr double HealthySlowShare = 0.13;
// Of a sick server's answers that would not have been late.
constexpr double TurnedLateShare = 0.3;
// Of a sick server's answers that would have taken the usual time.
constexpr double KeptUsualShare = 0.4;
// Siblings with more late answers than this are in trouble themselves: whoever
// looks worse must do so by as much more.
constexpr double ExplainedLateShare = 0.06;
// Chance may give a healthy server so much more than its siblings.
constexpr double SiblingSlack = 1.25;
// A share this large among the siblings means that the service, not one of its
// backend servers, is in trouble.
constexpr double WholeServiceShare = 0.25;
constexpr double MaxSickShare = 0.9;
// A quarter of healthy siblings is enough to judge failures by: no load makes
// an answer wrong. Slowness comes with load, and is judged by the middle.
constexpr std::size_t Quarter = 4;
constexpr std::size_t Half = 2;

double slowShare(const decayed_counts &Counts) {
  const double Total = Counts.Good + Counts.Late;
  return Total < 1 ? 0 : std::min(1.0, Counts.Slow / Total);
}

// \returns the value that one in \p Parts of the siblings stays below, zero
// without siblings. \p ValueOf gives nothing for siblings that don't count.
template <typename Value>
double siblingQuantile(const judge_state &State, std::string_view Name,
                       const Value &ValueOf, std::size_t Parts) {
  std::vector<double> Values;
  for (const auto &[Sibling, Backend] : State.Backends) {
    const std::optional<double> Found = ValueOf(Backend);
    if (Sibling != Name && Found)
      Values.push_back(*Found);
  }
  if (Values.empty())
    return 0;
  const auto Place =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / Parts);
  std::ranges::nth_element(Values, Place);
  return *Place;
}

// \returns a share of the recent counts, for those that have any.
template <typename Share> auto recentShare(const Share &ShareOf) {
  return [&ShareOf](const judged_backend &Backend) -> std::optional<double> {
    const decayed_counts &Recent = Backend.Recent;
    if (Recent.Good + Recent.Failed + Recent.Late < 1)
      return std::nullopt;
    return ShareOf(Recent);
  };
}

// \returns one score, for those that are in service.
auto scoreInService(change_score judged_backend::*Score) {
  return [Score](const judged_backend &Backend) -> std::optional<double> {
    if (Backend.Standing != standing::InService)
      return std::nullopt;
    return (Backend.*Score).Value;
  };
}

bad_share_hypotheses hypotheses(double Healthy, double Sick,
                                double SiblingShare) {
  constexpr double SickOverSiblings = 4;
  return {
      std::max(Healthy, SiblingSlack * SiblingShare),
      std::min(MaxSickShare, std::max(Sick, SickOverSiblings * SiblingShare))};
}

// Slower than the siblings: more late and more slow answers than they have. A
// sick server turns a part of its other answers late, and most of its usual
// ones slow.
change_score addTimings(change_score Score, const outcome_counts &Counts,
                        double LatesAround, double SlowsAround) {
  constexpr double LeastShare = 0.05;
  const double Late = std::max(HealthyLateShare, SiblingSlack * LatesAround);
  const double Slow = std::max(HealthySlowShare, SiblingSlack * SlowsAround);
  const double Usual = std::max(LeastShare, 1 - Late - Slow);
  const double SickLate = Late + (1 - Late) * TurnedLateShare;
  const double SickUsual = Usual * KeptUsualShare;
  const double SickSlow = std::max(LeastShare, 1 - SickLate - SickUsual);
  const std::uint32_t UsualCount =
      Counts.Succeeded - std::min(Counts.Slow, Counts.Succeeded);
  const std::array<outcome_kind, 3> Kinds = {{{Usual, SickUsual, UsualCount},
                                              {Slow, SickSlow, Counts.Slow},
                                              {Late, SickLate, Counts.Late}}};
  return addKinds(Score, Kinds);
}

} // namespace

double failureShare(const decayed_counts &Counts) {
  const double Total = Counts.Good + Counts.Failed;
  return Total < 1 ? 0 : Counts.Failed / Total;
}

double lateShare(const decayed_counts &Counts) {
  const double Total = Counts.Good + Counts.Late;
  return Total < 1 ? 0 : std::min(1.0, Counts.Late / Total);
}

relative_scores relativeScores(const judge_state &State,
                               std::string_view Name) {
  const judged_backend &Backend = State.Backends.find(Name)->second;
  const double FailuresAround = siblingQuantile(
      State, Name, scoreInService(&judged_backend::Failures), Quarter);
  const double LatesAround = siblingQuantile(
      State, Name, scoreInService(&judged_backend::Lates), Half);
  // Twice: what grows over all of them at once spreads as it grows.
  constexpr double SiblingWeight = 2;
  const double Raised =
      siblingQuantile(State, Name, recentShare(lateShare), Half) -
      ExplainedLateShare;
  const double Doubt = 1 + std::max(0.0, Raised) / ExplainedLateShare;
  return {Backend.Failures.Value - SiblingWeight * FailuresAround,
          (Backend.Lates.Value - SiblingWeight * LatesAround) / Doubt};
}

void addScores(judge_state &State, std::string_view Name,
               const outcome_counts &Counts) {
  judged_backend &Backend = State.Backends.find(Name)->second;
  const double FailuresAround =
      siblingQuantile(State, Name, recentShare(failureShare), Quarter);
  const double LatesAround =
      siblingQuantile(State, Name, recentShare(lateShare), Half);
  if (FailuresAround < WholeServiceShare)
    Backend.Failures = addOutcomes(
        Backend.Failures,
        hypotheses(HealthyFailureShare, SickFailureShare, FailuresAround),
        Counts.Succeeded, Counts.Failed);
  // What was gathered while the whole service slowed down says nothing.
  Backend.Lates =
      LatesAround < WholeServiceShare
          ? addTimings(
                Backend.Lates, Counts, LatesAround,
                siblingQuantile(State, Name, recentShare(slowShare), Half))
          : change_score{};
}

} // namespace coriandertray
