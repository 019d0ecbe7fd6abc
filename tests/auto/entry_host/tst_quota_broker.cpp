#include "entry_host/quota_broker.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// Hosts that are connected by real links, each on a thread of its own, so that
// one can be suspended.

using namespace coriandertray;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr quota_tolerance Tolerance = {seconds(5), 0.1, 20};

struct timed_decision {
  time_point Time;
  quota_decision Decision;
  std::string Account;
};

using timed_decisions = std::vector<timed_decision>;

asio::awaitable<void> pauseFor(duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(UseTuple);
}

socket_address peerAddress(int Number) {
  return {"127.97.7." + std::to_string(1 + Number), 18'502};
}

std::string hostName(int Number) { return "host-" + std::to_string(Number); }

class quota_host {
public:
  explicit quota_host(int Number)
      : Name(hostName(Number)), Peers(Context, Clock, Name, {}),
        Broker(Context, Clock, Peers, Metrics, Name, Tolerance) {
    const result<void> Started =
        Peers.start(peerAddress(Number),
                    [this](const link_pointer &Link, const envelope &Message) {
                      Messages += Message.body.Asquota_request() ? 1 : 0;
                      if (!Silent)
                        (void)Broker.receive(Link, Message);
                    });
    REQUIRE(Started.has_value());
  }
  ~quota_host() { suspend(); }
  quota_host(const quota_host &) = delete;
  quota_host &operator=(const quota_host &) = delete;

  /// Stops the host as SIGSTOP does: its connections stay open.
  void suspend() {
    Context.stop();
    if (Thread.joinable())
      Thread.join();
  }

  void resume() {
    Context.restart();
    Thread = std::thread([this] { Context.run(); });
  }

  /// Runs \p Steps on the host's thread. \pre the host is not suspended.
  template <typename Function> auto run(Function Steps) {
    return asio::co_spawn(
               Context,
               [Steps = std::move(Steps)]()
                   -> asio::awaitable<decltype(Steps())> { co_return Steps(); },
               asio::use_future)
        .get();
  }

  void configure(const std::vector<fleet_member> &Members,
                 const std::vector<client_account> &Accounts,
                 std::uint64_t Version) {
    run([&] {
      Peers.setMembers(Members);
      Broker.setAccounts(Accounts, Version);
      return 0;
    });
  }

  void announceLeaving() {
    run([this] {
      Peers.announceLeaving();
      return 0;
    });
  }

  bool isOwnerOf(const std::string &Account) {
    return run([this, &Account] {
      const json::object Dump = Broker.dump();
      const json::array &Owned = Dump.at("owned_duties").as_array();
      return std::ranges::find(Owned, json::value(quotaDutyOf(Account))) !=
             Owned.end();
    });
  }

  /// Starts \p Count requests at once, every \p Interval, \p Rounds times.
  void startLoad(const request_account &Account, int Count, duration Interval,
                 int Rounds) {
    asio::co_spawn(Context, load(Account, Count, Interval, Rounds),
                   asio::detached);
  }

  asio::awaitable<void> decideOne(request_account Account, duration Limit) {
    const time_point Deadline = Clock.now() + Limit;
    const quota_decision Decision =
        co_await Broker.acquire(Account, 1, Deadline);
    Decisions.push_back({Clock.now(), Decision, Account.Name});
  }

  asio::io_context Context;
  steady_clock_source Clock;
  metric_registry Metrics;
  std::string Name;
  peer_network Peers;
  quota_broker Broker;
  std::atomic<bool> Silent = false;
  std::atomic<int> Messages = 0;
  /// Only to be used on the host's thread or while it is suspended.
  timed_decisions Decisions;

private:
  asio::awaitable<void> load(request_account Account, int Count,
                             duration Interval, int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (int Number = 0; Number < Count; ++Number)
        asio::co_spawn(Context, decideOne(Account, seconds(1)), asio::detached);
      co_await pauseFor(Interval);
    }
  }

  asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(Context);
  std::thread Thread;
};

class quota_fleet {
public:
  explicit quota_fleet(const account_quota &Quota, int Count = 3) {
    static const bool Quiet = [] {
      startLogging("test", "", log_level::Error);
      return true;
    }();
    REQUIRE(Quiet);
    Account = {"account", 0, Quota};
    for (int Number = 0; Number < Count; ++Number)
      Members.push_back({hostName(Number), "a", peerAddress(Number), 1000});
    for (int Number = 0; Number < Count; ++Number) {
      Hosts.push_back(std::make_unique<quota_host>(Number));
      Hosts.back()->resume();
    }
    configure(accounts(), 1);
    awaitOwner();
  }

