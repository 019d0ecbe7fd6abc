#include "entry_host/quota_broker.h"

#include "utils/hash.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// An owner answers within a few milliseconds. One that doesn't answer within
// this time is stopped, cut off or starved of CPU time.
constexpr duration AnswerTimeout = milliseconds(120);
// If this process was paused, the answer may have arrived in the meantime: it
// is read before this time has passed.
constexpr duration LateWakeup = milliseconds(40);
constexpr duration ReadTimeAfterPause = milliseconds(20);
constexpr std::size_t MaxHostsAsked = 2;
// After a refusal the owner is asked again at least this often, because a newer
// configuration or idle callers may have changed the level.
constexpr duration MaxRememberedRefusal = milliseconds(200);
// Links to other hosts are checked every 500 ms, so an owner is found by then.
constexpr duration UndecidableRetryAfter = milliseconds(500);
// A request waits this long for an owner. Links are opened again within 500 ms.
constexpr duration MaxOwnerWait = milliseconds(600);
// After this time without an owner, requests don't wait for it.
constexpr duration OwnerAbsentTime = seconds(1);
constexpr duration AskAgainInterval = milliseconds(40);
// Much shorter than AnswerTimeout, to tell a paused process from an idle one.
constexpr duration UpkeepInterval = milliseconds(40);
constexpr int UpkeepsPerRoleUpdate = 5;
constexpr int UpkeepsPerCleanup = 250;
constexpr duration CutOffCheckInterval = milliseconds(20);
// Does not depend on the number of accounts: if accounts moved between owners
// of long standing, these would grant another burst.
constexpr std::size_t DutyCount = 16;
// Requests asked for in one message, and the most that an owner accepts.
constexpr std::uint32_t MaxCount = 4096;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t MaxNamedAccounts = 20;
constexpr std::size_t DumpedBuckets = 20;
constexpr std::string_view OtherAccountsLabel = "other";
constexpr std::string_view DutyGroup = "quota";
// The wire value for "no other host granted".
constexpr std::uint32_t NotGrantedElsewhere = 4294967295;
// Other grants are so long ago that buckets have filled up since.
constexpr duration MaxGrantAge = seconds(3600);
// Later times from other hosts are not passed on to callers.
constexpr duration LongestRetryAfter = seconds(3600);

std::string dutyName(std::size_t Number) {
  return "quota/" + std::to_string(Number);
}

std::set<std::string> makeDuties() {
  std::set<std::string> Duties;
  for (std::size_t Number = 0; Number < DutyCount; ++Number)
    Duties.insert(dutyName(Number));
  return Duties;
}

std::uint32_t toWireMs(duration Value) {
  const auto Ms = std::chrono::ceil<milliseconds>(Value).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Ms, 0, std::chrono::floor<milliseconds>(LongestRetryAfter).count()));
}

// Rounds down, so that a report never states a longer time than has passed.
std::uint32_t elapsedWireMs(const std::optional<duration> &Elapsed) {
  if (!Elapsed || *Elapsed >= MaxGrantAge)
    return NotGrantedElsewhere;
  return static_cast<std::uint32_t>(
      std::chrono::floor<milliseconds>(*Elapsed).count());
}

wire::quota_request_value toWire(const token_request &Request,
                                 std::uint64_t Id) {
  wire::quota_request_value Value;
  Value.id = Id;
  Value.host = Request.Host;
  Value.account = Request.Account;
  Value.count = Request.Count;
  Value.requests_per_s = Request.Quota.RequestsPerSecond;
  Value.burst = Request.Quota.Burst;
  Value.config_version = Request.ConfigVersion;
  Value.granted_elsewhere_ms = elapsedWireMs(Request.GrantedElsewhere);
  return Value;
}

// Fails with FrameMalformed.
result<token_request> fromWire(const wire::quota_request_value &Value) {
  const account_quota Quota = {Value.requests_per_s, Value.burst};
  const bool HasNames = !Value.host.empty() && !Value.account.empty() &&
                        Value.host.size() <= MaxNameBytes &&
                        Value.account.size() <= MaxNameBytes;
  if (!HasNames || Value.count == 0 || !isValid(Quota))
    return fail(error_code::FrameMalformed, "quota_request");
  token_request Request = {
      Value.host, Value.account,        std::min(Value.count, MaxCount),
      Quota,      Value.config_version, {}};
  if (Value.granted_elsewhere_ms != NotGrantedElsewhere)
    Request.GrantedElsewhere = milliseconds(Value.granted_elsewhere_ms);
  return Request;
}

