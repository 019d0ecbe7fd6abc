#include "fake_server.h"

#include "fake_backend_server/work_response.h"
#include "http/http_message.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr duration WorkPollInterval = milliseconds(5);
constexpr duration SlotPollInterval = milliseconds(1);
constexpr duration HangTime = std::chrono::hours(1);
// A drain is announced in responses for this long before new work is refused.
constexpr duration DrainRefusalDelay = seconds(1);
// Proxies must send no new work later than this after the start of a drain.
constexpr duration MaxDrainReactionTime = seconds(3);
constexpr double ColdStartFactor = 3;

time_point now() { return std::chrono::steady_clock::now(); }

milliseconds headerMs(const http_request &Request, std::string_view Name,
                      milliseconds Default) {
  const auto Text = findHeader(Request.Headers, Name);
  return Text ? milliseconds(std::atol(Text->c_str())) : Default;
}

http_server_limits serverLimits(const fake_server_settings &Settings) {
  http_server_limits Limits;
  Limits.AcceptDelay = Settings.ConnectionCost;
  return Limits;
}

http_response rawResponse(std::string Bytes) {
  http_response Response;
  Response.RawBytes = std::move(Bytes);
  return Response;
}

} // namespace

fake_server_faults readServerFaults(const json::object &Object) {
  fake_server_faults Faults;
  Faults.Slow = numberAt(Object, "slow", 1);
  Faults.Hang = boolAt(Object, "hang");
  Faults.FailShare = numberAt(Object, "fail_share");
  Faults.TruncateShare = numberAt(Object, "truncate_share");
  Faults.ResetShare = numberAt(Object, "reset_share");
  Faults.CloseShare = numberAt(Object, "close_share");
  Faults.SwapShare = numberAt(Object, "swap_share");
  Faults.SurplusShare = numberAt(Object, "surplus_share");
  Faults.RepeatRefusalShare = numberAt(Object, "repeat_refusal_share");
  Faults.AnonymousRefusals = boolAt(Object, "anonymous_refusals");
  Faults.Freeze = boolAt(Object, "freeze");
  Faults.Draining = boolAt(Object, "draining");
  Faults.DrainRefuses = boolAt(Object, "drain_refuses");
  Faults.HealthLies = boolAt(Object, "health_lies", true);
  Faults.Shed = boolAt(Object, "shed");
  Faults.OneWayCut = boolAt(Object, "one_way_cut");
  Faults.IgnoresCancellation = boolAt(Object, "ignores_cancellation");
  Faults.HealthLag =
      milliseconds(static_cast<int>(numberAt(Object, "health_lag_ms")));
  Faults.FlapPeriod =
      milliseconds(static_cast<int>(numberAt(Object, "flap_ms")));
  return Faults;
}

fake_server::fake_server(asio::io_context &Context,
                         fake_server_settings Settings)
    : Context(Context), Settings(std::move(Settings)),
      Server(
          Context, serverLimits(this->Settings),
          [this](http_request Request, std::shared_ptr<peer_connection> Peer) {
            return serveWithId(std::move(Request), std::move(Peer));
          }),
      Random(this->Settings.Seed ^ stableHash(this->Settings.Name)) {}

result<void> fake_server::start() {
  StartedAt = now();
  return Server.listen(Settings.Address);
}

void fake_server::stop() { Server.abort(); }

void fake_server::setFaults(const fake_server_faults &Next) {
  if (Next.Draining && !Faults.Draining)
    DrainingSince = now();
  PreviousFaults = std::exchange(Faults, Next);
  FaultsSince = now();
}

bool fake_server::areFaultsActive() const {
  if (Faults.FlapPeriod == milliseconds(0))
    return true;
  return (now() - FaultsSince) / Faults.FlapPeriod % 2 == 0;
}

bool fake_server::drawWithProbability(double Share) {
  return Share > 0 && std::uniform_real_distribution<>(0, 1)(Random) < Share;
}

