#include "agent_server.h"

namespace coriandertray {

namespace {

json::string toJsonText(std::string_view Text) {
  return json::string(Text.data(), Text.size());
}

json::object dumpMember(const member_record &Record) {
  return {{"host", Record.Host},
          {"zone", Record.Zone},
          {"address", Record.Address},
          {"incarnation", Record.Incarnation},
          {"status", toJsonText(memberStatusName(Record.Status))}};
}

json::object dumpChange(const verdict_change &Change) {
  const backend_verdict &Verdict = Change.Verdict;
  json::object Object;
  Object["at_ms"] = Change.AtMs;
  Object["service"] = Change.Service;
  Object["backend_server"] = Verdict.BackendServer;
  Object["standing"] = toJsonText(statusName(Verdict.Status));
  Object["weight_percent"] = Verdict.WeightPercent;
  Object["reason"] = Verdict.Reason;
  Object["succeeded"] = Verdict.Evidence.Succeeded;
  Object["failed"] = Verdict.Evidence.Failed;
  Object["late"] = Verdict.Evidence.Late;
  Object["reporters"] = Verdict.Reporters;
  Object["avoid_zones"] = json::value_from(Verdict.AvoidZones);
  Object["judge"] = Change.DetectorHost;
  return Object;
}

} // namespace

json::array agent_server::explain(std::string_view Service) const {
  json::array Changes;
  for (const verdict_change &Change : Detection.history())
    if (Service.empty() || Change.Service == Service)
      Changes.push_back(dumpChange(Change));
  return Changes;
}

json::object agent_server::dump() const {
  json::array MemberList;
  for (const member_record &Record : allMembers(Members))
    MemberList.push_back(dumpMember(Record));
  json::object Versions;
  for (const entry_version &Entry : Table.versions())
    Versions[Entry.Key] = Entry.Version;
  json::object Object;
  Object["program"] = "coriandertray-agent";
  Object["host"] = Settings.Host;
  Object["zone"] = Settings.Zone;
  Object["config_version"] = ConfigVersion;
  Object["is_watcher"] = Watcher.isWatcher();
  Object["judges"] = json::value_from(Detection.ownedServices());
  Object["live_hosts"] = LiveHostCount;
  Object["members"] = std::move(MemberList);
  Object["entries"] = std::move(Versions);
  Object["connected_proxies"] = Proxies.size();
  Object["peer_bytes_sent"] = Peers.bytesSent();
  Object["exchanges"] = Peers.exchanges();
  Object["claim_commits"] = Claims.commits();
  Object["claim_changes"] = Claims.changes();
  Object["verdict_changes"] = Detection.history().size();
  return Object;
}

} // namespace coriandertray
