#include "entry_host/slot_wire.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coriandertray {

namespace {

std::uint32_t toWireMs(duration Value) {
  const auto Ms = std::chrono::duration_cast<milliseconds>(Value).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Ms, 0, 3'600'000));
}

std::unique_ptr<wire::rate_limit_report_value> toWire(const rate_limit &Limit) {
  auto Value = std::make_unique<wire::rate_limit_report_value>();
  Value->limited = Limit.RequestsPerSecond.has_value();
  Value->requests_per_s = Limit.RequestsPerSecond.value_or(0);
  return Value;
}

// Other hosts send limits that passed parseRateLimit(); a value out of its
// range counts as no limit.
rate_limit fromWire(const wire::rate_limit_report_value &Value) {
  const bool IsValid = Value.limited && std::isfinite(Value.requests_per_s) &&
                       Value.requests_per_s >= 0;
  return IsValid ? rate_limit{Value.requests_per_s} : rate_limit{};
}

std::unique_ptr<wire::known_backend_report_value>
toWire(const known_backend_report &Known, time_point Now) {
  auto Value = std::make_unique<wire::known_backend_report_value>();
  Value->backend_server = Known.Backend;
  Value->started_at_unix_ms = Known.StartedAtUnixMs;
  if (Known.Limit.RequestsPerSecond)
    Value->limit = toWire(Known.Limit);
  Value->age_ms = toWireMs(Now - Known.LimitReportedAt);
  Value->leaving = Known.Leaving;
  Value->held_ms = toWireMs(Known.HeldUntil - Now);
  return Value;
}

known_backend_report fromWire(const wire::known_backend_report_value &Value,
                              time_point Now) {
  known_backend_report Known;
  Known.Backend = Value.backend_server;
  Known.StartedAtUnixMs = Value.started_at_unix_ms;
  if (Value.limit)
    Known.Limit = fromWire(*Value.limit);
  Known.LimitReportedAt = Now - milliseconds(Value.age_ms);
  Known.Leaving = Value.leaving;
  Known.HeldUntil = Now + milliseconds(Value.held_ms);
  return Known;
}

std::unique_ptr<wire::attempt_slice_value> toWire(const attempt_slice &Slice,
                                                  time_point Now) {
  auto Value = std::make_unique<wire::attempt_slice_value>();
  Value->age_ms = toWireMs(Now - Slice.Start);
  Value->requests = static_cast<float>(Slice.Requests);
  Value->retries = static_cast<float>(Slice.Retries);
  return Value;
}

// Numbers that no host counts are taken as zero.
attempt_slice fromWire(const wire::attempt_slice_value &Value, time_point Now) {
  const auto Count = [](double Number) {
    return std::isfinite(Number) && Number > 0 ? Number : 0;
  };
  return {Now - milliseconds(Value.age_ms), Count(Value.requests),
          Count(Value.retries)};
}

} // namespace

wire::slot_request_value toWire(const slot_request &Request,
                                const std::string &Pool, time_point Now) {
  wire::slot_request_value Value;
  Value.id = Request.Key.Id;
  Value.host = Request.Key.Host;
  Value.zone = Request.Zone;
  Value.pool = Pool;
  Value.work = Request.RequestClass;
  Value.idempotent = Request.Idempotent;
  Value.body_bytes = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      Request.BodyBytes, std::numeric_limits<std::uint32_t>::max()));
  Value.priority = static_cast<std::uint8_t>(std::min(Request.Priority, 255U));
  Value.target_ms = toWireMs(Request.Target - Now);
  Value.deadline_ms = toWireMs(Request.Deadline - Now);
  Value.repeat = static_cast<std::uint8_t>(Request.RetryReason);
  Value.tried = Request.Tried;
  Value.unreachable = Request.Unreachable;
  for (const known_backend_report &Known : Request.KnownReports)
    Value.known_reports.push_back(toWire(Known, Now));
  for (const attempt_slice &Slice : Request.RecentAttempts)
    Value.recent_attempts.push_back(toWire(Slice, Now));
  Value.account = Request.Account;
  Value.account_priority =
      static_cast<std::uint8_t>(std::min(Request.AccountPriority, 255U));
  Value.account_weight = static_cast<float>(Request.AccountWeight);
  return Value;
}

