#include "membership/membership.h"

#include "utils/hash.h"

#include <algorithm>
#include <numeric>

namespace coriandertray {

namespace {

// Among records of one incarnation, the status that member_status lists later
// wins.
bool overrides(const member_record &Update, const member_record &Known) {
  if (Update.Incarnation != Known.Incarnation)
    return Update.Incarnation > Known.Incarnation;
  return Update.Status > Known.Status;
}

bool isLive(const member_record &Record) {
  return Record.Status == member_status::Alive ||
         Record.Status == member_status::Suspect;
}

void setStatus(known_member &Member, const membership_policy &Policy,
               member_status Status, time_point Now) {
  Member.Record.Status = Status;
  Member.ChangedAt = Now;
  Member.TransmissionsLeft = Policy.TransmissionsPerUpdate;
}

bool refute(member_record &Self, const member_record &Update) {
  const bool ReportedNotAlive = Update.Status != member_status::Alive &&
                                Self.Status != member_status::Left;
  // A host that restarts under its old name begins at incarnation zero again
  // and must exceed the incarnation that gossip still holds for it.
  const bool OwnRecordOutdated = Update.Incarnation > Self.Incarnation;
  if ((!ReportedNotAlive && !OwnRecordOutdated) ||
      Update.Incarnation < Self.Incarnation)
    return false;
  Self.Incarnation = Update.Incarnation + 1;
  return true;
}

} // namespace

bool mergeMember(membership_state &State, const membership_policy &Policy,
                 const member_record &Update, time_point Now) {
  if (Update.Host.empty())
    return false;
  if (Update.Host == State.Self.Host)
    return refute(State.Self, Update);
  const auto [Place, IsNew] = State.Others.try_emplace(Update.Host);
  known_member &Member = Place->second;
  if (!IsNew && !overrides(Update, Member.Record))
    return false;
  Member.Record = Update;
  Member.ChangedAt = Now;
  Member.TransmissionsLeft = Policy.TransmissionsPerUpdate;
  return true;
}

void recordPingSuccess(membership_state &State, std::string_view Host,
                       time_point Now) {
  const auto Found = State.Others.find(Host);
  if (Found == State.Others.end())
    return;
  // Only the suspected host itself can refute the suspicion for the fleet. An
  // answered ping merely restarts the suspicion timeout on this host.
  if (Found->second.Record.Status == member_status::Suspect)
    Found->second.ChangedAt = Now;
}

void recordPingFailure(membership_state &State, const membership_policy &Policy,
                       std::string_view Host, time_point Now) {
  const auto Found = State.Others.find(Host);
  if (Found == State.Others.end())
    return;
  if (Found->second.Record.Status == member_status::Alive)
    setStatus(Found->second, Policy, member_status::Suspect, Now);
}

void expireMembers(membership_state &State, const membership_policy &Policy,
                   time_point Now) {
  for (auto &[Host, Member] : State.Others)
    if (Member.Record.Status == member_status::Suspect &&
        Now - Member.ChangedAt >= Policy.SuspicionTimeout)
      setStatus(Member, Policy, member_status::Dead, Now);
  std::erase_if(State.Others, [&](const auto &Entry) {
    const known_member &Member = Entry.second;
    return !isLive(Member.Record) &&
           Now - Member.ChangedAt >= Policy.TombstoneRetention;
  });
}

void leaveFleet(membership_state &State) {
  State.Self.Status = member_status::Left;
}

std::optional<member_record> nextPingTarget(membership_state &State,
                                            std::uint64_t Random) {
  // One call in ten, on average, considers dead members as well.
  constexpr std::uint64_t DeadPingInterval = 10;
  const bool IncludeDead = Random % DeadPingInterval == 0;
  std::vector<const member_record *> Candidates;
  for (const auto &[Host, Member] : State.Others) {
    const bool Dead = Member.Record.Status == member_status::Dead;
    if (isLive(Member.Record) || (IncludeDead && Dead))
      Candidates.push_back(&Member.Record);
  }
  if (Candidates.empty())
    return std::nullopt;
  // Round robin from an offset that differs between hosts, so that each member
  // is pinged in turn, but not by all hosts at the same time.
  const std::uint64_t Offset = stableHash(State.Self.Host);
  return *Candidates[(Offset + State.PingCount++) % Candidates.size()];
}

std::vector<std::string> unknownSeeds(const membership_state &State,
                                      const std::vector<std::string> &Seeds) {
  std::vector<std::string> Unknown;
  std::ranges::copy_if(
      Seeds, std::back_inserter(Unknown), [&State](const std::string &Seed) {
        const bool IsMember =
            std::ranges::any_of(State.Others, [&Seed](const auto &Entry) {
              const member_record &Record = Entry.second.Record;
              return Record.Address == Seed && isLive(Record);
            });
        return Seed != State.Self.Address && !IsMember;
      });
  return Unknown;
}

std::vector<member_record> takeUpdates(membership_state &State,
                                       const membership_policy &Policy) {
  std::vector<known_member *> Pending;
  for (auto &[Host, Member] : State.Others)
    if (Member.TransmissionsLeft > 0)
      Pending.push_back(&Member);
  std::ranges::sort(Pending, std::ranges::greater{},
                    &known_member::TransmissionsLeft);
  if (Pending.size() > Policy.MaxUpdatesPerMessage)
    Pending.resize(Policy.MaxUpdatesPerMessage);
  std::vector<member_record> Records;
  for (known_member *Member : Pending) {
    --Member->TransmissionsLeft;
    Records.push_back(Member->Record);
  }
  return Records;
}

std::vector<member_record> allMembers(const membership_state &State) {
  std::vector<member_record> Records = {State.Self};
  for (const auto &[Host, Member] : State.Others)
    Records.push_back(Member.Record);
  return Records;
}

std::vector<std::string> liveHosts(const membership_state &State) {
  std::vector<std::string> Hosts;
  if (isLive(State.Self))
    Hosts.push_back(State.Self.Host);
  for (const auto &[Host, Member] : State.Others)
    if (isLive(Member.Record))
      Hosts.push_back(Host);
  std::ranges::sort(Hosts);
  return Hosts;
}

std::optional<member_record> findMember(const membership_state &State,
                                        std::string_view Host) {
  if (Host == State.Self.Host)
    return State.Self;
  const auto Found = State.Others.find(Host);
  if (Found == State.Others.end())
    return std::nullopt;
  return Found->second.Record;
}

std::uint64_t membershipHash(const membership_state &State) {
  const std::vector<member_record> Records = allMembers(State);
  return std::accumulate(
      Records.begin(), Records.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const member_record &Record) {
        const auto Status = static_cast<std::uint64_t>(Record.Status);
        return Sum + stableHash(Record.Host, Record.Incarnation * 4 + Status);
      });
}

std::string_view memberStatusName(member_status Status) {
  switch (Status) {
  case member_status::Alive:
    return "alive";
  case member_status::Suspect:
    return "suspect";
  case member_status::Dead:
    return "dead";
  case member_status::Left:
    return "left";
  }
  return "unknown";
}

} // namespace coriandertray
