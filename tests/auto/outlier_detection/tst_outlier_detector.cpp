#include "outlier_detection/outlier_detector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace coriandertray;

namespace {

using leaving_names = std::set<std::string, std::less<>>;

service makeService(std::size_t Servers, std::uint32_t Slots,
                    std::uint32_t Floor) {
  service Service;
  Service.Name = "s";
  Service.FloorSlots = Floor;
  for (std::size_t Index = 0; Index < Servers; ++Index)
    Service.BackendServers.push_back({"b" + std::to_string(Index),
                                      {"127.0.0.1", 1},
                                      "z" + std::to_string(Index % 3),
                                      Slots,
                                      330});
  return Service;
}

/// Drives the outlier detection of one service with simulated evidence, one
/// report interval at a time.
struct simulated_fleet {
  explicit simulated_fleet(service Config) : Service(std::move(Config)) {
    State.DecayedAt = Clock.now();
    updateVerdicts(State, Policy, Service, Leaving, Clock.now());
  }

  /// Runs one round, in which every host reports. \p CountsOf returns the
  /// counts that a host has of a server.
  template <typename CountSource> void round(const CountSource &CountsOf) {
    Clock.advance(milliseconds(100));
    for (int Host = 0; Host < Hosts; ++Host) {
      service_evidence Evidence;
      for (const backend_server &Server : Service.BackendServers)
        Evidence[Server.Name].Counts = CountsOf(Server.Name, Host);
      addEvidence(State, Policy, Service, "h" + std::to_string(Host),
                  "z" + std::to_string(Host % 3), Evidence, Clock.now());
    }
    updateVerdicts(State, Policy, Service, Leaving, Clock.now());
  }

  [[nodiscard]] backend_status statusOf(const std::string &Name) const {
    return State.Backends.at(Name).Status;
  }

  [[nodiscard]] std::size_t ejectedCount() const {
    std::size_t Count = 0;
    for (const auto &[Name, Backend] : State.Backends)
      Count += Backend.EjectionCount;
    return Count;
  }

  service Service;
  outlier_detection_policy Policy;
  outlier_detection_state State;
  manual_clock Clock;
  leaving_names Leaving;
  int Hosts = 6;
};

} // namespace

TEST_CASE("no sequence of evidence takes a service below its floor") {
  CHECK(rc::check([] {
    const auto Servers = *rc::gen::inRange<std::size_t>(1, 9);
    const std::uint32_t Slots = *rc::gen::inRange(1U, 4U);
    const auto Total = static_cast<std::uint32_t>(Servers) * Slots;
    simulated_fleet Fleet(
        makeService(Servers, Slots, *rc::gen::inRange(0U, Total + 1)));
    const auto Rounds = *rc::gen::inRange(1, 80);
    for (int Round = 0; Round < Rounds; ++Round) {
      Fleet.Clock.advance(milliseconds(*rc::gen::inRange(0, 3000)));
      if (*rc::gen::inRange(0, 8) == 0) {
        Fleet.Leaving.clear();
        for (const backend_server &Server : Fleet.Service.BackendServers)
          if (*rc::gen::inRange(0, 4) == 0)
            Fleet.Leaving.insert(Server.Name);
      }
      Fleet.round([](const std::string &, int) {
        return outcome_counts{*rc::gen::inRange(0U, 4U),
                              *rc::gen::inRange(0U, 4U),
                              *rc::gen::inRange(0U, 4U), 0, 0};
      });
      const std::vector<backend_verdict> Verdicts =
          currentVerdicts(Fleet.State, Fleet.Service);
      std::uint32_t MaxSlots = 0;
      for (std::size_t Index = 0; Index < Servers; ++Index)
        if (Verdicts[Index].Status != backend_status::Leaving)
          MaxSlots += Slots;
      RC_ASSERT(slotsInService(Fleet.Service, Verdicts) >=
                std::min(Fleet.Service.FloorSlots, MaxSlots));
    }
  }));
}