  [[nodiscard]] std::vector<client_account> accounts() const {
    client_account Configured;
    Configured.Name = Account.Name;
    Configured.Quota = Account.Quota;
    return {Configured};
  }

  /// Ends the process of \p Host and starts another one in its place.
  void restart(quota_host &Host) {
    const auto Found = std::ranges::find_if(
        Hosts, [&Host](const auto &Each) { return Each.get() == &Host; });
    const auto Number = static_cast<int>(Found - Hosts.begin());
    Found->reset();
    *Found = std::make_unique<quota_host>(Number);
    (*Found)->resume();
    (*Found)->configure(Members, accounts(), 1);
  }

  void configure(const std::vector<client_account> &Accounts,
                 std::uint64_t Version) {
    for (const auto &Host : Hosts)
      Host->configure(Members, Accounts, Version);
  }

  void awaitOwner() {
    for (int Try = 0; Try < 200 && !findOwner(); ++Try)
      std::this_thread::sleep_for(milliseconds(20));
    REQUIRE(findOwner());
    std::this_thread::sleep_for(seconds(1));
  }

  quota_host *findOwner() {
    for (const auto &Host : Hosts)
      if (Host->isOwnerOf(Account.Name))
        return Host.get();
    return nullptr;
  }

  void startLoad(int Count, duration Interval, int Rounds) {
    for (const auto &Host : Hosts)
      Host->startLoad(Account, Count, Interval, Rounds);
  }

  /// Suspends all hosts. \returns their decisions in order of time.
  timed_decisions stop() {
    timed_decisions All;
    for (const auto &Host : Hosts) {
      Host->suspend();
      All.insert(All.end(), Host->Decisions.begin(), Host->Decisions.end());
    }
    std::ranges::sort(All, {}, &timed_decision::Time);
    return All;
  }

  [[nodiscard]] double mostAllowed() const {
    const account_quota &Quota = Account.Quota;
    return Quota.RequestsPerSecond * toSeconds(Tolerance.Window) + Quota.Burst +
           toleratedExcess(Quota, Tolerance);
  }

  request_account Account;
  std::vector<fleet_member> Members;
  std::vector<std::unique_ptr<quota_host>> Hosts;
};

double mostInWindow(const timed_decisions &Decisions) {
  std::size_t Most = 0;
  std::vector<time_point> Grants;
  for (const timed_decision &Each : Decisions)
    if (Each.Decision.Verdict == quota_verdict::Allowed)
      Grants.push_back(Each.Time);
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Grants.size(); ++Last) {
    while (Grants[Last] - Grants[First] > Tolerance.Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return static_cast<double>(Most);
}

auto countVerdict(const timed_decisions &Decisions, quota_verdict Verdict) {
  return std::ranges::count_if(Decisions, [Verdict](const auto &Each) {
    return Each.Decision.Verdict == Verdict;
  });
}

bool isDecidedBy(const timed_decision &Each, std::string_view Role) {
  return Each.Decision.Verdict == quota_verdict::Allowed &&
         Each.Decision.DecidedBy == Role;
}

} // namespace

// Guards against a quota that counts for each host, or that is not all usable.
TEST_CASE("three hosts together use the quota of an account and no more") {
  quota_fleet Fleet({40, 20});
  Fleet.startLoad(4, milliseconds(20), 150);
  std::this_thread::sleep_for(milliseconds(3400));
  const timed_decisions Decisions = Fleet.stop();
  const auto Allowed = countVerdict(Decisions, quota_verdict::Allowed);
  CHECK(Decisions.size() == 3 * 4 * 150);
  CHECK(Allowed >= 115);
  CHECK(Allowed <= 40 * 3.4 + 20);
  CHECK(countVerdict(Decisions, quota_verdict::Undecidable) == 0);
}

// Guards against refusals of requests within the quota while hosts and their
// messages are in order, for example because hosts report the owner's own
// grants.
TEST_CASE("requests within the quota are allowed at all hosts") {
  quota_fleet Fleet({40, 60});
  Fleet.startLoad(10, milliseconds(700), 3);
  std::this_thread::sleep_for(milliseconds(2300));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(countVerdict(Decisions, quota_verdict::Allowed) == 3 * 10 * 3);
}

