#include "utils/hash.h"

#include <numeric>
#include <ranges>

namespace coriandertray {

namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

// The finalizer of splitmix64. FNV-1a alone distributes the high bits poorly.
std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

} // namespace

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  const std::uint64_t Hash = std::accumulate(
      Text.begin(), Text.end(), FnvOffset ^ mix(Seed),
      [](std::uint64_t Sum, char Byte) {
        return (Sum ^ static_cast<unsigned char>(Byte)) * FnvPrime;
      });
  return mix(Hash);
}

std::string toHex(std::uint64_t Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr int DigitCount = 16;
  std::string Text(DigitCount, '0');
  for (char &Digit : std::views::reverse(Text)) {
    Digit = Digits[Value & 0xf];
    Value >>= 4;
  }
  return Text;
}

} // namespace coriandertray
