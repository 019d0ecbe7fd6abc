#include "outlier_detection_runner.h"

#include "utils/log.h"
#include "wire/conversions.h"

#include <algorithm>
#include <chrono>

namespace coriandertray {

namespace {

constexpr std::size_t MaxHistory = 500;

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

const backend_verdict *findVerdict(const verdict_set &Set,
                                   const std::string &Name) {
  const auto Found =
      std::ranges::find(Set.Verdicts, Name, &backend_verdict::BackendServer);
  return Found == Set.Verdicts.end() ? nullptr : &*Found;
}

bool sameDecision(const backend_verdict &Left, const backend_verdict &Right) {
  return Left.Status == Right.Status && Left.AvoidZones == Right.AvoidZones;
}

} // namespace

std::string verdictKey(std::string_view Service) {
  return "verdict/" + std::string(Service);
}

std::string detectorHostOf(const owner_cache &Owners,
                           std::string_view Service) {
  return Owners.ownerOf("judge/" + std::string(Service));
}

outlier_detection_runner::outlier_detection_runner(
    const clock_source &Clock, const membership_state &Members,
    const owner_cache &Owners, const versioned_table &Table,
    entry_handler OnVerdicts)
    : Clock(Clock), Members(Members), Owners(Owners), Table(Table),
      OnVerdicts(std::move(OnVerdicts)) {}

outlier_detection_state &
outlier_detection_runner::stateOf(const std::string &Service) {
  const auto [Iterator, IsNew] = States.try_emplace(Service);
  if (!IsNew)
    return Iterator->second;
  Iterator->second.DecayedAt = Clock.now();
  const versioned_entry *Entry = Table.find(verdictKey(Service));
  const auto Previous = Entry ? unpackVerdictSet(Entry->Payload)
                              : fail(error_code::ObjectMissing, Service);
  if (Previous)
    adoptVerdicts(Iterator->second, Policy, fromWire(*Previous), Clock.now());
  logEvent(log_level::Info, "judge-started", {{"service", Service}});
  return Iterator->second;
}

void outlier_detection_runner::addReport(const evidence_report &Report,
                                         const manifest &Manifest) {
  for (const auto &[Name, Evidence] : Report.Services) {
    const service *Service = findService(Manifest, Name);
    if (Service && detectorHostOf(Owners, Name) == Members.Self.Host)
      addEvidence(stateOf(Name), Policy, *Service, Report.Host, Report.Zone,
                  Evidence, Clock.now());
  }
}

void outlier_detection_runner::updateAllVerdicts(
    const manifest &Manifest,
    const std::set<std::string, std::less<>> &Leaving) {
  std::erase_if(States, [&](const auto &Entry) {
    const std::string &Name = Entry.first;
    return !findService(Manifest, Name) ||
           detectorHostOf(Owners, Name) != Members.Self.Host;
  });
  for (const service &Service : Manifest.Services) {
    if (detectorHostOf(Owners, Service.Name) != Members.Self.Host)
      continue;
    outlier_detection_state &State = stateOf(Service.Name);
    if (updateVerdicts(State, Policy, Service, Leaving, Clock.now()))
      publish(Service, State);
  }
}

void outlier_detection_runner::publish(const service &Service,
                                       const outlier_detection_state &State) {
  const std::string Key = verdictKey(Service.Name);
  const versioned_entry *Current = Table.find(Key);
  verdict_set Set;
  Set.Service = Service.Name;
  // After a restart of all agents the table is empty. The time then keeps the
  // versions increasing.
  Set.Version = std::max<std::uint64_t>(Current ? Current->Version + 1 : 1,
                                        static_cast<std::uint64_t>(unixMs()));
  Set.DetectorHost = Members.Self.Host;
  Set.Verdicts = currentVerdicts(State, Service);
  OnVerdicts({Key, Set.Version, packVerdictSet(toWire(Set))});
}

std::vector<std::pair<std::string, backend_server>>
outlier_detection_runner::drainingServers(const manifest &Manifest) const {
  std::vector<std::pair<std::string, backend_server>> Servers;
  for (const auto &[Name, State] : States) {
    const service *Service = findService(Manifest, Name);
    if (!Service)
      continue;
    for (const std::string &Draining : drainingBackends(State))
      if (const backend_server *Server = findBackendServer(*Service, Draining))
        Servers.emplace_back(Name, *Server);
  }
  return Servers;
}

void outlier_detection_runner::recordProbe(const std::string &Service,
                                           const std::string &BackendServer,
                                           bool Draining) {
  const auto Found = States.find(Service);
  if (Found != States.end())
    recordDrainProbe(Found->second, BackendServer, Draining);
}

void outlier_detection_runner::recordVerdicts(const verdict_set &Set) {
  const verdict_set Previous = std::exchange(LatestVerdicts[Set.Service], Set);
  for (const backend_verdict &Verdict : Set.Verdicts) {
    const backend_verdict *Old = findVerdict(Previous, Verdict.BackendServer);
    const backend_verdict Initial;
    if (sameDecision(Old ? *Old : Initial, Verdict))
      continue;
    History.push_back({unixMs(), Set.Service, Set.DetectorHost, Verdict});
    logEvent(log_level::Info, "verdict",
             {{"service", Set.Service},
              {"backend_server", Verdict.BackendServer},
              {"standing", std::string(statusName(Verdict.Status))},
              {"reason", Verdict.Reason},
              {"evidence", describe(Verdict.Evidence)},
              {"judge", Set.DetectorHost}});
  }
  while (History.size() > MaxHistory)
    History.pop_front();
}

std::set<std::string> outlier_detection_runner::ownedServices() const {
  std::set<std::string> Names;
  for (const auto &[Name, State] : States)
    Names.insert(Name);
  return Names;
}

} // namespace coriandertray