duration fake_server::drawServiceTime() {
  double Ms = Settings.ServiceMs;
  if (Settings.Exponential)
    Ms = std::exponential_distribution<>(1 / Settings.ServiceMs)(Random);
  if (drawWithProbability(Settings.StragglerShare))
    Ms = Settings.ServiceMs * Settings.StragglerFactor;
  if (areFaultsActive())
    Ms *= Faults.Slow;
  if (now() - StartedAt < Settings.ColdStartTime)
    Ms *= ColdStartFactor;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(Ms));
}

asio::awaitable<void> fake_server::pause(duration Time) {
  asio::steady_timer Timer(Context, Time);
  co_await Timer.async_wait(UseTuple);
}

asio::awaitable<bool>
fake_server::simulateWork(duration Time,
                          std::shared_ptr<peer_connection> Peer) {
  const time_point End = now() + Time;
  while (now() < End) {
    if (Peer->isClosedByPeer() && !Faults.IgnoresCancellation)
      co_return false;
    co_await pause(std::min<duration>(WorkPollInterval, End - now()));
  }
  co_return true;
}

void fake_server::addStateHeaders(http_response &Response) const {
  setHeader(Response.Headers, header::Load, std::to_string(Running + Queued));
  if (Faults.Draining)
    setHeader(Response.Headers, header::Draining, "1");
}

http_response fake_server::makeHealthResponse() const {
  const bool Outdated = now() - FaultsSince < Faults.HealthLag;
  const fake_server_faults &Reported = Outdated ? PreviousFaults : Faults;
  const bool Healthy = Reported.HealthLies || Reported == fake_server_faults{};
  http_response Response = jsonResponse(Healthy ? 200 : 503, "{}");
  addStateHeaders(Response);
  if (!Reported.Draining)
    removeHeader(Response.Headers, header::Draining);
  return Response;
}

http_response fake_server::makeRefusal(std::string_view Reason) {
  http_response Response = jsonResponse(503, "{}");
  setHeader(Response.Headers, header::Outcome, outcome::NotRun);
  setHeader(Response.Headers, header::Reason, Reason);
  addStateHeaders(Response);
  Response.IsRepeated =
      areFaultsActive() && drawWithProbability(Faults.RepeatRefusalShare);
  return Response;
}

