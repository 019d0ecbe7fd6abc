#include "load_run.h"

#include "fake_backend_server/work_response.h"
#include "http/http_message.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr duration ResendDelay = milliseconds(100);
constexpr duration RecordsTimeout = seconds(30);
constexpr int MaxConnectAttempts = 4;

result<std::vector<socket_address>> readAddresses(const json::object &Object,
                                                  std::string_view Key) {
  std::vector<socket_address> Addresses;
  const json::value *Array = Object.if_contains({Key.data(), Key.size()});
  if (!Array || !Array->is_array())
    return Addresses;
  for (const json::value &Element : Array->get_array()) {
    const result<socket_address> Address = parseAddress(
        Element.is_string() ? std::string(Element.get_string()) : "");
    if (!Address)
      return tl::unexpected(Address.error());
    Addresses.push_back(*Address);
  }
  return Addresses;
}

request_class readClass(const json::object &Object) {
  request_class Class;
  Class.Name = stringAt(Object, "name");
  Class.Method = stringAt(Object, "method", "GET");
  Class.Host = stringAt(Object, "host");
  Class.Path = stringAt(Object, "path", "/");
  Class.Share = numberAt(Object, "share", 1);
  Class.Idempotent = boolAt(Object, "idempotent", true);
  Class.Keyed = boolAt(Object, "keyed");
  return Class;
}

work_outcome classify(const call_result &Result, const std::string &WorkId,
                      const std::string &Target) {
  constexpr unsigned Ok = 200;
  if (Result.Status == call_status::TimedOut)
    return work_outcome::Unknown;
  if (Result.Status == call_status::Truncated ||
      Result.Status == call_status::Malformed)
    return work_outcome::WrongAnswer;
  if (Result.Status != call_status::Answered)
    return work_outcome::Broken;
  const std::string ReportedOutcome =
      findHeader(Result.Response.Headers, header::Outcome).value_or("");
  if (ReportedOutcome == outcome::NotRun)
    return work_outcome::NotRun;
  if (ReportedOutcome == outcome::Unknown)
    return work_outcome::Unknown;
  if (ReportedOutcome == outcome::Duplicate)
    return work_outcome::Duplicate;
  if (Result.Response.Status != Ok)
    return work_outcome::Failed;
  return Result.Response.Body == workResponseBody(WorkId, Target)
             ? work_outcome::Done
             : work_outcome::WrongAnswer;
}

bool mayHaveRun(work_outcome Outcome) {
  return Outcome == work_outcome::Unknown || Outcome == work_outcome::Broken;
}

json::object
outcomeCounts(const std::map<work_outcome, std::uint64_t> &Counts) {
  json::object Object;
  for (const auto &[Outcome, Count] : Counts) {
    const std::string_view Name = workOutcomeName(Outcome);
    Object[{Name.data(), Name.size()}] = Count;
  }
  return Object;
}

std::uint64_t countOf(const std::map<work_outcome, std::uint64_t> &Counts,
                      work_outcome Outcome) {
  const auto Found = Counts.find(Outcome);
  return Found == Counts.end() ? 0 : Found->second;
}

} // namespace

std::string_view workOutcomeName(work_outcome Outcome) {
  switch (Outcome) {
  case work_outcome::Done:
    return "done";
  case work_outcome::WrongAnswer:
    return "wrong";
  case work_outcome::NotRun:
    return "not_run";
  case work_outcome::Unknown:
    return "unknown";
  case work_outcome::Duplicate:
    return "duplicate";
  case work_outcome::Failed:
    return "failed";
  case work_outcome::Broken:
    return "broken";
  }
  return "unknown";
}

result<load_plan> readPlan(const json::object &Object) {
  load_plan Plan;
  const auto Targets = readAddresses(Object, "targets");
  const auto Controls = readAddresses(Object, "controls");
  if (!Targets || !Controls)
    return tl::unexpected((Targets ? Controls : Targets).error());
  Plan.Targets = *Targets;
  Plan.Controls = *Controls;
  const json::value *Classes = Object.if_contains("classes");
  if (!Classes || !Classes->is_array() || Classes->get_array().empty() ||
      Plan.Targets.empty())
    return fail(error_code::FieldMissing,
                "a plan needs \"targets\" and \"classes\"");
  for (const json::value &Class : Classes->get_array())
    if (Class.is_object())
      Plan.Classes.push_back(readClass(Class.get_object()));
  const json::value *Accounts = Object.if_contains("accounts");
  if (Accounts && Accounts->is_array())
    for (const json::value &Account : Accounts->get_array())
      if (Account.is_string())
        Plan.Accounts.emplace_back(Account.get_string());
  if (Plan.Accounts.empty())
    Plan.Accounts.emplace_back("load");
  return Plan;
}