TEST_CASE("a server that fails all requests is ejected within a second") {
  simulated_fleet Fleet(makeService(8, 3, 12));
  int Rounds = 0;
  while (Rounds < 10 && Fleet.ejectedCount() == 0) {
    ++Rounds;
    Fleet.round([&](const std::string &Name, int Host) {
      const bool Unhealthy = Name == "b0";
      const std::uint32_t Count = (Rounds + Host) % 3 == 0 ? 1 : 0;
      return Unhealthy ? outcome_counts{0, Count, 0, 0, 0}
                       : outcome_counts{Count, 0, 0, 0, 0};
    });
  }
  CHECK(Fleet.statusOf("b0") == backend_status::Ejected);
}

TEST_CASE("failures or slowness of the whole service eject no server") {
  for (const bool ByFailure : {true, false}) {
    simulated_fleet Fleet(makeService(6, 3, 9));
    std::mt19937_64 Random(ByFailure ? 1 : 2);
    for (int Round = 0; Round < 300; ++Round)
      Fleet.round([&](const std::string &, int) {
        const std::uint32_t Bad = Random() % 2 == 0 ? 1 : 0;
        return ByFailure ? outcome_counts{1 - Bad, Bad, 0, 0, 0}
                         : outcome_counts{1, 0, Bad, 0, 0};
      });
    CHECK(Fleet.ejectedCount() == 0);
  }
}

TEST_CASE("a sudden slowdown of the whole service ejects no server") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    simulated_fleet Fleet(makeService(8, 3, 12));
    std::mt19937_64 Random(Seed);
    std::uniform_real_distribution<> Draw(0, 1);
    for (int Round = 0; Round < 200; ++Round)
      Fleet.round([&](const std::string &, int) {
        const bool Slowed = Round >= 100;
        const double Drawn = Draw(Random);
        if (Drawn < 0.7)
          return outcome_counts{};
        const double Kind = Draw(Random);
        if (Kind < (Slowed ? 0.3 : 0.03))
          return outcome_counts{0, 0, 1, 0, 0};
        const std::uint32_t Slow = Kind < (Slowed ? 0.6 : 0.15) ? 1 : 0;
        return outcome_counts{1, 0, 0, Slow, 0};
      });
    INFO("seed ", Seed);
    CHECK(Fleet.ejectedCount() == 0);
  }
}

TEST_CASE("if most servers fail, they are ejected down to the floor") {
  simulated_fleet Fleet(makeService(8, 3, 12));
  for (int Round = 0; Round < 50; ++Round)
    Fleet.round([&](const std::string &Name, int) {
      if (Fleet.statusOf(Name) == backend_status::Ejected)
        return outcome_counts{};
      const bool Unhealthy = Name < "b6";
      return Unhealthy ? outcome_counts{0, 1, 0, 0, 0}
                       : outcome_counts{1, 0, 0, 0, 0};
    });
  std::size_t Ejected = 0;
  for (const auto &[Name, Backend] : Fleet.State.Backends)
    Ejected += Backend.Status != backend_status::InService ? 1 : 0;
  CHECK(Ejected == 4);
}

TEST_CASE("ten minutes of occasional stragglers eject no server") {
  simulated_fleet Fleet(makeService(6, 3, 9));
  std::mt19937_64 Random(3);
  std::uniform_real_distribution<> Draw(0, 1);
  for (int Round = 0; Round < 6000; ++Round)
    Fleet.round([&](const std::string &, int) {
      const bool IsStraggler = Draw(Random) < 0.02;
      return IsStraggler ? outcome_counts{0, 0, 1, 0, 0}
                         : outcome_counts{1, 0, 0, 0, 0};
    });
  CHECK(Fleet.ejectedCount() == 0);
}

TEST_CASE("refusals for lack of slots do not eject a server") {
  simulated_fleet Fleet(makeService(6, 3, 9));
  for (int Round = 0; Round < 300; ++Round)
    Fleet.round([](const std::string &Name, int) {
      return outcome_counts{1, 0, 0, 0, Name == "b0" ? 20U : 0U};
    });
  CHECK(Fleet.ejectedCount() == 0);
}

TEST_CASE(
    "failures in one zone alone make it avoid the path, without ejection") {
  simulated_fleet Fleet(makeService(6, 3, 9));
  for (int Round = 0; Round < 20; ++Round)
    Fleet.round([](const std::string &Name, int Host) {
      const bool Cut = Name == "b0" && Host % 3 == 1;
      return Cut ? outcome_counts{0, 1, 0, 0, 0}
                 : outcome_counts{1, 0, 0, 0, 0};
    });
  CHECK(Fleet.ejectedCount() == 0);
  CHECK(Fleet.State.Backends.at("b0").AvoidZones ==
        std::vector<std::string>{"z1"});
}

