#include "accounts/quota_owner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

using namespace coriandertray;

namespace {

constexpr quota_tolerance Tolerance = {seconds(5), 0.1, 20};
constexpr duration MaxPause = milliseconds(120);
const std::string Duty = "quota/0";
const time_point Epoch{std::chrono::hours(1)};

struct grant_event {
  time_point Time;
  std::uint32_t Count = 0;
};

/// \returns the most requests granted in any window.
double mostInWindow(const std::vector<grant_event> &Grants) {
  double Most = 0;
  double Sum = 0;
  std::size_t First = 0;
  for (const grant_event &Grant : Grants) {
    Sum += Grant.Count;
    while (Grant.Time - Grants[First].Time > Tolerance.Window)
      Sum -= Grants[First++].Count;
    Most = std::max(Most, Sum);
  }
  return Most;
}

double mostAllowed(const account_quota &Quota) {
  return Quota.RequestsPerSecond * toSeconds(Tolerance.Window) + Quota.Burst +
         toleratedExcess(Quota, Tolerance);
}

token_request makeTokenRequest(std::uint32_t Count, const account_quota &Quota,
                               std::uint64_t Version = 1) {
  return {"asker", "account", Count, Quota, Version, {}};
}

/// An owner that has owned its duty for long.
quota_owner makeOwner(std::size_t HostCount = 3) {
  quota_owner Owner;
  Owner.Tolerance = Tolerance;
  Owner.HostCount = HostCount;
  setOwned(Owner, Duty, true, Epoch - std::chrono::minutes(30));
  recordRunning(Owner, Epoch, {}, MaxPause);
  return Owner;
}

std::uint32_t grantedBy(quota_owner &Owner, const token_request &Request,
                        time_point Now, quota_role Role = quota_role::Owner) {
  return decide(Owner, Duty, Request, Role, Now).Granted;
}

/// One host of the model: it may run or not, and it asks as quota_broker does.
struct model_host {
  quota_owner Owner;
  time_point SilentUntil = Epoch;
  bool Restarts = false;
  /// When this host finds each other host to be usable again.
  std::vector<time_point> UnusableUntil;
  std::map<std::size_t, time_point> OwnerGrants;
};

/// Hosts ranked by number, one account, and events at random times.
class model_fleet {
public:
  model_fleet(std::size_t Count, const account_quota &Quota, std::uint64_t Seed)
      : Quota(Quota), Random(Seed) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      addHost();
    for (model_host &Host : Hosts)
      setOwned(Host.Owner, Duty, &Host == Hosts.data(),
               Epoch - std::chrono::minutes(30));
  }

  void addHost() {
    Hosts.emplace_back();
    Hosts.back().Owner.Tolerance = Tolerance;
    for (model_host &Host : Hosts)
      Host.UnusableUntil.resize(Hosts.size(), Epoch);
  }

  void advance(duration Step) {
    const time_point End = Now + Step;
    for (; Now < End; Now += milliseconds(20))
      for (std::size_t Number = 0; Number < Hosts.size(); ++Number)
        wake(Number);
  }

  /// Stops \p Number for \p Time; it forgets everything if it \p Restarts.
  void silence(std::size_t Number, duration Time, bool Restarts) {
    Hosts[Number].SilentUntil = Now + Time;
    Hosts[Number].Restarts = Restarts;
  }

  /// \p Asker asks for \p Count tokens. \returns how many it got.
  std::uint32_t ask(std::size_t Asker, std::uint32_t Count) {
    wake(Asker);
    if (!runs(Asker))
      return 0;
    int Asked = 0;
    for (std::size_t Number = 0; Number < Hosts.size() && Asked < 2; ++Number) {
      if (!isUsable(Asker, Number))
        continue;
      ++Asked;
      if (runs(Number))
        return askHost(Asker, Number, Count);
      advance(MaxPause);
      Hosts[Asker].UnusableUntil[Number] = Now + milliseconds(500);
    }
    const token_request Request = makeTokenRequest(Count, Quota);
    return record(
        grantedBy(Hosts[Asker].Owner, Request, Now, quota_role::Isolated));
  }