// A role of a later version counts as one that can't refuse.
quota_role toRole(std::uint8_t Value) {
  return Value <= static_cast<std::uint8_t>(quota_role::Isolated)
             ? static_cast<quota_role>(Value)
             : quota_role::Isolated;
}

void logMalformed(std::string_view Detail) {
  logEvent(log_level::Warning, "peer-message-malformed", {{"detail", Detail}});
}

// The time in which \p Count tokens accrue, at most maxRetryAfter().
duration accrualTime(double Count, const account_quota &Quota) {
  const double Seconds = std::min(toSeconds(maxRetryAfter(Quota)),
                                  Count / Quota.RequestsPerSecond);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

std::string_view nameOf(quota_verdict Verdict) {
  switch (Verdict) {
  case quota_verdict::Allowed:
    return "allowed";
  case quota_verdict::Refused:
    return "refused";
  case quota_verdict::Undecidable:
    return "undecidable";
  }
  return "unknown";
}

// Escapes \p Text for the label of a metric.
std::string escapeLabel(std::string_view Text) {
  std::string Escaped;
  for (const char Each : Text) {
    if (Each == '"' || Each == '\\')
      Escaped += '\\';
    Escaped += Each == '\n' ? ' ' : Each;
  }
  return Escaped;
}

} // namespace

std::string quotaDutyOf(std::string_view Account) {
  return dutyName(stableHash(Account) % DutyCount);
}

quota_broker::quota_broker(asio::io_context &Context, const clock_source &Clock,
                           peer_network &Peers, metric_registry &Metrics,
                           std::string Self, quota_tolerance Tolerance)
    : Context(Context), Clock(Clock), Peers(Peers), Metrics(Metrics),
      Self(std::move(Self)) {
  Owner.Tolerance = Tolerance;
}

void quota_broker::setTolerance(const quota_tolerance &Tolerance) {
  Owner.Tolerance = Tolerance;
}

void quota_broker::setAccounts(const std::vector<client_account> &Accounts,
                               std::uint64_t Version) {
  ConfigVersion = Version;
  Configured.clear();
  chooseMetricLabels(Accounts);
  Duties = Accounts.empty() ? std::set<std::string>() : makeDuties();
  Peers.setDuties(std::string(DutyGroup), Duties);
  removeDuties(
      Owner, [this](const std::string &Duty) { return Duties.contains(Duty); });
  recordRunning();
  updateRoles();
  for (const client_account &Account : Accounts)
    updateQuota(Owner, quotaDutyOf(Account.Name), Account.Name, Account.Quota,
                Version, Clock.now());
  std::erase_if(States, [this](const auto &Entry) {
    return !Entry.second.Asking && !Configured.contains(Entry.first);
  });
  if (!Accounts.empty())
    startUpkeepLoop();
}

void quota_broker::chooseMetricLabels(
    const std::vector<client_account> &Accounts) {
  std::vector<const client_account *> ByRate;
  for (const client_account &Account : Accounts)
    ByRate.push_back(&Account);
  std::ranges::stable_sort(ByRate, std::ranges::greater(),
                           [](const client_account *Account) {
                             return Account->Quota.RequestsPerSecond;
                           });
  for (const client_account *Account : ByRate) {
    if (NamedAccounts.size() < MaxNamedAccounts)
      NamedAccounts.insert(Account->Name);
    const bool IsNamed = NamedAccounts.contains(Account->Name);
    Configured[Account->Name] = {Account->Quota,
                                 IsNamed ? escapeLabel(Account->Name)
                                         : std::string(OtherAccountsLabel)};
  }
}

void quota_broker::countDecision(const std::string &Account,
                                 quota_verdict Verdict) {
  const auto Found = Configured.find(Account);
  const std::string Label = Found == Configured.end()
                                ? std::string(OtherAccountsLabel)
                                : Found->second.MetricLabel;
  Metrics.count("coriandertray_quota_decisions_total",
                "account=\"" + Label + "\",verdict=\"" +
                    std::string(nameOf(Verdict)) + "\"");
}

bool quota_broker::isCutOff() {
  const time_point Now = Clock.now();
  if (Now - CutOffCheckedAt >= CutOffCheckInterval) {
    CutOff = Peers.isCutOff();
    CutOffCheckedAt = Now;
  }
  return CutOff;
}

quota_role quota_broker::roleFor(const std::string &Duty) {
  if (isCutOff())
    return quota_role::Isolated;
  const std::vector<std::string> Hosts = Peers.usableHostsFor(Duty);
  const bool IsFirst = !Hosts.empty() && Hosts.front() == Self;
  return IsFirst ? quota_role::Owner : quota_role::StandIn;
}