// Guards against grants beyond the quota, or none at all, when the owner is
// suspended and when it comes back.
TEST_CASE("the quota holds while the owner is suspended and afterwards") {
  quota_fleet Fleet({40, 20});
  quota_host *Owner = Fleet.findOwner();
  Fleet.startLoad(3, milliseconds(20), 350);
  std::this_thread::sleep_for(milliseconds(1500));
  Owner->suspend();
  const time_point SuspendedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(milliseconds(2500));
  Owner->resume();
  std::this_thread::sleep_for(milliseconds(3000));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(mostInWindow(Decisions) <= Fleet.mostAllowed());
  const auto ByNewOwner =
      std::ranges::count_if(Decisions, [&](const timed_decision &Each) {
        return isDecidedBy(Each, "owner") && Each.Time > SuspendedAt &&
               Each.Time < SuspendedAt + milliseconds(2500) &&
               Each.Decision.Host != Owner->Name;
      });
  CHECK(ByNewOwner >= 40);
}

// Guards against: an owner that leaves goes on granting to its own callers,
// while the other hosts already have another owner.
TEST_CASE("the quota holds while the owner leaves") {
  quota_fleet Fleet({40, 20});
  quota_host *Owner = Fleet.findOwner();
  Owner->announceLeaving();
  // The others have its notice by then.
  std::this_thread::sleep_for(milliseconds(200));
  Fleet.startLoad(3, milliseconds(20), 275);
  std::this_thread::sleep_for(milliseconds(6000));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(Decisions.size() == 3 * 3 * 275);
  CHECK(mostInWindow(Decisions) <= Fleet.mostAllowed());
  CHECK(countVerdict(Decisions, quota_verdict::Allowed) >= 200);
  CHECK(std::ranges::none_of(Decisions, [&](const timed_decision &Each) {
    return Each.Decision.Host == Owner->Name;
  }));
}

// Guards against: a host that started again owns its accounts at once, but
// those that heard its notice count it as leaving for some seconds more and go
// on asking the next owner.
TEST_CASE("the quota holds after the owner left and started again") {
  quota_fleet Fleet({40, 20});
  quota_host *Leaving = Fleet.findOwner();
  Leaving->announceLeaving();
  std::this_thread::sleep_for(milliseconds(200));
  const std::string Restarted = Leaving->Name;
  Fleet.restart(*Leaving);
  std::this_thread::sleep_for(seconds(2));
  Fleet.startLoad(3, milliseconds(20), 275);
  std::this_thread::sleep_for(milliseconds(6000));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(Decisions.size() == 3 * 3 * 275);
  CHECK(mostInWindow(Decisions) <= Fleet.mostAllowed());
  CHECK(countVerdict(Decisions, quota_verdict::Allowed) >= 200);
  CHECK(std::ranges::all_of(Decisions, [&](const timed_decision &Each) {
    return Each.Decision.Host == Restarted;
  }));
}

// Guards against a leaving host that refuses what its accounts may use, because
// no other host is there to decide.
TEST_CASE("an owner that leaves last still decides") {
  quota_fleet Fleet({40, 20});
  quota_host *Owner = Fleet.findOwner();
  for (const auto &Host : Fleet.Hosts)
    if (Host.get() != Owner)
      Owner->run([Owner, Other = Host->Name] {
        Owner->Peers.markLeaving(Other);
        return 0;
      });
  Owner->announceLeaving();
  Owner->startLoad(Fleet.Account, 1, milliseconds(100), 10);
  std::this_thread::sleep_for(milliseconds(1500));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(countVerdict(Decisions, quota_verdict::Allowed) == 10);
}

// Guards against hosts that wait for one that never answers, or that grant
// without a limit then.
TEST_CASE("the quota holds with an owner that does not answer") {
  quota_fleet Fleet({40, 20});
  quota_host *Owner = Fleet.findOwner();
  Owner->Silent = true;
  for (const auto &Host : Fleet.Hosts)
    if (Host.get() != Owner)
      Host->startLoad(Fleet.Account, 2, milliseconds(20), 200);
  std::this_thread::sleep_for(milliseconds(4500));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(Decisions.size() == 2 * 2 * 200);
  CHECK(mostInWindow(Decisions) <= Fleet.mostAllowed());
  CHECK(countVerdict(Decisions, quota_verdict::Allowed) >= 10);
  CHECK(std::ranges::none_of(Decisions, [](const timed_decision &Each) {
    return Each.Decision.DecidedBy == "deadline";
  }));
}