  /// \p Asker loses its link to \p Number for less time than it takes to check
  /// the links.
  void dropLink(std::size_t Asker, std::size_t Number) {
    if (Asker != Number)
      Hosts[Asker].UnusableUntil[Number] = Now + milliseconds(500);
  }

  [[nodiscard]] std::size_t size() const { return Hosts.size(); }
  std::size_t pick(std::size_t Count) { return Random() % Count; }

  account_quota Quota;
  time_point Now = Epoch;
  std::vector<grant_event> Grants;
  bool Reports = true;

private:
  [[nodiscard]] bool runs(std::size_t Number) const {
    return Now >= Hosts[Number].SilentUntil;
  }

  [[nodiscard]] bool isUsable(std::size_t Asker, std::size_t Number) const {
    return Asker == Number || Now >= Hosts[Asker].UnusableUntil[Number];
  }

  [[nodiscard]] quota_role roleOf(std::size_t Number) const {
    for (std::size_t Earlier = 0; Earlier < Number; ++Earlier)
      if (isUsable(Number, Earlier))
        return quota_role::StandIn;
    return quota_role::Owner;
  }

  void wake(std::size_t Number) {
    model_host &Host = Hosts[Number];
    if (!runs(Number))
      return;
    if (std::exchange(Host.Restarts, false)) {
      Host.Owner = {};
      Host.Owner.Tolerance = Tolerance;
      Host.OwnerGrants.clear();
    }
    Host.Owner.HostCount = Hosts.size();
    recordRunning(Host.Owner, Now, Now - Epoch, MaxPause);
    checkLinks(Number);
    setOwned(Host.Owner, Duty, roleOf(Number) == quota_role::Owner, Now);
  }

  // A ping that gets no answer drops the link to a host that doesn't run.
  void checkLinks(std::size_t Number) {
    for (std::size_t Other = 0; Other < Hosts.size(); ++Other)
      if (Now - Hosts[Other].SilentUntil < -milliseconds(500) ||
          (!runs(Other) && !isUsable(Number, Other)))
        Hosts[Number].UnusableUntil[Other] = Hosts[Other].SilentUntil;
  }

  std::uint32_t askHost(std::size_t Asker, std::size_t Number,
                        std::uint32_t Count) {
    wake(Number);
    token_request Request = makeTokenRequest(Count, Quota);
    for (const auto &[Granter, Time] : Hosts[Asker].OwnerGrants)
      if (Reports && Granter != Number)
        Request.GrantedElsewhere =
            std::min(Request.GrantedElsewhere.value_or(Now - Time), Now - Time);
    const quota_role Role = roleOf(Number);
    const std::uint32_t Granted =
        grantedBy(Hosts[Number].Owner, Request, Now, Role);
    if (Role == quota_role::Owner && Granted > 0)
      Hosts[Asker].OwnerGrants[Number] = Now;
    return record(Granted);
  }

  std::uint32_t record(std::uint32_t Granted) {
    Grants.push_back({Now, Granted});
    return Granted;
  }

  std::mt19937_64 Random;
  std::vector<model_host> Hosts;
};

account_quota arbitraryQuota() {
  return {static_cast<double>(*rc::gen::inRange(1, 101)),
          static_cast<double>(*rc::gen::inRange(0, 81))};
}

/// Lets one of the things happen that hosts must survive.
void disturb(model_fleet &Fleet) {
  const std::size_t Host = Fleet.pick(Fleet.size());
  const duration Time = milliseconds(100 + 100 * Fleet.pick(40));
  switch (Fleet.pick(4)) {
  case 0:
    return Fleet.silence(Fleet.pick(2), Time, false);
  case 1:
    return Fleet.silence(Fleet.pick(2), Time, true);
  case 2:
    return Fleet.dropLink(Host, 0);
  default:
    return Fleet.size() < 12 ? Fleet.addHost() : void();
  }
}

} // namespace

