#include "wire/frame_codec.h"

#include "wire/conversions.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <span>

using namespace coriandertray;

namespace {

result<envelope> decodeFrame(const std::vector<std::uint8_t> &Frame) {
  const std::span<const std::uint8_t> Bytes(Frame);
  const auto Length = decodeFrameHeader(Bytes.first<FrameHeaderBytes>());
  if (!Length)
    return tl::unexpected(Length.error());
  return decodeEnvelope(Bytes.subspan(FrameHeaderBytes));
}

evidence_report exampleReport() {
  evidence_report Report = {"h1", "z1", {}};
  Report.Services["s"]["b1"] = {{1, 2, 3, 4, 5}, true};
  return Report;
}

} // namespace

TEST_CASE("an envelope is unchanged after encoding and decoding") {
  envelope Message;
  Message.sequence = 7;
  Message.body.Set(toWire(exampleReport()));
  const result<envelope> Received = decodeFrame(encodeFrame(Message));
  REQUIRE(Received.has_value());
  CHECK(Received->sequence == 7);
  CHECK(fromWire(*Received->body.Asevidence_report()) == exampleReport());
}

TEST_CASE("a verdict set is unchanged after packing and unpacking") {
  const verdict_set Set = {
      "s",
      9,
      "h1",
      {{"b1", backend_status::Ejected, 0, "fails", {1, 2, 3, 4, 0}, 4, {"z1"}},
       {"b2", backend_status::Trial, 10, "", {}, 0, {}}}};
  CHECK(fromWire(*unpackVerdictSet(packVerdictSet(toWire(Set)))) == Set);
}

TEST_CASE("arbitrary and corrupted bytes are decoded safely; bad lengths are "
          "refused") {
  CHECK(rc::check([] {
    const auto Bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    (void)decodeEnvelope(Bytes);
    envelope Message;
    Message.body.Set(toWire(exampleReport()));
    std::vector<std::uint8_t> Frame = encodeFrame(Message);
    const auto Offset = *rc::gen::inRange<std::size_t>(0, Frame.size());
    Frame[Offset] =
        static_cast<std::uint8_t>(Frame[Offset] ^ *rc::gen::inRange(1, 256));
    (void)decodeFrame(Frame);
  }));
  CHECK(decodeEnvelope({}).error().Code == error_code::FrameMalformed);
  const std::array<std::uint8_t, FrameHeaderBytes> Huge = {255, 255, 255, 255};
  CHECK(decodeFrameHeader(Huge).error().Code == error_code::FrameMalformed);
}