// Guards against a host that is cut off and grants the whole quota on its own,
// or answers 429 although it can't know.
TEST_CASE("a host that reaches no other grants its share and then 503") {
  quota_fleet Fleet({40, 20});
  Fleet.Hosts[0]->suspend();
  Fleet.Hosts[1]->suspend();
  std::this_thread::sleep_for(milliseconds(1500));
  Fleet.Hosts[2]->startLoad(Fleet.Account, 1, milliseconds(10), 100);
  std::this_thread::sleep_for(milliseconds(1800));
  const timed_decisions Decisions = Fleet.stop();
  const double Share = toleratedExcess(Fleet.Account.Quota, Tolerance) / 4 / 3;
  const auto Allowed = countVerdict(Decisions, quota_verdict::Allowed);
  CHECK(static_cast<double>(Allowed) <= Share);
  CHECK(Allowed >= 1);
  CHECK(countVerdict(Decisions, quota_verdict::Undecidable) == 100 - Allowed);
}

// Guards against a burst that is granted again by another host, because each
// account is counted elsewhere when the number of accounts changes.
TEST_CASE("accounts that are added cost and give the others nothing") {
  const account_quota Quota = {200, 400};
  quota_fleet Fleet(Quota);
  std::vector<client_account> Accounts;
  for (int Number = 0; Number < 33; ++Number) {
    Accounts.emplace_back();
    Accounts.back().Name = "account-" + std::to_string(Number);
    Accounts.back().Quota = Quota;
  }
  const client_account Added = Accounts.back();
  Accounts.pop_back();
  Fleet.configure(Accounts, 2);
  std::this_thread::sleep_for(seconds(3));
  const auto StartLoad = [&](int Host) {
    for (const client_account &Each : Accounts)
      Fleet.Hosts[Host]->startLoad({Each.Name, 0, Quota}, 400, milliseconds(1),
                                   1);
  };
  const time_point Start = std::chrono::steady_clock::now();
  StartLoad(0);
  std::this_thread::sleep_for(milliseconds(200));
  std::vector<client_account> More = Accounts;
  More.push_back(Added);
  Fleet.configure(More, 3);
  std::this_thread::sleep_for(milliseconds(100));
  StartLoad(1);
  std::this_thread::sleep_for(milliseconds(300));
  const double Elapsed = toSeconds(std::chrono::steady_clock::now() - Start);
  std::map<std::string, int> Allowed;
  for (const timed_decision &Each : Fleet.stop())
    Allowed[Each.Account] +=
        Each.Decision.Verdict == quota_verdict::Allowed ? 1 : 0;
  REQUIRE(Allowed.size() == Accounts.size());
  for (const auto &[Account, Count] : Allowed) {
    CAPTURE(Account);
    CHECK(Count >= 400);
    CHECK(Count <= 400 + 200 * Elapsed + toleratedExcess(Quota, Tolerance));
  }
}

// Guards against times to return that are cut short on the way from the owner.
TEST_CASE("a refused caller of a slow account is told when its token accrues") {
  quota_fleet Fleet({0.1, 1});
  Fleet.startLoad(2, milliseconds(50), 2);
  std::this_thread::sleep_for(milliseconds(300));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(countVerdict(Decisions, quota_verdict::Allowed) == 1);
  CHECK(countVerdict(Decisions, quota_verdict::Refused) == 11);
  for (const timed_decision &Each : Decisions)
    if (Each.Decision.Verdict == quota_verdict::Refused)
      CHECK(Each.Decision.RetryAfter > seconds(9));
}

// Guards against 503 for requests within the quota when the link to the owner
// is opened again shortly afterwards.
TEST_CASE("requests wait for the owner for a short time") {
  quota_fleet Fleet({1000, 1000});
  quota_host *Owner = Fleet.findOwner();
  const std::string Last = Owner->run([&] {
    return Owner->Peers.hostsRankedFor(quotaDutyOf(Fleet.Account.Name)).back();
  });
  const auto Found = std::ranges::find_if(
      Fleet.Hosts, [&](const auto &Host) { return Host->Name == Last; });
  REQUIRE(Found != Fleet.Hosts.end());
  quota_host &Other = **Found;
  REQUIRE(&Other != Owner);
  Other.run([&] {
    Other.Peers.dropLink(Owner->Name);
    return 0;
  });
  Other.startLoad(Fleet.Account, 500, milliseconds(1), 1);
  std::this_thread::sleep_for(milliseconds(900));
  Other.suspend();
  CHECK(countVerdict(Other.Decisions, quota_verdict::Allowed) == 500);
}