// Guards against grants beyond the bound when owners are lost, suspended,
// restarted, doubted by a single host, or when hosts are added. One of these
// happens every 2 s to 7 s. The tolerance has room for two new buckets in a
// window; with a disturbance every 1 s, one run in some thousands exceeds it by
// a request.
TEST_CASE("the grants in any window stay within the quota and its tolerance") {
  CHECK(rc::check([] {
    const account_quota Quota = arbitraryQuota();
    model_fleet Fleet(*rc::gen::inRange<std::size_t>(3, 8), Quota,
                      *rc::gen::arbitrary<std::uint64_t>());
    time_point NextDisturbance = Fleet.Now;
    for (int Step = 0; Step < 600; ++Step) {
      if (Fleet.Now >= NextDisturbance) {
        disturb(Fleet);
        NextDisturbance = Fleet.Now + seconds(2 + Fleet.pick(6));
      }
      Fleet.ask(Fleet.pick(Fleet.size()),
                static_cast<std::uint32_t>(1 + Fleet.pick(25)));
      Fleet.advance(milliseconds(20 * (1 + Fleet.pick(5))));
    }
    const double Most = mostInWindow(Fleet.Grants);
    RC_LOG() << "granted " << Most << " of " << mostAllowed(Quota);
    RC_ASSERT(Most <= mostAllowed(Quota));
  }));
}

// Guards against refusals within the quota because of how the requests are
// split among the hosts, or because many hosts ask.
TEST_CASE("no request within the quota is refused by the owner") {
  CHECK(rc::check([] {
    const account_quota Quota = arbitraryQuota();
    quota_owner Owner = makeOwner();
    std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
    quota_bucket Reference;
    Reference.Accrued = std::max(1.0, Quota.Burst);
    time_point Now = Epoch;
    for (int Step = 0; Step < 300; ++Step) {
      const duration Pause = milliseconds(Random() % 400);
      Now += Pause;
      Reference.Accrued = std::min(std::max(1.0, Quota.Burst),
                                   Reference.Accrued + Quota.RequestsPerSecond *
                                                           toSeconds(Pause));
      const auto Count = static_cast<std::uint32_t>(
          std::min<double>(Random() % 6, Reference.Accrued));
      Reference.Accrued -= Count;
      token_request Request = makeTokenRequest(Count, Quota);
      Request.Host = "host-" + std::to_string(Random() % 132);
      RC_ASSERT(grantedBy(Owner, Request, Now) == Count);
    }
  }));
}

// Guards against a bound that holds only if the reports arrive in order.
TEST_CASE("two owners that are asked in turn grant what accrues once") {
  CHECK(rc::check([] {
    const account_quota Quota = arbitraryQuota();
    quota_owner First = makeOwner();
    quota_owner Second;
    Second.Tolerance = Tolerance;
    setOwned(Second, Duty, true, Epoch);
    std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<grant_event> Grants;
    std::optional<time_point> LastByFirst;
    std::optional<time_point> LastBySecond;
    for (time_point Now = Epoch; Now < Epoch + seconds(12);
         Now += milliseconds(20)) {
      const bool AskFirst = Random() % 2 == 0;
      const std::optional<time_point> Other =
          AskFirst ? LastBySecond : LastByFirst;
      token_request Request = makeTokenRequest(20, Quota);
      if (Other)
        Request.GrantedElsewhere = Now - *Other;
      const std::uint32_t Granted =
          grantedBy(AskFirst ? First : Second, Request, Now);
      if (Granted > 0)
        (AskFirst ? LastByFirst : LastBySecond) = Now;
      Grants.push_back({Now, Granted});
    }
    RC_ASSERT(mostInWindow(Grants) <= mostAllowed(Quota));
  }));
}

// Guards against reports that are subtracted each time they arrive.
TEST_CASE("a report that is repeated takes nothing more") {
  const account_quota Quota = {10, 50};
  quota_owner Owner = makeOwner();
  token_request Request = makeTokenRequest(1, Quota);
  Request.GrantedElsewhere = seconds(2);
  std::uint32_t Granted = 0;
  for (int Repeat = 0; Repeat < 30; ++Repeat)
    Granted += grantedBy(Owner, Request, Epoch);
  CHECK(Granted == 20);
}