slot_request fromWire(const wire::slot_request_value &Value, time_point Now) {
  slot_request Request;
  Request.Key = {Value.host, Value.id};
  Request.Zone = Value.zone;
  Request.RequestClass = Value.work;
  Request.Idempotent = Value.idempotent;
  Request.BodyBytes = Value.body_bytes;
  Request.Priority = Value.priority;
  Request.RequestedAt = Now;
  Request.Target = Now + milliseconds(Value.target_ms);
  Request.Deadline = Now + milliseconds(Value.deadline_ms);
  Request.RetryReason = static_cast<retry_reason>(std::min<std::uint8_t>(
      Value.repeat, static_cast<std::uint8_t>(retry_reason::Hedge)));
  Request.Tried = Value.tried;
  Request.Unreachable = Value.unreachable;
  for (const auto &Entry : Value.known_reports)
    Request.KnownReports.push_back(fromWire(*Entry, Now));
  for (const auto &Entry : Value.recent_attempts)
    Request.RecentAttempts.push_back(fromWire(*Entry, Now));
  Request.Account = Value.account;
  Request.AccountPriority = Value.account_priority;
  const bool WeightIsValid =
      std::isfinite(Value.account_weight) && Value.account_weight > 0;
  Request.AccountWeight = WeightIsValid ? Value.account_weight : 1;
  return Request;
}

wire::slot_answer_value toWire(const slot_answer &Answer) {
  wire::slot_answer_value Value;
  Value.id = Answer.Key.Id;
  Value.verdict = static_cast<wire::slot_verdict>(Answer.Verdict);
  Value.backend_server = Answer.Backend;
  Value.started_at_unix_ms = Answer.StartedAtUnixMs;
  if (Answer.Verdict == slot_verdict::Granted)
    Value.address = toString(Answer.Address);
  Value.hedge_after_ms = toWireMs(Answer.HedgeAfter);
  Value.retry_after_ms = toWireMs(Answer.RetryAfter);
  Value.reason = Answer.Reason;
  return Value;
}

result<slot_answer> fromWire(const wire::slot_answer_value &Value,
                             const std::string &Self) {
  slot_answer Answer;
  Answer.Key = {Self, Value.id};
  Answer.Verdict = static_cast<slot_verdict>(Value.verdict);
  Answer.Backend = Value.backend_server;
  Answer.StartedAtUnixMs = Value.started_at_unix_ms;
  if (Answer.Verdict == slot_verdict::Granted) {
    const result<socket_address> Address = parseAddress(Value.address);
    if (!Address)
      return fail(error_code::FrameMalformed, "grant without an address");
    Answer.Address = *Address;
  }
  Answer.HedgeAfter = milliseconds(Value.hedge_after_ms);
  Answer.RetryAfter = milliseconds(Value.retry_after_ms);
  Answer.Reason = Value.reason;
  return Answer;
}

wire::slot_end_value toWire(const slot_release &End, const std::string &Pool) {
  wire::slot_end_value Value;
  Value.id = End.Key.Id;
  Value.host = End.Key.Host;
  Value.pool = Pool;
  Value.outcome = static_cast<std::uint8_t>(End.Outcome);
  Value.elapsed_ms = toWireMs(End.Elapsed);
  if (End.Report) {
    if (End.Report->Limit)
      Value.rate_limit = toWire(*End.Report->Limit);
    Value.leaving = End.Report->Leaving;
    Value.hold_off_ms = toWireMs(End.Report->HoldOff);
  }
  return Value;
}

