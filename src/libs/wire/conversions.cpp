#include "wire/conversions.h"

namespace coriandertray {

namespace {

std::unique_ptr<wire::backend_verdict_value>
toWire(const backend_verdict &Verdict) {
  auto Value = std::make_unique<wire::backend_verdict_value>();
  Value->backend_server = Verdict.BackendServer;
  Value->kind = static_cast<wire::verdict_kind>(Verdict.Status);
  Value->weight_percent = static_cast<std::uint8_t>(Verdict.WeightPercent);
  Value->reason = Verdict.Reason;
  Value->succeeded = Verdict.Evidence.Succeeded;
  Value->failed = Verdict.Evidence.Failed;
  Value->late = Verdict.Evidence.Late;
  Value->slow = Verdict.Evidence.Slow;
  Value->reporters = Verdict.Reporters;
  Value->avoid_zones = Verdict.AvoidZones;
  return Value;
}

backend_verdict fromWire(const wire::backend_verdict_value &Value) {
  return {Value.backend_server,
          static_cast<backend_status>(Value.kind),
          Value.weight_percent,
          Value.reason,
          {Value.succeeded, Value.failed, Value.late, Value.slow, 0},
          Value.reporters,
          Value.avoid_zones};
}

std::unique_ptr<wire::service_evidence_value>
toWire(const std::string &Service, const service_evidence &Evidence) {
  auto Value = std::make_unique<wire::service_evidence_value>();
  Value->service = Service;
  for (const auto &[Name, Item] : Evidence) {
    auto Backend = std::make_unique<wire::backend_evidence_value>();
    Backend->backend_server = Name;
    Backend->succeeded = Item.Counts.Succeeded;
    Backend->failed = Item.Counts.Failed;
    Backend->late = Item.Counts.Late;
    Backend->slow = Item.Counts.Slow;
    Backend->refused = Item.Counts.Refused;
    Backend->draining = Item.Draining;
    Value->items.push_back(std::move(Backend));
  }
  return Value;
}

service_evidence fromWire(const wire::service_evidence_value &Value) {
  service_evidence Evidence;
  for (const auto &Item : Value.items)
    if (Item)
      Evidence[Item->backend_server] = {{Item->succeeded, Item->failed,
                                         Item->late, Item->slow, Item->refused},
                                        Item->draining};
  return Evidence;
}

} // namespace

wire::verdict_set_value toWire(const verdict_set &Set) {
  wire::verdict_set_value Value;
  Value.service = Set.Service;
  Value.version = Set.Version;
  Value.judge = Set.DetectorHost;
  for (const backend_verdict &Verdict : Set.Verdicts)
    Value.items.push_back(toWire(Verdict));
  return Value;
}

verdict_set fromWire(const wire::verdict_set_value &Value) {
  verdict_set Set = {Value.service, Value.version, Value.judge, {}};
  for (const auto &Item : Value.items)
    if (Item)
      Set.Verdicts.push_back(fromWire(*Item));
  return Set;
}

wire::evidence_report_value toWire(const evidence_report &Report) {
  wire::evidence_report_value Value;
  Value.host = Report.Host;
  Value.zone = Report.Zone;
  for (const auto &[Service, Evidence] : Report.Services)
    Value.services.push_back(toWire(Service, Evidence));
  return Value;
}

evidence_report fromWire(const wire::evidence_report_value &Value) {
  evidence_report Report = {Value.host, Value.zone, {}};
  for (const auto &Service : Value.services)
    if (Service)
      Report.Services[Service->service] = fromWire(*Service);
  return Report;
}

std::unique_ptr<wire::member_record_value> toWire(const member_record &Record) {
  auto Value = std::make_unique<wire::member_record_value>();
  Value->host = Record.Host;
  Value->zone = Record.Zone;
  Value->address = Record.Address;
  Value->incarnation = Record.Incarnation;
  Value->status = static_cast<wire::member_status>(Record.Status);
  return Value;
}

member_record fromWire(const wire::member_record_value &Value) {
  return {Value.host, Value.zone, Value.address, Value.incarnation,
          static_cast<member_status>(Value.status)};
}

std::unique_ptr<wire::entry_value> toWire(const versioned_entry &Entry) {
  auto Value = std::make_unique<wire::entry_value>();
  Value->key = Entry.Key;
  Value->version = Entry.Version;
  Value->payload = Entry.Payload;
  return Value;
}

versioned_entry fromWire(const wire::entry_value &Value) {
  return {Value.key, Value.version, Value.payload};
}

std::unique_ptr<wire::entry_version_value>
toWire(const entry_version &Version) {
  auto Value = std::make_unique<wire::entry_version_value>();
  Value->key = Version.Key;
  Value->version = Version.Version;
  return Value;
}

entry_version fromWire(const wire::entry_version_value &Value) {
  return {Value.key, Value.version};
}

wire::claim_request_value toWire(const claim_change &Change,
                                 milliseconds Retention) {
  wire::claim_request_value Value;
  Value.key = Change.Key;
  Value.token = Change.Token;
  Value.action = Change.Action == claim_action::Claim
                     ? wire::claim_action::Claim
                     : wire::claim_action::Release;
  Value.retention_ms = static_cast<std::uint64_t>(Retention.count());
  return Value;
}

claim_change fromWire(const wire::claim_request_value &Value) {
  claim_change Change;
  Change.Key = Value.key;
  Change.Token = Value.token;
  Change.Action = Value.action == wire::claim_action::Claim
                      ? claim_action::Claim
                      : claim_action::Release;
  return Change;
}

} // namespace coriandertray
