#include "entry_host/slot_wire.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace coriandertray;

namespace {

const time_point Now{std::chrono::hours(1)};

} // namespace

TEST_CASE("slot messages survive a round trip over the wire") {
  slot_request Request;
  Request.Key = {"host", 7};
  Request.Zone = "a";
  Request.RequestClass = "route";
  Request.Idempotent = true;
  Request.Priority = 2;
  Request.RequestedAt = Now;
  Request.Target = Now + milliseconds(400);
  Request.Deadline = Now + milliseconds(900);
  Request.RetryReason = retry_reason::Hedge;
  Request.Tried = {"x"};
  Request.Unreachable = {"y", "z"};
  Request.KnownReports = {
      {"x", 17, {1.5}, Now - milliseconds(70), false, Now},
      {"y", 18, {}, Now - milliseconds(5), true, Now + milliseconds(1500)}};
  Request.RecentAttempts = {{Now - milliseconds(700), 3, 0.5},
                            {Now - milliseconds(10), 0.25, 0}};
  CHECK(fromWire(toWire(Request, "service", Now), Now) == Request);
  slot_answer Answer;
  Answer.Key = {"host", 7};
  Answer.Verdict = slot_verdict::Granted;
  Answer.Backend = "x";
  Answer.Address = {"10.0.0.1", 80};
  Answer.HedgeAfter = milliseconds(300);
  Answer.StartedAtUnixMs = 17;
  CHECK(fromWire(toWire(Answer), "host") == Answer);
  const slot_release End = {
      {"host", 7}, slot_outcome::Silent, milliseconds(12)};
  CHECK(fromWire(toWire(End, "service")) == End);
  for (const backend_report &Report :
       {backend_report{rate_limit{}, false, {}},
        backend_report{rate_limit{0.5}, true, milliseconds(900)},
        backend_report{{}, true, {}}}) {
    slot_release Reporting = End;
    Reporting.Report = Report;
    CHECK(fromWire(toWire(Reporting, "service")) == Reporting);
  }
  const slot_lease_report Use = {
      {"host", 7}, "x", "route", Now - milliseconds(5), Now + milliseconds(50)};
  CHECK(fromWire(toWire(Use, "service", Now), Now) == Use);
}

TEST_CASE("a grant without an address is an error") {
  wire::slot_answer_value Value;
  Value.verdict = wire::slot_verdict::Granted;
  Value.address = "nowhere";
  CHECK_FALSE(fromWire(Value, "host"));
}

TEST_CASE(
    "a corrupted frame decodes to an envelope or fails with FrameMalformed") {
  const bool Holds = rc::check("corrupted frames never crash", [] {
    envelope Message;
    slot_request Request;
    Request.Key = {"host", 1};
    Request.Tried = {"a", "b"};
    Message.body.Set(toWire(Request, "service", Now));
    std::vector<std::uint8_t> Frame = encodeFrame(Message);
    const auto CorruptedIndex = *rc::gen::inRange<std::size_t>(4, Frame.size());
    Frame[CorruptedIndex] = *rc::gen::arbitrary<std::uint8_t>();
    const auto Decoded =
        decodeEnvelope(std::span(Frame).subspan(FrameHeaderBytes));
    if (!Decoded)
      RC_ASSERT(Decoded.error().Code == error_code::FrameMalformed);
  });
  CHECK(Holds);
}