load_run::load_run(asio::io_context &Context, load_plan Plan)
    : Context(Context), Plan(std::move(Plan)),
      Client(Context, {.IdleConnectionsPerAddress = 64}),
      Random(this->Plan.Seed),
      Timeline(static_cast<std::size_t>(this->Plan.Seconds) + 1) {}

double load_run::rateFactorAt(double Seconds) const {
  double Factor = 1;
  for (const rate_step &Step : Plan.RateSteps)
    if (Step.AtSeconds <= Seconds)
      Factor = Step.Factor;
  return Factor;
}

const request_class &load_run::drawClass() {
  const double Total = std::accumulate(
      Plan.Classes.begin(), Plan.Classes.end(), 0.0,
      [](double Sum, const request_class &Class) { return Sum + Class.Share; });
  double Draw = std::uniform_real_distribution<>(0, Total)(Random);
  for (const request_class &Class : Plan.Classes) {
    Draw -= Class.Share;
    if (Draw < 0)
      return Class;
  }
  return Plan.Classes.back();
}

asio::awaitable<void> load_run::run() {
  StartedAt = std::chrono::steady_clock::now();
  const time_point End =
      StartedAt + std::chrono::duration_cast<duration>(
                      std::chrono::duration<double>(Plan.Seconds));
  asio::steady_timer Timer(Context);
  std::uint64_t Number = 0;
  time_point Due = StartedAt;
  while (Due < End) {
    Timer.expires_at(Due);
    co_await Timer.async_wait(UseTuple);
    asio::co_spawn(Context, sendRequest(Number++, Due), asio::detached);
    const double Rate =
        std::max(0.1, Plan.Rate * rateFactorAt(toSeconds(Due - StartedAt)));
    Due += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        std::exponential_distribution<>(Rate)(Random)));
  }
  while (InFlight > 0) {
    Timer.expires_after(milliseconds(20));
    co_await Timer.async_wait(UseTuple);
  }
  co_await checkRecords();
}

asio::awaitable<void> load_run::sendRequest(std::uint64_t Number,
                                            time_point Due) {
  ++InFlight;
  const request_class Class = drawClass();
  const std::string WorkId =
      "w" + std::to_string(Plan.Seed) + "-" + std::to_string(Number);
  const std::string Account = Plan.Accounts[Random() % Plan.Accounts.size()];
  const auto Second = static_cast<std::size_t>(toSeconds(Due - StartedAt));
  ++Timeline[std::min(Second, Timeline.size() - 1)].Sent;
  attempt_result Result = co_await attempt(Class, WorkId, Account);
  if (Class.Keyed && mayHaveRun(Result.Outcome)) {
    ++Resends;
    asio::steady_timer ResendTimer(Context, ResendDelay);
    co_await ResendTimer.async_wait(UseTuple);
    const attempt_result Resent = co_await attempt(Class, WorkId, Account);
    // If the resend was not run, the first attempt still may have been: the
    // outcome stays that of the first one.
    if (Resent.Outcome != work_outcome::NotRun)
      Result = Resent;
  }
  recordResult(Class, WorkId, Result, Due);
  --InFlight;
}

asio::awaitable<load_run::attempt_result>
load_run::attempt(const request_class &Class, std::string WorkId,
                  std::string Account) {
  http_request Request;
  Request.Method = Class.Method;
  Request.Target = Class.Path + "/" + WorkId;
  Request.Headers = {{"Host", Class.Host.empty() ? "load" : Class.Host},
                     {std::string(WorkIdHeader), WorkId},
                     {std::string(header::Account), Account}};
  if (Class.Keyed)
    setHeader(Request.Headers, header::IdempotencyKey, WorkId);
  if (Class.Method != "GET")
    Request.Body = "order " + WorkId;
  call_options Options;
  Options.Timeout = Plan.Timeout;
  Options.MaxIdleAge = seconds(1);
  call_result Result;
  // Like the platform's load balancer, try the next host if one does not accept
  // the connection.
  for (int Tries = 0; Tries < MaxConnectAttempts; ++Tries) {
    const socket_address Target =
        Plan.Targets[NextTarget++ % Plan.Targets.size()];
    Result = co_await Client.call(Target, Request, Options);
    if (!provesNotRun(Result.Status))
      break;
  }
  attempt_result Ended;
  Ended.Outcome = classify(Result, WorkId, Request.Target);
  Ended.ServiceMs =
      std::atof(findHeader(Result.Response.Headers, ServiceMsHeader)
                    .value_or("0")
                    .c_str());
  Ended.Hedged =
      findHeader(Result.Response.Headers, header::Hedged).has_value();
  co_return Ended;
}