// Guards against an owner that grants, to a host that reports nothing, what
// another owner granted while the process or the system was suspended.
TEST_CASE("a pause is no credit, also if the steady clock does not count it") {
  const account_quota Quota = {10, 30};
  for (const bool SteadyCounts : {true, false}) {
    quota_owner Owner = makeOwner();
    CHECK(grantedBy(Owner, makeTokenRequest(100, Quota), Epoch) == 30);
    const duration Pause = seconds(2);
    const time_point Now = Epoch + (SteadyCounts ? Pause : duration::zero());
    CHECK(recordRunning(Owner, Now, Pause, MaxPause) == Pause);
    CHECK(grantedBy(Owner, makeTokenRequest(100, Quota), Now) == 0);
  }
}

// Guards against a full bucket beside that of the owner in the meantime.
TEST_CASE("after a pause a full bucket holds less by what accrued meanwhile") {
  const account_quota Quota = {10, 30};
  quota_owner Owner = makeOwner();
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Epoch) == 1);
  recordRunning(Owner, Epoch + milliseconds(100), milliseconds(100), MaxPause);
  recordRunning(Owner, Epoch + milliseconds(2100), milliseconds(2100),
                MaxPause);
  CHECK(grantedBy(Owner, makeTokenRequest(100, Quota),
                  Epoch + milliseconds(2100)) == 10);
}

// Guards against a refusal of the only request of an account that has been idle
// for long, because a level of less than one token grants nothing.
TEST_CASE("a pause leaves one token to an account that had one") {
  const account_quota Quota = {0.1, 1};
  quota_owner Owner = makeOwner();
  recordRunning(Owner, Epoch + milliseconds(100), milliseconds(100), MaxPause);
  recordRunning(Owner, Epoch + milliseconds(300), milliseconds(300), MaxPause);
  const time_point Now = Epoch + milliseconds(300);
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Now) == 1);
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Now) == 0);
  const time_point Later = Now + seconds(11);
  for (time_point Time = Now; Time < Later; Time += milliseconds(100))
    recordRunning(Owner, Time, Time - Epoch, MaxPause);
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Later) == 1);
  recordRunning(Owner, Later + seconds(1), Later - Epoch + seconds(1),
                MaxPause);
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Later + seconds(1)) == 0);
}

// Guards against a busy host that is taken for a suspended one.
TEST_CASE("a delay shorter than the answer timeout costs no tokens") {
  const account_quota Quota = {10, 30};
  quota_owner Owner = makeOwner();
  recordRunning(Owner, Epoch + milliseconds(110), milliseconds(110), MaxPause);
  CHECK(grantedBy(Owner, makeTokenRequest(100, Quota),
                  Epoch + milliseconds(110)) == 30);
}

// Guards against new owners that grant a whole burst again, and against buckets
// of accounts that come late to an owner of old standing.
TEST_CASE("a new owner begins with a quarter of the tolerated excess") {
  const account_quota Quota = {10, 100};
  quota_owner Owner;
  Owner.Tolerance = Tolerance;
  setOwned(Owner, Duty, true, Epoch);
  CHECK(grantedBy(Owner, makeTokenRequest(200, Quota), Epoch) == 8);
  quota_owner Established = makeOwner();
  CHECK(grantedBy(Established, makeTokenRequest(200, Quota), Epoch) == 100);
}

// Guards against stand-ins and isolated hosts that together use up the part
// of the new owners.
TEST_CASE("stand-ins and isolated hosts grant their shares per window") {
  const account_quota Quota = {100, 100};
  quota_owner Owner = makeOwner(4);
  const auto GrantedIn = [&](quota_role Role) {
    std::vector<grant_event> Grants;
    for (int Step = 0; Step < 400; ++Step) {
      const time_point Now = Epoch + milliseconds(37 * Step);
      Grants.push_back(
          {Now, grantedBy(Owner, makeTokenRequest(3, Quota), Now, Role)});
    }
    return mostInWindow(Grants);
  };
  CHECK(GrantedIn(quota_role::StandIn) == 20);
  CHECK(GrantedIn(quota_role::Isolated) == 5);
}

// Guards against shares of hosts that depend on their recent use.
TEST_CASE("an account that moves from one host to others loses nothing") {
  const account_quota Quota = {20, 40};
  quota_owner Owner = makeOwner();
  std::uint32_t Granted = 0;
  for (int Step = 0; Step < 100; ++Step) {
    token_request Request = makeTokenRequest(1, Quota);
    Request.Host = Step < 50 ? "only" : "host-" + std::to_string(Step % 7);
    Granted += grantedBy(Owner, Request, Epoch + milliseconds(50 * Step));
  }
  CHECK(Granted == 100);
}

