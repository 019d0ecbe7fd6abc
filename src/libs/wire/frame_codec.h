/// \file
/// Encodes and decodes the frames that the processes of a fleet exchange: the
/// length in bytes as a 32-bit little-endian number, then one FlatBuffers
/// envelope.
#pragma once

#include "utils/error.h"
#include "wire/generated/messages_generated.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace coriandertray {

using envelope = wire::envelope_value;

constexpr std::size_t FrameHeaderBytes = 4;
/// The largest accepted envelope, in bytes. It has room for the largest value
/// that the platform stores, plus the fields around it.
constexpr std::size_t MaxFrameBytes = 2U << 20U;

/// \returns the frame that holds \p Message, including its header.
[[nodiscard]] std::vector<std::uint8_t> encodeFrame(const envelope &Message);

/// \returns the envelope length in bytes given by \p Header. Fails with
/// FrameMalformed if it is zero or above MaxFrameBytes.
[[nodiscard]] result<std::size_t>
decodeFrameHeader(std::span<const std::uint8_t, FrameHeaderBytes> Header);

/// Verifies and unpacks one envelope. Fails with FrameMalformed if \p Bytes is
/// not a valid envelope.
[[nodiscard]] result<envelope>
decodeEnvelope(std::span<const std::uint8_t> Bytes);

/// \returns \p Value as a FlatBuffers buffer of its own, without an envelope,
/// for the payload of a versioned entry.
[[nodiscard]] std::vector<std::uint8_t>
packVerdictSet(const wire::verdict_set_value &Value);

/// Verifies and unpacks the result of packVerdictSet(). Fails with
/// FrameMalformed.
[[nodiscard]] result<wire::verdict_set_value>
unpackVerdictSet(std::span<const std::uint8_t> Bytes);

} // namespace coriandertray