void load_run::recordResult(const request_class &Class,
                            const std::string &WorkId,
                            const attempt_result &Ended, time_point Due) {
  const work_outcome Outcome = Ended.Outcome;
  const duration Elapsed = std::chrono::steady_clock::now() - Due;
  WorkRecords[WorkId] = {Class.Idempotent, Outcome};
  Samples.push_back({toSeconds(Due - StartedAt), Class.Name, Outcome,
                     toMilliseconds(Elapsed), Ended.ServiceMs, Ended.Hedged});
  const auto Second = static_cast<std::size_t>(toSeconds(Due - StartedAt));
  second_result &Bucket = Timeline[std::min(Second, Timeline.size() - 1)];
  ++Bucket.Outcomes[Outcome];
  if (Outcome == work_outcome::Done)
    Bucket.Latency.record(Elapsed);
  for (class_result *Result : {&Classes[Class.Name], &Total}) {
    ++Result->Outcomes[Outcome];
    if (Outcome == work_outcome::Done)
      Result->Latency.record(Elapsed);
    if (Outcome == work_outcome::NotRun)
      Result->Refusal.record(Elapsed);
  }
}

asio::awaitable<void> load_run::checkRecords() {
  if (Plan.Controls.empty())
    co_return;
  std::map<std::string, std::uint64_t> Counts;
  RecordsChecked = true;
  for (const socket_address &Control : Plan.Controls) {
    http_request Request;
    Request.Method = "GET";
    Request.Target = "/control/executions";
    call_options Options;
    Options.Timeout = RecordsTimeout;
    const call_result Result =
        co_await Client.call(Control, std::move(Request), Options);
    const result<json::value> Body = parseJson(Result.Response.Body);
    if (Result.Status != call_status::Answered || !Body || !Body->is_object()) {
      logEvent(log_level::Error, "records-unreadable",
               {{"control", toString(Control)}});
      RecordsChecked = false;
      continue;
    }
    for (const auto &[Server, Executions] : Body->get_object())
      for (const auto &[WorkId, Count] : Executions.as_object())
        Counts[std::string(WorkId)] += Count.to_number<std::uint64_t>();
  }
  for (const auto &[WorkId, Work] : WorkRecords) {
    const auto Found = Counts.find(WorkId);
    const std::uint64_t Count = Found == Counts.end() ? 0 : Found->second;
    Executed += Count;
    Doubled += !Work.Idempotent && Count > 1 ? 1 : 0;
    Lost += Work.Outcome == work_outcome::Done && Count == 0 ? 1 : 0;
    FalseNotRun += Work.Outcome == work_outcome::NotRun && Count > 0 ? 1 : 0;
  }
}

std::string load_run::samples() const {
  std::string Lines = "due_s,class,outcome,latency_ms,service_ms,hedged\n";
  for (const work_sample &Sample : Samples) {
    Lines += std::to_string(Sample.DueSeconds) + "," + Sample.ClassName + ",";
    Lines += std::string(workOutcomeName(Sample.Outcome)) + ",";
    Lines += std::to_string(Sample.LatencyMs) + ",";
    Lines += std::to_string(Sample.ServiceMs) + ",";
    Lines += Sample.Hedged ? "1\n" : "0\n";
  }
  return Lines;
}

json::object load_run::classSummary(const class_result &Result) const {
  json::object Object = outcomeCounts(Result.Outcomes);
  Object["p50_ms"] = Result.Latency.quantileMs(0.5);
  Object["p90_ms"] = Result.Latency.quantileMs(0.9);
  Object["p99_ms"] = Result.Latency.quantileMs(0.99);
  Object["refusal_p99_ms"] = Result.Refusal.quantileMs(0.99);
  return Object;
}

json::object load_run::summary() const {
  json::object Summary = classSummary(Total);
  Summary["requests"] = WorkRecords.size();
  Summary["seconds"] = Plan.Seconds;
  Summary["seed"] = Plan.Seed;
  Summary["wrong"] = countOf(Total.Outcomes, work_outcome::WrongAnswer);
  Summary["resends"] = Resends;
  Summary["records_checked"] = RecordsChecked;
  if (RecordsChecked) {
    Summary["executed"] = Executed;
    Summary["doubled"] = Doubled;
    Summary["lost"] = Lost;
    Summary["false_not_run"] = FalseNotRun;
  }
  json::object ByClass;
  for (const auto &[Name, Result] : Classes)
    ByClass[Name] = classSummary(Result);
  Summary["classes"] = std::move(ByClass);
  json::array Seconds;
  for (const second_result &Second : Timeline) {
    json::object Object = outcomeCounts(Second.Outcomes);
    Object["sent"] = Second.Sent;
    Object["p50_ms"] = Second.Latency.quantileMs(0.5);
    Object["p99_ms"] = Second.Latency.quantileMs(0.99);
    Seconds.push_back(std::move(Object));
  }
  Summary["timeline"] = std::move(Seconds);
  return Summary;
}

} // namespace coriandertray