// Guards against quotas that are divided among hosts that seldom ask.
TEST_CASE("86 small accounts on 132 hosts get all that they are entitled to") {
  const account_quota Quota = {30, 30};
  quota_owner Owner = makeOwner(132);
  std::mt19937_64 Random(7);
  std::uint32_t Refused = 0;
  for (int Step = 0; Step < 86 * 25 * 4; ++Step) {
    token_request Request = makeTokenRequest(1, Quota);
    Request.Account = "account-" + std::to_string(Step % 86);
    Request.Host = "host-" + std::to_string(Random() % 132);
    const time_point Now = Epoch + std::chrono::microseconds(465 * Step);
    recordRunning(Owner, Now, Now - Epoch, MaxPause);
    Refused += 1 - grantedBy(Owner, Request, Now);
  }
  CHECK(Refused == 0);
}

// Guards against an old configuration at one host that undoes a newer one.
TEST_CASE("the quota of the higher configuration version counts at once") {
  quota_owner Owner = makeOwner();
  const account_quota High = {10, 100};
  const account_quota Low = {1, 5};
  CHECK(grantedBy(Owner, makeTokenRequest(1, High, 3), Epoch) == 1);
  CHECK(grantedBy(Owner, makeTokenRequest(100, Low, 4), Epoch) == 5);
  CHECK(grantedBy(Owner, makeTokenRequest(100, High, 3), Epoch + seconds(2)) ==
        2);
  // The first request and the next five were of the same burst.
  CHECK(grantedBy(Owner, makeTokenRequest(200, High, 5), Epoch + seconds(2)) ==
        94);
  const account_quota Unlimited;
  CHECK(grantedBy(Owner, makeTokenRequest(200, Unlimited, 6),
                  Epoch + seconds(2)) == 200);
}

// Guards against callers that all come back for the same token, or for none.
// Guards against: each time a burst is lowered and raised again, its tokens are
// granted once more.
TEST_CASE("a burst that changes again and again is granted once in a window") {
  const account_quota High = {10, 100};
  const account_quota Low = {10, 20};
  quota_owner Owner = makeOwner();
  std::vector<grant_event> Grants;
  for (int Step = 0; Step < 100; ++Step) {
    const time_point Now = Epoch + milliseconds(100 * Step);
    const account_quota Quota = Step / 10 % 2 == 0 ? High : Low;
    const std::uint64_t Version = 1U + static_cast<unsigned>(Step) / 10;
    Grants.push_back(
        {Now, grantedBy(Owner, makeTokenRequest(200, Quota, Version), Now)});
  }
  CHECK(mostInWindow(Grants) <= mostAllowed(High));
}

// Guards against: what an account has not used of its burst is lost to it when
// the burst is lowered for a moment.
TEST_CASE("an unused burst that is lowered and raised again is whole") {
  const account_quota High = {10, 100};
  const account_quota Low = {10, 20};
  quota_owner Owner = makeOwner();
  const auto Ask = [&](std::uint32_t Count, const account_quota &Quota,
                       std::uint64_t Version, time_point Now) {
    return grantedBy(Owner, makeTokenRequest(Count, Quota, Version), Now);
  };
  CHECK(Ask(10, High, 1, Epoch) == 10);
  CHECK(Ask(5, Low, 2, Epoch) == 5);
  CHECK(Ask(200, High, 3, Epoch) == 85);
}

// Guards against: a raise a window later gives nothing, as an older burst still
// counts.
TEST_CASE("a burst that is raised a window later takes effect at once") {
  const account_quota High = {10, 100};
  const account_quota Low = {10, 20};
  quota_owner Owner = makeOwner();
  CHECK(grantedBy(Owner, makeTokenRequest(200, High, 1), Epoch) == 100);
  CHECK(grantedBy(Owner, makeTokenRequest(200, Low, 2), Epoch) == 0);
  const time_point Later = Epoch + Tolerance.Window;
  CHECK(grantedBy(Owner, makeTokenRequest(200, High, 3), Later) == 100);
}