std::vector<std::string>
quota_broker::candidatesOf(const std::string &Account) const {
  std::vector<std::string> Hosts = Peers.usableHostsFor(quotaDutyOf(Account));
  Hosts.resize(std::min(Hosts.size(), MaxHostsAsked));
  return Hosts;
}

bool quota_broker::isRefusedUntilLater(const account_state &State,
                                       std::uint64_t Version) const {
  return Clock.now() < State.RefusedUntil && Version <= State.RefusedVersion;
}

quota_decision quota_broker::refuseAgain(account_state &State) const {
  const time_point Now = Clock.now();
  const time_point Next =
      std::max(Now, State.LastReturn) + accrualTime(1, State.Quota);
  State.LastReturn = std::min(Next, Now + maxRetryAfter(State.Quota));
  return {quota_verdict::Refused, State.LastReturn - Now, "remembered-refusal",
          State.RefusedBy};
}

asio::awaitable<quota_decision> quota_broker::acquire(request_account Account,
                                                      std::uint64_t Version,
                                                      time_point Deadline) {
  if (!isLimited(Account.Quota))
    co_return quota_decision();
  account_state &State = States[Account.Name];
  if (State.ConfigVersion == 0 || Version > State.ConfigVersion) {
    State.Quota = Account.Quota;
    State.ConfigVersion = Version;
  }
  if (isRefusedUntilLater(State, Version)) {
    countDecision(Account.Name, quota_verdict::Refused);
    co_return refuseAgain(State);
  }
  const auto Waiting = std::make_shared<waiting_request>(Context, Clock.now());
  State.Waiting.push_back(Waiting);
  if (!std::exchange(State.Asking, true))
    asio::co_spawn(Context, askLoop(Account.Name), asio::detached);
  Waiting->Wakeup.expires_at(Deadline);
  while (!Waiting->Decision && Clock.now() < Deadline)
    co_await Waiting->Wakeup.async_wait(UseTuple);
  Waiting->Abandoned = true;
  quota_decision Decision = {
      quota_verdict::Undecidable, UndecidableRetryAfter, "deadline", {}};
  if (Waiting->Decision)
    Decision = *Waiting->Decision;
  countDecision(Account.Name, Decision.Verdict);
  co_return Decision;
}

// Asks for the tokens of all requests that wait, in one message after another.
asio::awaitable<void> quota_broker::askLoop(std::string Account) {
  asio::steady_timer Timer(Context);
  for (;;) {
    account_state &State = States[Account];
    std::erase_if(State.Waiting,
                  [](const auto &Waiting) { return Waiting->Abandoned; });
    if (State.Waiting.empty()) {
      State.Asking = false;
      co_return;
    }
    const auto Count = static_cast<std::uint32_t>(
        std::min<std::size_t>(State.Waiting.size(), MaxCount));
    const asked_grant Asked = co_await ask(Account, Count);
    recordDecider(State, Asked.Role);
    distribute(State, Asked, Count);
    if (Asked.Role == quota_role::Owner || Asked.Grant.Granted >= Count)
      continue;
    Timer.expires_after(AskAgainInterval);
    co_await Timer.async_wait(UseTuple);
  }
}

void quota_broker::recordDecider(account_state &State, quota_role Role) {
  const time_point Now = Clock.now();
  if (Role == quota_role::Owner) {
    State.WithoutOwnerSince.reset();
    return;
  }
  // What was found before the last requests came says nothing about the owner.
  if (!State.WithoutOwnerSince ||
      Now - State.LastWithoutOwner >= OwnerAbsentTime)
    State.WithoutOwnerSince = Now;
  State.LastWithoutOwner = Now;
}

bool quota_broker::mayWaitForOwner(const account_state &State,
                                   const waiting_request &Waiting) const {
  const time_point Now = Clock.now();
  return State.WithoutOwnerSince &&
         Now - *State.WithoutOwnerSince < OwnerAbsentTime &&
         Now - Waiting.Since < MaxOwnerWait;
}