slot_release fromWire(const wire::slot_end_value &Value) {
  slot_release End;
  End.Key = {Value.host, Value.id};
  End.Outcome = static_cast<slot_outcome>(std::min<std::uint8_t>(
      Value.outcome, static_cast<std::uint8_t>(slot_outcome::NotUsed)));
  End.Elapsed = milliseconds(Value.elapsed_ms);
  backend_report Report;
  if (Value.rate_limit)
    Report.Limit = fromWire(*Value.rate_limit);
  Report.Leaving = Value.leaving;
  Report.HoldOff = milliseconds(Value.hold_off_ms);
  if (Report != backend_report())
    End.Report = Report;
  return End;
}

wire::slot_use_value toWire(const slot_lease_report &Report,
                            const std::string &Pool, time_point Now) {
  wire::slot_use_value Value;
  Value.id = Report.Key.Id;
  Value.host = Report.Key.Host;
  Value.pool = Pool;
  Value.backend_server = Report.Backend;
  Value.work = Report.RequestClass;
  Value.age_ms = toWireMs(Now - Report.Start);
  Value.deadline_ms = toWireMs(Report.Deadline - Now);
  return Value;
}

slot_lease_report fromWire(const wire::slot_use_value &Value, time_point Now) {
  slot_lease_report Report;
  Report.Key = {Value.host, Value.id};
  Report.Backend = Value.backend_server;
  Report.RequestClass = Value.work;
  Report.Start = Now - milliseconds(Value.age_ms);
  Report.Deadline = Now + milliseconds(Value.deadline_ms);
  return Report;
}

std::vector<std::unique_ptr<wire::backend_entry_value>>
toWire(const std::vector<backend_registration> &Backends) {
  std::vector<std::unique_ptr<wire::backend_entry_value>> Values;
  for (const backend_registration &Backend : Backends) {
    auto Value = std::make_unique<wire::backend_entry_value>();
    Value->name = Backend.Name;
    Value->service = Backend.Service;
    Value->address = toString(Backend.Address);
    Value->zone = Backend.Zone;
    Value->slots = Backend.Slots;
    Value->draining = Backend.Draining;
    Value->warm_up_ms = toWireMs(Backend.WarmUpRemaining);
    Value->born_ms = Backend.StartedAtUnixMs;
    Value->sequence = Backend.Sequence;
    Values.push_back(std::move(Value));
  }
  return Values;
}

std::vector<backend_registration> fromWire(
    const std::vector<std::unique_ptr<wire::backend_entry_value>> &Values) {
  std::vector<backend_registration> Backends;
  for (const auto &Value : Values) {
    const result<socket_address> Address = parseAddress(Value->address);
    if (!Address)
      continue;
    Backends.push_back({Value->name, Value->service, *Address, Value->zone,
                        std::max(1U, Value->slots), Value->draining,
                        milliseconds(Value->warm_up_ms), Value->born_ms,
                        Value->sequence});
  }
  return Backends;
}

std::vector<std::unique_ptr<wire::member_entry_value>>
toWire(const std::vector<fleet_member> &Members) {
  std::vector<std::unique_ptr<wire::member_entry_value>> Values;
  for (const fleet_member &Member : Members) {
    auto Value = std::make_unique<wire::member_entry_value>();
    Value->host = Member.Host;
    Value->zone = Member.Zone;
    Value->address = toString(Member.Address);
    Value->capacity = Member.CapacityMillicores;
    Values.push_back(std::move(Value));
  }
  return Values;
}

std::vector<fleet_member>
fromWire(const std::vector<std::unique_ptr<wire::member_entry_value>> &Values) {
  std::vector<fleet_member> Members;
  for (const auto &Value : Values) {
    const result<socket_address> Address = parseAddress(Value->address);
    if (Address)
      Members.push_back({Value->host, Value->zone, *Address, Value->capacity});
  }
  return Members;
}

} // namespace coriandertray
