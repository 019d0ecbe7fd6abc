/// \file
/// Benchmarks of the core library at the target size in docs/CAPACITY.md.

#include "balancing/balancing_policy.h"
#include "balancing/caller_limits.h"
#include "balancing/route_table.h"
#include "exchange/versioned_table.h"
#include "manifest/manifest_reader.h"
#include "manifest/manifest_writer.h"
#include "membership/membership.h"
#include "membership/rendezvous.h"
#include "outlier_detection/outlier_detector.h"

#include <benchmark/benchmark.h>

using namespace coriandertray;

namespace {

constexpr int Hosts = 920;
constexpr int Services = 320;
constexpr int BackendServers = 12'000;
constexpr int Routes = 17'000;
constexpr int Accounts = 22'000;

std::string numbered(const std::string &Name, int Number) {
  return Name + "-" + std::to_string(Number);
}

const manifest &targetManifest() {
  static const manifest Manifest = [] {
    manifest Result;
    Result.Fleet = "target";
    Result.Zones = {"z"};
    for (int Index = 0; Index < Services; ++Index) {
      service Service;
      Service.Name = numbered("service", Index);
      for (int Server = 0; Server < BackendServers / Services; ++Server)
        Service.BackendServers.push_back(
            {numbered("server", Server), {"10.0.0.1", 80}, "z", 3, 330});
      Service.FloorSlots = totalSlots(Service) / 2;
      for (int Route = 0; Route < Routes / Services; ++Route)
        Service.Routes.push_back({numbered("route", Route),
                                  Service.Name,
                                  numbered("/part", Route),
                                  {"GET"},
                                  {"GET"},
                                  seconds(1)});
      Result.Services.push_back(std::move(Service));
    }
    for (int Index = 0; Index < Accounts; ++Index)
      Result.Accounts.push_back({numbered("account", Index), {}});
    return Result;
  }();
  return Manifest;
}

membership_state targetMembers() {
  const membership_policy Policy;
  membership_state State;
  State.Self = {"host-0", "z", "10.0.0.1:1", 0, member_status::Alive};
  for (int Index = 1; Index < Hosts; ++Index)
    mergeMember(
        State, Policy,
        {numbered("host", Index), "z", "10.0.0.1:1", 0, member_status::Alive},
        time_point());
  return State;
}

void matchRoute(benchmark::State &State) {
  const route_table Table(targetManifest());
  int Number = 0;
  for (auto _ : State) {
    const int Service = Number++ % Services;
    benchmark::DoNotOptimize(
        Table.match(numbered("service", Service), "/part-17/more/of/it?a=b"));
  }
}
BENCHMARK(matchRoute);

void admitAccount(benchmark::State &State) {
  caller_limits Limits;
  Limits.configure(targetManifest());
  int Number = 0;
  for (auto _ : State) {
    const std::string Account = numbered("account", Number++ % Accounts);
    benchmark::DoNotOptimize(Limits.admit(Account, time_point()));
    Limits.release(Account);
  }
}
BENCHMARK(admitAccount);

void chooseBackendServer(benchmark::State &State) {
  const std::vector<backend_state> States =
      reconfigure({}, targetManifest().Services.front());
  choice_request Request;
  for (auto _ : State) {
    Request.FirstRandom += 0x9e3779b97f4a7c15ULL;
    Request.SecondRandom += 0xbf58476d1ce4e5b9ULL;
    benchmark::DoNotOptimize(chooseBackend(States, Request, time_point()));
  }
}
BENCHMARK(chooseBackendServer);

// Adds the evidence of one report to one service, then decides its verdicts.
void judgeService(benchmark::State &State) {
  const service &Service = targetManifest().Services.front();
  const outlier_detection_policy Policy;
  outlier_detection_state Judge;
  service_evidence Evidence;
  for (const backend_server &Server : Service.BackendServers)
    Evidence[Server.Name].Counts.Succeeded = 2;
  time_point Now;
  for (auto _ : State) {
    Now += milliseconds(50);
    addEvidence(Judge, Policy, Service, "host-1", "z", Evidence, Now);
    benchmark::DoNotOptimize(updateVerdicts(Judge, Policy, Service, {}, Now));
  }
}
BENCHMARK(judgeService);

// Decides all 12,000 backend servers, as if one agent decided for the fleet.
void decideAllServices(benchmark::State &State) {
  const outlier_detection_policy Policy;
  std::vector<outlier_detection_state> Judges(Services);
  time_point Now;
  for (auto _ : State) {
    Now += milliseconds(50);
    for (int Index = 0; Index < Services; ++Index)
      benchmark::DoNotOptimize(updateVerdicts(
          Judges[static_cast<std::size_t>(Index)], Policy,
          targetManifest().Services[static_cast<std::size_t>(Index)], {}, Now));
  }
}
BENCHMARK(decideAllServices)->Unit(benchmark::kMicrosecond);

void mergeGossip(benchmark::State &State) {
  const membership_policy Policy;
  membership_state Members = targetMembers();
  std::uint64_t Incarnation = 0;
  int Number = 1;
  for (auto _ : State) {
    ++Incarnation;
    for (std::size_t Update = 0; Update < Policy.MaxUpdatesPerMessage; ++Update)
      mergeMember(Members, Policy,
                  {numbered("host", Number++ % Hosts), "z", "10.0.0.1:1",
                   Incarnation, member_status::Alive},
                  time_point());
    benchmark::DoNotOptimize(takeUpdates(Members, Policy));
  }
}
BENCHMARK(mergeGossip);

void hashMembers(benchmark::State &State) {
  const membership_state Members = targetMembers();
  for (auto _ : State)
    benchmark::DoNotOptimize(membershipHash(Members));
}
BENCHMARK(hashMembers);

void findOwnerOfOneKey(benchmark::State &State) {
  const std::vector<std::string> Live = liveHosts(targetMembers());
  for (auto _ : State)
    benchmark::DoNotOptimize(ownerOf("judge/service-7", Live));
}
BENCHMARK(findOwnerOfOneKey);

void listLiveHosts(benchmark::State &State) {
  const membership_state Members = targetMembers();
  for (auto _ : State)
    benchmark::DoNotOptimize(liveHosts(Members));
}
BENCHMARK(listLiveHosts);

void readTargetManifest(benchmark::State &State) {
  const std::string Text = json::serialize(toJson(targetManifest()));
  for (auto _ : State)
    benchmark::DoNotOptimize(readManifest(std::string_view(Text)));
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(readTargetManifest)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