asio::awaitable<fake_server::admission>
fake_server::waitForSlot(const http_request &Request,
                         const std::shared_ptr<peer_connection> &Peer) {
  if (Running < Settings.Slots)
    co_return admission::Run;
  const time_point Start = now();
  const time_point WaitEnd =
      Start + headerMs(Request, header::QueueWaitMs, milliseconds(60'000));
  const time_point Deadline =
      Start + headerMs(Request, header::DeadlineMs, milliseconds(60'000));
  if (Queued >= Settings.QueueLimit)
    co_return admission::Full;
  ++Queued;
  admission Admission = admission::Run;
  while (Running >= Settings.Slots && Admission == admission::Run) {
    if (now() >= Deadline)
      Admission = admission::Expired;
    else if (now() >= WaitEnd)
      Admission = admission::Full;
    else if (Peer->isClosedByPeer())
      Admission = admission::PeerGone;
    else
      co_await pause(SlotPollInterval);
  }
  --Queued;
  co_return Admission;
}

// A response of another request has its id already.
asio::awaitable<http_response>
fake_server::serveWithId(http_request Request,
                         std::shared_ptr<peer_connection> Peer) {
  const auto Id = findHeader(Request.Headers, header::RequestId);
  http_response Response = co_await serve(std::move(Request), std::move(Peer));
  const bool IsAnonymous =
      areFaultsActive() && Faults.AnonymousRefusals &&
      findHeader(Response.Headers, header::Outcome).has_value();
  if (Id && !IsAnonymous && !findHeader(Response.Headers, header::RequestId))
    setHeader(Response.Headers, header::RequestId, *Id);
  co_return Response;
}

asio::awaitable<http_response>
fake_server::serve(http_request Request,
                   std::shared_ptr<peer_connection> Peer) {
  if (Server.connectionCount() > Settings.ConnectionLimit)
    co_return rawResponse("");
  if (Request.Target == "/health") {
    co_await pause(Settings.ProbeCost);
    co_return makeHealthResponse();
  }
  if (Faults.Freeze && areFaultsActive()) {
    co_await simulateWork(HangTime, Peer);
    co_return rawResponse("");
  }
  if (Faults.DrainRefuses && Faults.Draining &&
      now() - DrainingSince > DrainRefusalDelay)
    co_return makeRefusal("draining");
  if (Faults.Shed) {
    ++Refusals;
    co_return makeRefusal("shed");
  }
  const admission Admission = co_await waitForSlot(Request, Peer);
  if (Admission == admission::PeerGone)
    co_return rawResponse("");
  if (Admission != admission::Run) {
    ++Refusals;
    co_return makeRefusal(Admission == admission::Full ? "full" : "deadline");
  }
  ++Running;
  http_response Response = co_await execute(std::move(Request), Peer);
  --Running;
  if (!Response.RawBytes)
    addStateHeaders(Response);
  co_return Response;
}

asio::awaitable<http_response>
fake_server::execute(http_request Request,
                     std::shared_ptr<peer_connection> Peer) {
  const std::string WorkId =
      findHeader(Request.Headers, WorkIdHeader).value_or("");
  // Counted before any fault: the work has its effect even if the response is
  // lost or faulty.
  ++Executions[WorkId].Count;
  if (Faults.Draining && now() - DrainingSince > MaxDrainReactionTime)
    ++NewWorkWhileDraining;
  if (Faults.Hang && areFaultsActive()) {
    co_await simulateWork(HangTime, Peer);
    co_return rawResponse("");
  }
  const duration Time = drawServiceTime();
  const bool Completed = co_await simulateWork(Time, Peer);
  if (!Completed) {
    ++Cancellations;
    co_return rawResponse("");
  }
  if (Faults.OneWayCut && areFaultsActive()) {
    co_await simulateWork(HangTime, Peer);
    co_return rawResponse("");
  }
  ++Served;
  http_response Response;
  Response.Headers = {{std::string(header::ContentType), "text/plain"}};
  setHeader(Response.Headers, ServiceMsHeader,
            std::to_string(toMilliseconds(Time)));
  copyRequestId(Request, Response);
  Response.Body = workResponseBody(WorkId, Request.Target);
  co_return injectResponseFault(std::move(Response));
}

http_response fake_server::injectResponseFault(http_response Response) {
  const std::string FullBody = Response.Body;
  const std::string StatusAndHeaders =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(FullBody.size()) +
      "\r\n" + std::string(header::RequestId) + ": " +
      findHeader(Response.Headers, header::RequestId).value_or("none") +
      "\r\n\r\n";
  if (areFaultsActive()) {
    if (drawWithProbability(Faults.FailShare))
      Response = jsonResponse(500, R"({"error":"internal"})");
    else if (drawWithProbability(Faults.TruncateShare))
      return rawResponse(StatusAndHeaders +
                         FullBody.substr(0, FullBody.size() / 2));
    else if (drawWithProbability(Faults.ResetShare))
      return rawResponse("HTTP/1.1 2");
    else if (drawWithProbability(Faults.CloseShare))
      return rawResponse("");
    else if (drawWithProbability(Faults.SurplusShare))
      return rawResponse(StatusAndHeaders + FullBody + StatusAndHeaders +
                         PreviousBody);
    else if (drawWithProbability(Faults.SwapShare)) {
      Response.Body = PreviousBody;
      setHeader(Response.Headers, header::RequestId, "another");
    }
  }
  PreviousBody = FullBody;
  return Response;
}

json::object fake_server::executions() const {
  json::object Counts;
  for (const auto &[WorkId, Record] : Executions)
    Counts[WorkId] = Record.Count;
  return Counts;
}

json::object fake_server::status() const {
  return {{"name", Settings.Name},
          {"running", Running},
          {"queued", Queued},
          {"served", Served},
          {"refusals", Refusals},
          {"cancellations", Cancellations},
          {"connections", Server.connectionCount()},
          {"new_work_while_draining", NewWorkWhileDraining}};
}

} // namespace coriandertray
