#include "wire/frame_codec.h"

namespace coriandertray {

std::vector<std::uint8_t> encodeFrame(const envelope &Message) {
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::envelope::Pack(Builder, &Message));
  const std::uint32_t Length = Builder.GetSize();
  std::vector<std::uint8_t> Frame(FrameHeaderBytes + Length);
  flatbuffers::WriteScalar(Frame.data(), Length);
  std::copy_n(Builder.GetBufferPointer(), Length,
              Frame.begin() + FrameHeaderBytes);
  return Frame;
}

result<std::size_t>
decodeFrameHeader(std::span<const std::uint8_t, FrameHeaderBytes> Header) {
  const auto Length = flatbuffers::ReadScalar<std::uint32_t>(Header.data());
  if (Length == 0 || Length > MaxFrameBytes)
    return fail(error_code::FrameMalformed, "invalid envelope length of " +
                                                std::to_string(Length) +
                                                " bytes");
  return Length;
}

result<envelope> decodeEnvelope(std::span<const std::uint8_t> Bytes) {
  flatbuffers::Verifier Verifier(Bytes.data(), Bytes.size());
  if (!wire::VerifyenvelopeBuffer(Verifier))
    return fail(error_code::FrameMalformed, "the envelope failed verification");
  envelope Message;
  wire::Getenvelope(Bytes.data())->UnPackTo(&Message);
  return Message;
}

std::vector<std::uint8_t> packVerdictSet(const wire::verdict_set_value &Value) {
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::verdict_set::Pack(Builder, &Value));
  return {Builder.GetBufferPointer(),
          Builder.GetBufferPointer() + Builder.GetSize()};
}

result<wire::verdict_set_value>
unpackVerdictSet(std::span<const std::uint8_t> Bytes) {
  flatbuffers::Verifier Verifier(Bytes.data(), Bytes.size());
  if (!Verifier.VerifyBuffer<wire::verdict_set>())
    return fail(error_code::FrameMalformed,
                "the verdict set failed verification");
  wire::verdict_set_value Value;
  flatbuffers::GetRoot<wire::verdict_set>(Bytes.data())->UnPackTo(&Value);
  return Value;
}

} // namespace coriandertray