// Guards against one message for each request of a busy account.
TEST_CASE("requests that wait are asked for together") {
  quota_fleet Fleet({1000, 1000});
  quota_host *Owner = Fleet.findOwner();
  quota_host &Other =
      *(Fleet.Hosts[0].get() == Owner ? Fleet.Hosts[1] : Fleet.Hosts[0]);
  Other.startLoad(Fleet.Account, 200, milliseconds(1), 1);
  std::this_thread::sleep_for(milliseconds(500));
  Other.suspend();
  CHECK(countVerdict(Other.Decisions, quota_verdict::Allowed) == 200);
  CHECK(Owner->Messages <= 3);
}

// Guards against requests that wait for an answer beyond their deadline.
TEST_CASE("a request is decided at its deadline") {
  quota_fleet Fleet({40, 20});
  quota_host *Owner = Fleet.findOwner();
  quota_host &Other =
      *(Fleet.Hosts[0].get() == Owner ? Fleet.Hosts[1] : Fleet.Hosts[0]);
  Owner->Silent = true;
  asio::co_spawn(Other.Context,
                 Other.decideOne(Fleet.Account, milliseconds(30)),
                 asio::detached);
  std::this_thread::sleep_for(milliseconds(80));
  Other.suspend();
  REQUIRE(Other.Decisions.size() == 1);
  CHECK(Other.Decisions[0].Decision.Verdict == quota_verdict::Undecidable);
  CHECK(Other.Decisions[0].Decision.DecidedBy == "deadline");
}

// Guards against a process that ends, or a bucket that breaks, because of
// values that no host sends.
TEST_CASE("malformed messages change nothing") {
  quota_fleet Fleet({40, 20});
  quota_host *Owner = Fleet.findOwner();
  quota_host &Other =
      *(Fleet.Hosts[0].get() == Owner ? Fleet.Hosts[1] : Fleet.Hosts[0]);
  const double NotANumber = std::numeric_limits<double>::quiet_NaN();
  wire::quota_request_value Valid;
  Valid.host = Other.Name;
  Valid.account = "account";
  Valid.count = 1;
  Valid.requests_per_s = 40;
  Valid.burst = 20;
  Valid.config_version = 9;
  std::vector<wire::quota_request_value> Malformed(5, Valid);
  Malformed[0].requests_per_s = NotANumber;
  Malformed[1].burst = -1;
  Malformed[2].account.clear();
  Malformed[3].count = 0;
  Malformed[4].account = std::string(100'000, 'a');
  Other.run([&] {
    for (const wire::quota_request_value &Value : Malformed)
      Other.Peers.send(Owner->Name, makeBody(Value));
    wire::quota_answer_value Answer;
    Answer.id = 77;
    Answer.granted = std::numeric_limits<std::uint32_t>::max();
    Other.Peers.send(Owner->Name, makeBody(Answer));
    return 0;
  });
  Other.startLoad(Fleet.Account, 5, milliseconds(1), 1);
  std::this_thread::sleep_for(milliseconds(300));
  Other.suspend();
  CHECK(countVerdict(Other.Decisions, quota_verdict::Allowed) == 5);
  CHECK(Owner->run([Owner] {
    return Owner->Broker.dump().at("largest_buckets").as_array().size();
  }) == 1);
}

// Guards against accounts without a limit that depend on other hosts.
TEST_CASE("an account without a limit never asks") {
  quota_fleet Fleet({0, 0});
  for (const auto &Host : Fleet.Hosts)
    Host->startLoad(Fleet.Account, 50, milliseconds(1), 1);
  std::this_thread::sleep_for(milliseconds(200));
  const timed_decisions Decisions = Fleet.stop();
  CHECK(countVerdict(Decisions, quota_verdict::Allowed) == 150);
  for (const auto &Host : Fleet.Hosts)
    CHECK(Host->Messages == 0);
}

// Guards against the quota duties and those of the slot allocators replacing
// each other.
TEST_CASE("the groups of duties do not replace each other") {
  asio::io_context Context;
  const steady_clock_source Clock;
  peer_network Peers(Context, Clock, hostName(0), {});
  Peers.setMembers({{hostName(0), "a", peerAddress(0), 1000}});
  Peers.setDuties("slots", {"slots/one"});
  Peers.setDuties("quota", {"quota/0", "quota/1"});
  Peers.setDuties("slots", {"slots/two"});
  CHECK(Peers.hostsRankedFor("slots/one").empty());
  CHECK(Peers.hostsRankedFor("slots/two").size() == 1);
  CHECK(Peers.hostsRankedFor("quota/1").size() == 1);
  CHECK(Peers.hostsRankedFor(ReaderDuty).size() == 1);
}
