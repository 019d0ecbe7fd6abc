#include "allocation/admission_order.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace coriandertray {

namespace {

// The queued work of one account while it is put in order.
struct account_backlog {
  double NextStart = 0;
  double Weight = 1;
  /// Whether the first request of the account goes before those of others.
  bool IsOwed = false;
};
using account_backlogs = std::map<share_key, account_backlog>;

admission_rank rankOf(const admission_candidate &Candidate, time_point Now) {
  const slot_request &Request = *Candidate.Request;
  const bool Hedge = isHedge(Request);
  return {Hedge,
          {Request.AccountPriority, Request.Priority},
          !Hedge && missesTarget(Request.Target, Candidate.Likely, Now),
          0,
          Request.Target,
          Request.RequestedAt};
}

// Requests without an account share capacity with the accounts of their class
// as one account that weighs as much as all others together. They take nothing
// from anyone, and are not charged, if no account has a request.
void weighAnonymous(account_backlogs &Backlogs) {
  std::map<priority_class, double> Weights;
  for (const auto &[Key, Backlog] : Backlogs)
    if (!Key.Account.empty())
      Weights[Key.Class] += Backlog.Weight;
  for (auto &[Key, Backlog] : Backlogs) {
    if (!Key.Account.empty())
      continue;
    const auto Found = Weights.find(Key.Class);
    Backlog.Weight = Found == Weights.end()
                         ? std::numeric_limits<double>::infinity()
                         : Found->second;
  }
}

// Adds the backlogs of the candidates to \p Backlogs. \returns the backlog of
// each candidate, or null for a hedge.
std::vector<account_backlog *>
collectBacklogs(const std::vector<admission_candidate> &Candidates,
                const fair_share &Shares, account_backlogs &Backlogs) {
  std::vector<account_backlog *> ByCandidate;
  ByCandidate.reserve(Candidates.size());
  for (const admission_candidate &Candidate : Candidates) {
    if (isHedge(*Candidate.Request)) {
      ByCandidate.push_back(nullptr);
      continue;
    }
    const auto [Entry, Inserted] =
        Backlogs.try_emplace(shareKey(*Candidate.Request));
    if (Inserted)
      Entry->second = {nextStart(Shares, Entry->first),
                       Candidate.Request->AccountWeight,
                       isOwedService(Shares, Entry->first)};
    ByCandidate.push_back(&Entry->second);
  }
  weighAnonymous(Backlogs);
  return ByCandidate;
}

// \returns the interval of the next request of an account. Service that is owed
// goes before requests of others, late or not, and is not charged, so that the
// account has no debt when its load is back to normal.
virtual_interval takeInterval(account_backlog &Backlog, double VirtualTime,
                              ranked_request &Entry) {
  if (std::exchange(Backlog.IsOwed, false)) {
    Entry.Rank.MissesTarget = false;
    return {VirtualTime, VirtualTime};
  }
  const virtual_interval Interval =
      intervalFrom(Backlog.NextStart, toSeconds(Entry.Median), Backlog.Weight);
  Backlog.NextStart = Interval.Finish;
  return Interval;
}

bool hasAccount(const admission_candidate &Candidate) {
  return !Candidate.Request->Account.empty();
}

void sortByRank(std::vector<ranked_request> &Ranked) {
  std::ranges::stable_sort(Ranked, {}, &ranked_request::Rank);
}

} // namespace

bool isHedge(const slot_request &Request) {
  return Request.RetryReason == retry_reason::Hedge;
}

share_key shareKey(const slot_request &Request) {
  return {{Request.AccountPriority, Request.Priority}, Request.Account};
}

bool missesTarget(time_point Target, duration Likely, time_point Now) {
  return Now + Likely > Target;
}

std::vector<ranked_request>
orderRequests(const std::vector<admission_candidate> &Candidates,
              const fair_share &Shares, time_point Now) {
  std::vector<ranked_request> Ranked;
  Ranked.reserve(Candidates.size());
  for (const admission_candidate &Candidate : Candidates)
    Ranked.push_back(
        {Ranked.size(), rankOf(Candidate, Now), {}, Candidate.Median});
  // The requests of one account follow each other in this order.
  sortByRank(Ranked);
  if (std::ranges::none_of(Candidates, hasAccount))
    return Ranked;
  account_backlogs Backlogs;
  const std::vector<account_backlog *> ByCandidate =
      collectBacklogs(Candidates, Shares, Backlogs);
  for (ranked_request &Entry : Ranked) {
    account_backlog *Backlog = ByCandidate[Entry.Index];
    if (!Backlog)
      continue;
    Entry.Share =
        takeInterval(*Backlog, virtualTime(Shares, Entry.Rank.Class), Entry);
    Entry.Rank.FairStart = Entry.Share.Start;
  }
  sortByRank(Ranked);
  return Ranked;
}

} // namespace coriandertray