TEST_CASE("an ejected server returns by trial and slow start") {
  simulated_fleet Fleet(makeService(4, 3, 3));
  const auto Unhealthy = [](const std::string &Name, int) {
    return Name == "b0" ? outcome_counts{0, 1, 0, 0, 0}
                        : outcome_counts{1, 0, 0, 0, 0};
  };
  const auto Healthy = [&Fleet](const std::string &Name, int) {
    const bool Works = Fleet.statusOf(Name) != backend_status::Ejected;
    return outcome_counts{Works ? 1U : 0U, 0, 0, 0, 0};
  };
  Fleet.round(Unhealthy);
  CHECK(Fleet.statusOf("b0") == backend_status::Ejected);
  std::vector<backend_status> Seen = {backend_status::Ejected};
  std::vector<std::uint32_t> Weights;
  for (int Round = 0; Round < 60; ++Round) {
    Fleet.round(Healthy);
    if (Seen.back() != Fleet.statusOf("b0"))
      Seen.push_back(Fleet.statusOf("b0"));
    const std::uint32_t Weight = Fleet.State.Backends.at("b0").WeightPercent;
    if (Weights.empty() || Weights.back() != Weight)
      Weights.push_back(Weight);
  }
  CHECK(Seen == std::vector<backend_status>{backend_status::Ejected,
                                            backend_status::Trial,
                                            backend_status::InService});
  CHECK(Weights == std::vector<std::uint32_t>{0, 10, 25, 50, 100});
}

TEST_CASE("a flapping server is ejected for longer each time") {
  simulated_fleet Fleet(makeService(4, 3, 3));
  int Returns = 0;
  backend_status Last = backend_status::InService;
  for (int Round = 0; Round < 600; ++Round) {
    const bool Unhealthy = Round / 20 % 2 == 0;
    Fleet.round([&](const std::string &Name, int) {
      if (Name == "b0" && Fleet.statusOf(Name) == backend_status::Ejected)
        return outcome_counts{};
      return Name == "b0" && Unhealthy ? outcome_counts{0, 1, 0, 0, 0}
                                       : outcome_counts{1, 0, 0, 0, 0};
    });
    const backend_status Now = Fleet.statusOf("b0");
    Returns +=
        Last != backend_status::InService && Now == backend_status::InService;
    Last = Now;
  }
  CHECK(Returns <= 2);
}

TEST_CASE("a new detector adopts the verdicts and continues from them") {
  simulated_fleet Fleet(makeService(4, 3, 3));
  verdict_set Earlier = {"s", 9, "h9", {}};
  Earlier.Verdicts.push_back(
      {"b1", backend_status::Ejected, 0, "fails", {}, 2, {}});
  Earlier.Verdicts.push_back(
      {"b2", backend_status::Leaving, 0, "drains", {}, 0, {}});
  adoptVerdicts(Fleet.State, Fleet.Policy, Earlier, Fleet.Clock.now());
  updateVerdicts(Fleet.State, Fleet.Policy, Fleet.Service, {},
                 Fleet.Clock.now());
  CHECK(Fleet.statusOf("b1") == backend_status::Ejected);
  CHECK(Fleet.statusOf("b2") == backend_status::Leaving);
  recordDrainProbe(Fleet.State, "b2", false);
  updateVerdicts(Fleet.State, Fleet.Policy, Fleet.Service, {},
                 Fleet.Clock.now());
  CHECK(Fleet.statusOf("b2") == backend_status::Trial);
}

TEST_CASE("a drain holds for an hour without any further report") {
  simulated_fleet Fleet(makeService(4, 3, 3));
  service_evidence Evidence;
  Evidence["b0"].Draining = true;
  addEvidence(Fleet.State, Fleet.Policy, Fleet.Service, "h0", "z0", Evidence,
              Fleet.Clock.now());
  for (int Minute = 0; Minute < 60; ++Minute) {
    Fleet.Clock.advance(std::chrono::minutes(1));
    updateVerdicts(Fleet.State, Fleet.Policy, Fleet.Service, {},
                   Fleet.Clock.now());
    CHECK(Fleet.statusOf("b0") == backend_status::Leaving);
  }
}
