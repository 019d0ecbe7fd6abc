#include "utils/query.h"

#include <charconv>
#include <ranges>

namespace coriandertray {

parsed_target parseTarget(std::string_view Target) {
  const std::size_t QuestionMark = Target.find('?');
  parsed_target Parsed;
  Parsed.Path = std::string(Target.substr(0, QuestionMark));
  if (QuestionMark == std::string_view::npos)
    return Parsed;
  for (const auto Part :
       std::views::split(Target.substr(QuestionMark + 1), '&')) {
    const std::string_view Pair(Part.begin(), Part.end());
    const std::size_t Equals = Pair.find('=');
    const std::string_view Value =
        Equals == std::string_view::npos ? "" : Pair.substr(Equals + 1);
    Parsed.Query.emplace(Pair.substr(0, Equals), Value);
  }
  return Parsed;
}

long long queryNumber(const parsed_target &Target, std::string_view Key,
                      long long Default) {
  const auto Found = Target.Query.find(Key);
  if (Found == Target.Query.end())
    return Default;
  const std::string &Text = Found->second;
  long long Number = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

std::string percentEncode(std::string_view Text) {
  constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "0123456789-._~";
  constexpr std::string_view HexDigits = "0123456789ABCDEF";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned DigitMask = 15;
  std::string Encoded;
  for (const char Character : Text) {
    if (Unreserved.find(Character) != std::string_view::npos) {
      Encoded += Character;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Character);
    Encoded += '%';
    Encoded += HexDigits[Byte >> BitsPerDigit];
    Encoded += HexDigits[Byte & DigitMask];
  }
  return Encoded;
}

} // namespace coriandertray