void quota_broker::distribute(account_state &State, const asked_grant &Asked,
                              std::uint32_t Count) {
  const time_point Now = Clock.now();
  const std::uint32_t Granted = std::min(Asked.Grant.Granted, Count);
  const bool ByOwner = Asked.Role == quota_role::Owner;
  if (ByOwner && Granted > 0)
    State.OwnerGrants[Asked.Host] = Now;
  for (std::uint32_t Number = 0; Number < Count && !State.Waiting.empty();) {
    const auto Waiting = State.Waiting.front();
    // Those behind it have not waited longer.
    if (Number >= Granted && !Waiting->Abandoned && !ByOwner &&
        mayWaitForOwner(State, *Waiting))
      return;
    State.Waiting.pop_front();
    if (Waiting->Abandoned)
      continue;
    quota_decision Decision = {quota_verdict::Allowed,
                               {},
                               coriandertray::nameOf(Asked.Role),
                               Asked.Host};
    if (Number >= Granted) {
      State.LastReturn =
          std::min(Now + Asked.Grant.RetryAfter +
                       accrualTime(Number - Granted, State.Quota),
                   Now + maxRetryAfter(State.Quota));
      Decision.Verdict =
          ByOwner ? quota_verdict::Refused : quota_verdict::Undecidable;
      Decision.RetryAfter =
          ByOwner ? State.LastReturn - Now : UndecidableRetryAfter;
    }
    ++Number;
    Waiting->Decision = Decision;
    Waiting->Wakeup.cancel();
  }
  if (!ByOwner || Granted == Count)
    return;
  State.RefusedBy = Asked.Host;
  State.RefusedUntil =
      Now + std::min(Asked.Grant.RetryAfter, MaxRememberedRefusal);
  State.RefusedVersion = State.ConfigVersion;
}

std::optional<duration>
quota_broker::grantedElsewhere(const account_state &State,
                               const std::string &Host) const {
  std::optional<time_point> Latest;
  for (const auto &[Granter, Time] : State.OwnerGrants)
    if (Granter != Host && (!Latest || Time > *Latest))
      Latest = Time;
  return Latest ? std::optional(Clock.now() - *Latest) : std::nullopt;
}

token_request quota_broker::makeTokenRequest(const std::string &Account,
                                             std::uint32_t Count) const {
  const account_state &State = States.at(Account);
  return {Self, Account, Count, State.Quota, State.ConfigVersion, {}};
}

asio::awaitable<quota_broker::asked_grant>
quota_broker::ask(std::string Account, std::uint32_t Count) {
  for (const std::string &Host : candidatesOf(Account)) {
    token_request Request = makeTokenRequest(Account, Count);
    Request.GrantedElsewhere = grantedElsewhere(States.at(Account), Host);
    if (Host == Self)
      co_return decideHere(std::move(Request), false);
    const std::optional<asked_grant> Asked = co_await askHost(Host, Request);
    if (Asked)
      co_return *Asked;
  }
  token_request Request = makeTokenRequest(Account, Count);
  co_return decideHere(std::move(Request), true);
}

asio::awaitable<std::optional<quota_broker::asked_grant>>
quota_broker::askHost(std::string Host, token_request Request) {
  const std::uint64_t Id = NextId++;
  const auto Pending = std::make_shared<pending_answer>(Context);
  Pending->Link = Peers.linkTo(Host);
  if (!Peers.send(Host, makeBody(toWire(Request, Id))))
    co_return std::nullopt;
  PendingAnswers[Id] = Pending;
  const time_point End = Clock.now() + AnswerTimeout;
  Pending->Wakeup.expires_at(End);
  while (!Pending->Grant && Clock.now() < End && Pending->Link->isOpen())
    co_await Pending->Wakeup.async_wait(UseTuple);
  if (!Pending->Grant && Clock.now() >= End + LateWakeup) {
    Pending->Wakeup.expires_after(ReadTimeAfterPause);
    co_await Pending->Wakeup.async_wait(UseTuple);
  }
  PendingAnswers.erase(Id);
  if (Pending->Grant) {
    const asked_grant Asked = {*Pending->Grant, Pending->Role, Host};
    co_return Asked;
  }
  logEvent(log_level::Info, "quota-unanswered",
           {{"account", Request.Account}, {"asked", Host}});
  if (Peers.linkTo(Host) == Pending->Link)
    Peers.dropLink(Host);
  co_return std::nullopt;
}

// This host may have a newer configuration than the one that asks.
token_request quota_broker::withNewestQuota(token_request Request) const {
  const auto Found = Configured.find(Request.Account);
  if (Found == Configured.end() || ConfigVersion <= Request.ConfigVersion)
    return Request;
  Request.Quota = Found->second.Quota;
  Request.ConfigVersion = ConfigVersion;
  return Request;
}

quota_broker::asked_grant quota_broker::decideHere(token_request Request,
                                                   bool Isolated) {
  startUpkeepLoop();
  recordRunning();
  const std::string Duty = quotaDutyOf(Request.Account);
  const quota_role Role = Isolated ? quota_role::Isolated : roleFor(Duty);
  recordOwned(Duty, Role == quota_role::Owner);
  Owner.HostCount = Peers.members().size();
  const token_request Newest = withNewestQuota(std::move(Request));
  return {decide(Owner, Duty, Newest, Role, Clock.now()), Role, Self};
}