TEST_CASE("a refused caller that comes back when told to is served") {
  CHECK(rc::check([] {
    const account_quota Quota = {static_cast<double>(*rc::gen::inRange(2, 40)),
                                 10};
    quota_owner Owner = makeOwner();
    std::vector<time_point> Returns;
    for (int Caller = 0; Caller < 15; ++Caller) {
      const time_point Now = Epoch + milliseconds(Caller);
      const quota_grant Grant = decide(Owner, Duty, makeTokenRequest(1, Quota),
                                       quota_role::Owner, Now);
      if (Grant.Granted == 0)
        Returns.push_back(Now + Grant.RetryAfter + milliseconds(1));
    }
    std::ranges::sort(Returns);
    for (const time_point Return : Returns)
      RC_ASSERT(grantedBy(Owner, makeTokenRequest(1, Quota), Return) == 1);
  }));
}

// Guards against a time to return at which there is no token yet.
TEST_CASE("callers of slow accounts are told when their token accrues") {
  const account_quota Quota = {0.1, 1};
  quota_owner Owner = makeOwner();
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Epoch) == 1);
  const auto RefuseAt = [&](time_point Now) {
    const quota_grant Grant =
        decide(Owner, Duty, makeTokenRequest(1, Quota), quota_role::Owner, Now);
    CHECK(Grant.Granted == 0);
    return toSeconds(Now - Epoch + Grant.RetryAfter);
  };
  CHECK(RefuseAt(Epoch + seconds(1)) == doctest::Approx(10));
  CHECK(RefuseAt(Epoch + seconds(2)) == doctest::Approx(20));
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Epoch + seconds(10)) == 1);
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Epoch + seconds(20)) == 1);
}

// Guards against infinite or negative levels from values out of range.
TEST_CASE("values that are no quota grant nothing and leave no trace") {
  const double NotANumber = std::numeric_limits<double>::quiet_NaN();
  const double Infinite = std::numeric_limits<double>::infinity();
  for (const account_quota &Quota :
       {account_quota{NotANumber, 1}, account_quota{1, Infinite},
        account_quota{-1, 1}, account_quota{1, -1}}) {
    quota_owner Owner = makeOwner();
    CHECK(grantedBy(Owner, makeTokenRequest(5, Quota), Epoch) == 0);
    CHECK(grantedBy(Owner, makeTokenRequest(5, {10, 50}), Epoch) == 5);
  }
  quota_owner Owner = makeOwner();
  CHECK(grantedBy(Owner, makeTokenRequest(4294967295, {10, 50}), Epoch) == 50);
  quota_owner Slow = makeOwner();
  CHECK(grantedBy(Slow, makeTokenRequest(5, {1e-300, 1}), Epoch) == 1);
}

// Guards against memory that grows with the accounts ever seen, and against
// buckets that lose tokens when they are dropped.
TEST_CASE("full and unused buckets are dropped without a loss") {
  quota_owner Owner = makeOwner();
  const account_quota Quota = {10, 60};
  CHECK(grantedBy(Owner, makeTokenRequest(60, Quota), Epoch) == 60);
  const auto DutyOf = [](const std::string &) { return Duty; };
  dropIdle(Owner, DutyOf, Epoch + seconds(59));
  CHECK(Owner.Buckets.size() == 1);
  dropIdle(Owner, DutyOf, Epoch + seconds(61));
  CHECK(Owner.Buckets.empty());
  CHECK(grantedBy(Owner, makeTokenRequest(100, Quota), Epoch + seconds(61)) ==
        60);
}

// Guards against a former owner that grants its old level in addition.
TEST_CASE("a host that owned the account before starts like a new owner") {
  quota_owner Owner = makeOwner();
  const account_quota Quota = {10, 100};
  CHECK(grantedBy(Owner, makeTokenRequest(1, Quota), Epoch) == 1);
  setOwned(Owner, Duty, false, Epoch);
  setOwned(Owner, Duty, true, Epoch + seconds(30));
  CHECK(grantedBy(Owner, makeTokenRequest(200, Quota), Epoch + seconds(30)) ==
        8);
}
