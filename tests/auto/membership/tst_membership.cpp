#include "membership/membership.h"

#include "membership/owner_cache.h"
#include "membership/rendezvous.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

using namespace coriandertray;

namespace {

std::string hostName(std::size_t Index) { return "h" + std::to_string(Index); }

/// Hosts that gossip over simulated links, which can be cut in one direction.
struct simulated_fleet {
  explicit simulated_fleet(std::size_t Count, std::uint64_t Seed)
      : Random(Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      membership_state State;
      State.Self = {hostName(Index), "z", hostName(Index) + ":1", 0,
                    member_status::Alive};
      States.push_back(std::move(State));
    }
    for (membership_state &State : States)
      for (const membership_state &Other : States)
        mergeMember(State, Policy, Other.Self, Clock.now());
  }

  [[nodiscard]] bool isDelivered(std::size_t From, std::size_t To) const {
    return !Down.contains(From) && !Down.contains(To) &&
           !Cuts.contains({From, To});
  }
  [[nodiscard]] bool canExchange(std::size_t From, std::size_t To) const {
    return isDelivered(From, To) && isDelivered(To, From);
  }

  void exchange(std::size_t From, std::size_t To) {
    const auto SendAll = [this](std::size_t Sender, std::size_t Receiver) {
      mergeMember(States[Receiver], Policy, States[Sender].Self, Clock.now());
      for (const member_record &Update : allMembers(States[Sender]))
        mergeMember(States[Receiver], Policy, Update, Clock.now());
    };
    SendAll(From, To);
    SendAll(To, From);
  }

  void runPeriod(std::size_t Index) {
    membership_state &State = States[Index];
    expireMembers(State, Policy, Clock.now());
    const auto Target = nextPingTarget(State, Random());
    if (!Target)
      return;
    const auto Other =
        static_cast<std::size_t>(std::stoul(Target->Host.substr(1)));
    if (canExchange(Index, Other)) {
      exchange(Index, Other);
      recordPingSuccess(State, Target->Host, Clock.now());
      return;
    }
    bool ReachedIndirectly = false;
    for (std::size_t Relay = 0; Relay < States.size(); ++Relay)
      ReachedIndirectly =
          ReachedIndirectly || (Relay != Index && canExchange(Index, Relay) &&
                                canExchange(Relay, Other));
    if (ReachedIndirectly)
      recordPingSuccess(State, Target->Host, Clock.now());
    else
      recordPingFailure(State, Policy, Target->Host, Clock.now());
  }

  void run(int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      Clock.advance(milliseconds(250));
      for (std::size_t Index = 0; Index < States.size(); ++Index)
        if (!Down.contains(Index))
          runPeriod(Index);
    }
  }

  membership_policy Policy;
  std::vector<membership_state> States;
  std::set<std::size_t> Down;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  manual_clock Clock;
  std::mt19937_64 Random;
};

} // namespace

TEST_CASE("a one-way cut between two hosts makes neither of them dead") {
  simulated_fleet Fleet(6, 1);
  Fleet.Cuts.insert({0, 1});
  Fleet.run(200);
  for (const membership_state &State : Fleet.States)
    CHECK(liveHosts(State).size() == 6);
}

TEST_CASE("all hosts detect a dead host, and its return") {
  simulated_fleet Fleet(6, 2);
  Fleet.Down.insert(3);
  Fleet.run(60);
  for (std::size_t Index = 0; Index < 6; ++Index)
    if (Index != 3)
      CHECK(liveHosts(Fleet.States[Index]).size() == 5);
  Fleet.Down.clear();
  Fleet.run(60);
  for (const membership_state &State : Fleet.States)
    CHECK(liveHosts(State).size() == 6);
}

TEST_CASE("after all link cuts and stops end, every host sees all as live") {
  CHECK(rc::check([] {
    const auto Count = *rc::gen::inRange<std::size_t>(2, 7);
    simulated_fleet Fleet(Count, *rc::gen::arbitrary<std::uint64_t>());
    const auto Host = rc::gen::inRange<std::size_t>(0, Count);
    const int Faults = *rc::gen::inRange(0, 6);
    for (int Fault = 0; Fault < Faults; ++Fault) {
      if (*rc::gen::arbitrary<bool>())
        Fleet.Cuts.insert({*Host, *Host});
      else
        Fleet.Down.insert(*Host);
      Fleet.run(*rc::gen::inRange(1, 40));
    }
    Fleet.Cuts.clear();
    Fleet.Down.clear();
    Fleet.run(150);
    for (const membership_state &State : Fleet.States)
      RC_ASSERT(liveHosts(State).size() == Count);
  }));
}

TEST_CASE("an update with a lower incarnation is ignored") {
  simulated_fleet Fleet(2, 3);
  membership_state &State = Fleet.States[0];
  member_record Update = {"h1", "z", "h1:1", 5, member_status::Alive};
  CHECK(mergeMember(State, Fleet.Policy, Update, Fleet.Clock.now()));
  Update.Incarnation = 4;
  Update.Status = member_status::Dead;
  CHECK_FALSE(mergeMember(State, Fleet.Policy, Update, Fleet.Clock.now()));
  CHECK(liveHosts(State).size() == 2);
}

TEST_CASE("a suspected host refutes with a higher incarnation") {
  simulated_fleet Fleet(2, 4);
  membership_state &State = Fleet.States[0];
  const member_record Suspicion = {"h0", "z", "h0:1", 3,
                                   member_status::Suspect};
  CHECK(mergeMember(State, Fleet.Policy, Suspicion, Fleet.Clock.now()));
  CHECK(State.Self.Incarnation == 4);
  CHECK(State.Self.Status == member_status::Alive);
}

TEST_CASE("seeds of groups that started separately are reported as unknown") {
  simulated_fleet Fleet(3, 5);
  const std::vector<std::string> Seeds = {"h0:1", "h1:1", "h9:1"};
  CHECK(unknownSeeds(Fleet.States[0], Seeds) ==
        std::vector<std::string>{"h9:1"});
}

TEST_CASE("a member that leaves moves only the keys that it owned") {
  std::vector<std::string> Hosts;
  for (std::size_t Index = 0; Index < 20; ++Index)
    Hosts.push_back(hostName(Index));
  std::vector<std::string> Fewer = Hosts;
  Fewer.erase(Fewer.begin() + 7);
  for (int Key = 0; Key < 200; ++Key) {
    const std::string Owner = ownerOf(std::to_string(Key), Hosts);
    if (Owner != Hosts[7])
      CHECK(ownerOf(std::to_string(Key), Fewer) == Owner);
  }
}

TEST_CASE("cached owners follow changes of the fleet") {
  simulated_fleet Fleet(5, 6);
  owner_cache Owners;
  CHECK(Owners.ownerOf("k").empty());
  Owners.update(Fleet.States[0]);
  CHECK(Owners.ownerOf("k") == ownerOf("k", liveHosts(Fleet.States[0])));
  const std::string Owner = Owners.ownerOf("k");
  Fleet.Down.insert(static_cast<std::size_t>(std::stoul(Owner.substr(1))));
  Fleet.run(60);
  const std::size_t Survivor = Owner == "h0" ? 1 : 0;
  Owners.update(Fleet.States[Survivor]);
  CHECK(Owners.ownerOf("k") != Owner);
  CHECK(Owners.ownerOf("k") == ownerOf("k", liveHosts(Fleet.States[Survivor])));
}