void quota_broker::receiveRequest(const link_pointer &Link,
                                  const wire::quota_request_value &Value) {
  const result<token_request> Request = fromWire(Value);
  if (!Request) {
    logMalformed(Request.error().Detail);
    return;
  }
  const asked_grant Asked = decideHere(*Request, false);
  wire::quota_answer_value Answer;
  Answer.id = Value.id;
  Answer.granted = Asked.Grant.Granted;
  Answer.retry_after_ms = toWireMs(Asked.Grant.RetryAfter);
  Answer.role = static_cast<std::uint8_t>(Asked.Role);
  envelope Message;
  Message.body = makeBody(std::move(Answer));
  Link->send(Message);
}

void quota_broker::receiveAnswer(const link_pointer &Link,
                                 const wire::quota_answer_value &Value) {
  const auto Found = PendingAnswers.find(Value.id);
  if (Found == PendingAnswers.end() || Found->second->Link != Link)
    return;
  const duration RetryAfter =
      std::min<duration>(milliseconds(Value.retry_after_ms), LongestRetryAfter);
  Found->second->Grant = quota_grant{Value.granted, RetryAfter};
  Found->second->Role = toRole(Value.role);
  Found->second->Wakeup.cancel();
}

bool quota_broker::receive(const link_pointer &Link, const envelope &Message) {
  if (const auto *Value = Message.body.Asquota_request()) {
    receiveRequest(Link, *Value);
    return true;
  }
  if (const auto *Value = Message.body.Asquota_answer()) {
    receiveAnswer(Link, *Value);
    return true;
  }
  return false;
}

// Does nothing unless the upkeep loop runs, as the time since the last call
// says nothing then.
void quota_broker::recordRunning() {
  if (!UpkeepRunning)
    return;
  const duration Pause = coriandertray::recordRunning(
      Owner, Clock.now(), Clock.uptime(), AnswerTimeout);
  if (Pause > duration::zero())
    logEvent(log_level::Warning, "event-loop-paused",
             {{"pause_ms", toMilliseconds(Pause)}});
}

void quota_broker::recordOwned(const std::string &Duty, bool Owned) {
  if (!Duties.contains(Duty) && Owned)
    return;
  if (setOwned(Owner, Duty, Owned, Clock.now()))
    logEvent(log_level::Info, Owned ? "quota-duty-owned" : "quota-duty-lost",
             {{"duty", Duty}, {"cut_off", CutOff}});
}

void quota_broker::updateRoles() {
  for (const std::string &Duty : Duties)
    recordOwned(Duty, roleFor(Duty) == quota_role::Owner);
}

void quota_broker::startUpkeepLoop() {
  if (std::exchange(UpkeepRunning, true))
    return;
  stopRecordingRuns(Owner);
  asio::co_spawn(Context, upkeepLoop(), asio::detached);
}

// Runs while there are accounts or grants.
asio::awaitable<void> quota_broker::upkeepLoop() {
  asio::steady_timer Timer(Context);
  for (int Round = 0;; ++Round) {
    recordRunning();
    if (Round % UpkeepsPerRoleUpdate == 0)
      updateRoles();
    if (Round % UpkeepsPerCleanup == 0)
      dropIdle(Owner, quotaDutyOf, Clock.now());
    const bool Empty = Configured.empty() && Owner.Buckets.empty() &&
                       Owner.StandInGrants.empty() &&
                       Owner.IsolatedGrants.empty();
    if (Empty)
      break;
    Timer.expires_after(UpkeepInterval);
    co_await Timer.async_wait(UseTuple);
  }
  UpkeepRunning = false;
}

json::object quota_broker::dump() const {
  json::array OwnedDuties;
  for (const auto &[Duty, Record] : Owner.Ownerships)
    if (!Record.LostAt)
      OwnedDuties.emplace_back(Duty);
  json::array Buckets;
  for (const bucket_level &Bucket : largestBuckets(Owner, DumpedBuckets))
    Buckets.emplace_back(
        json::object{{"account", Bucket.Account},
                     {"level", Bucket.Level},
                     {"requests_per_s", Bucket.Quota.RequestsPerSecond},
                     {"burst", Bucket.Quota.Burst},
                     {"config_version", Bucket.ConfigVersion}});
  return {{"owned_duties", std::move(OwnedDuties)},
          {"duties", Duties.size()},
          {"largest_buckets", std::move(Buckets)}};
}

} // namespace coriandertray
