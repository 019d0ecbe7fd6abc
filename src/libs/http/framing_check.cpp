#include "http/framing_check.h"

#include <algorithm>

namespace coriandertray {

namespace {

bool hasControlCharacter(std::string_view Text) {
  return std::ranges::any_of(Text, [](unsigned char Byte) {
    return (Byte < 0x20 && Byte != '\t') || Byte == 0x7f;
  });
}

bool isDecimalNumber(std::string_view Text) {
  // Any number with 15 digits fits in 64 bits.
  constexpr std::size_t MaxDigits = 15;
  return !Text.empty() && Text.size() <= MaxDigits &&
         std::ranges::all_of(
             Text, [](char Digit) { return Digit >= '0' && Digit <= '9'; });
}

} // namespace

result<void> checkFraming(const http_headers &Headers) {
  const auto Count = [&Headers](std::string_view Name) {
    return std::ranges::count_if(Headers, [Name](const http_header &Header) {
      return equalIgnoringCase(Header.Name, Name);
    });
  };
  const bool HasControl =
      std::ranges::any_of(Headers, [](const http_header &Header) {
        return Header.Name.empty() || hasControlCharacter(Header.Name) ||
               hasControlCharacter(Header.Value);
      });
  if (HasControl)
    return fail(error_code::FramingAmbiguous,
                "empty header name or control character in a header");
  const auto Lengths = Count("Content-Length");
  const auto Encodings = Count("Transfer-Encoding");
  if (Lengths + Encodings > 1)
    return fail(error_code::FramingAmbiguous,
                "more than one Content-Length or Transfer-Encoding header");
  const auto Length = findHeader(Headers, "Content-Length");
  if (Length && !isDecimalNumber(*Length))
    return fail(error_code::FramingAmbiguous,
                "Content-Length is not a decimal number");
  const auto Encoding = findHeader(Headers, "Transfer-Encoding");
  if (Encoding && !equalIgnoringCase(*Encoding, "chunked"))
    return fail(error_code::FramingAmbiguous,
                "Transfer-Encoding is not chunked");
  return {};
}

} // namespace coriandertray
