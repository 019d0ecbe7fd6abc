#include "utils/lenient_json.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace coriandertray {

namespace {

bool isSpace(char Character) {
  return Character == ' ' || Character == '\t' || Character == '\n' ||
         Character == '\r';
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && isSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

bool isContainer(std::string_view Text) {
  return Text.size() >= 2 && ((Text.front() == '{' && Text.back() == '}') ||
                              (Text.front() == '[' && Text.back() == ']'));
}

// Follows quotes and nesting through a text, one character at a time. It uses
// no recursion, so that deep nesting doesn't exhaust the stack.
class text_scanner {
public:
  void advance(char Character) {
    if (InString) {
      InString = Escaped || Character != '"';
      Escaped = !Escaped && Character == '\\';
      return;
    }
    InString = Character == '"';
    if (Character == '{' || Character == '[')
      ++Depth;
    if (Character == '}' || Character == ']')
      --Depth;
  }

  // Whether the next character is outside of strings and nested values.
  [[nodiscard]] bool isAtTop() const { return !InString && Depth == 0; }

private:
  bool InString = false;
  bool Escaped = false;
  std::int64_t Depth = 0;
};

// Splits \p Text at each \p Separator that is outside of strings and nested
// values. \returns nothing if the text is not balanced.
std::optional<std::vector<std::string_view>>
splitAtTop(std::string_view Text, char Separator, std::size_t MaxParts) {
  std::vector<std::string_view> Parts;
  text_scanner Scanner;
  std::size_t Begin = 0;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Scanner.isAtTop() && Text[At] == Separator &&
        Parts.size() + 1 < MaxParts) {
      Parts.push_back(trimmed(Text.substr(Begin, At - Begin)));
      Begin = At + 1;
      continue;
    }
    Scanner.advance(Text[At]);
  }
  if (!Scanner.isAtTop())
    return std::nullopt;
  const std::string_view Last = trimmed(Text.substr(Begin));
  if (!Last.empty() || !Parts.empty())
    Parts.push_back(Last);
  return Parts;
}

std::optional<json::value> parse(std::string_view Text) {
  json::parse_options Options;
  Options.allow_invalid_utf8 = true;
  boost::system::error_code Failure;
  json::value Value =
      json::parse({Text.data(), Text.size()}, Failure, {}, Options);
  if (Failure)
    return std::nullopt;
  return Value;
}

json::value parseOrReplace(std::string_view Text, int LevelsLeft);

json::value parseMembers(const std::vector<std::string_view> &Members,
                         int LevelsLeft) {
  json::object Object;
  for (const std::string_view Member : Members) {
    const auto KeyAndValue = splitAtTop(Member, ':', 2);
    if (!KeyAndValue || KeyAndValue->size() != 2)
      continue;
    const std::optional<json::value> Key = parse(KeyAndValue->front());
    if (Key && Key->is_string())
      Object[Key->get_string()] =
          parseOrReplace(KeyAndValue->back(), LevelsLeft);
  }
  return Object;
}

json::value parseElements(const std::vector<std::string_view> &Elements,
                          int LevelsLeft) {
  json::array Array;
  for (const std::string_view Element : Elements)
    Array.push_back(parseOrReplace(Element, LevelsLeft));
  return Array;
}

json::value parseOrReplace(std::string_view Text, int LevelsLeft) {
  if (std::optional<json::value> Value = parse(Text))
    return std::move(*Value);
  if (LevelsLeft == 0 || !isContainer(Text))
    return nullptr;
  const auto Parts =
      splitAtTop(Text.substr(1, Text.size() - 2), ',', std::string_view::npos);
  if (!Parts)
    return nullptr;
  return Text.front() == '{' ? parseMembers(*Parts, LevelsLeft - 1)
                             : parseElements(*Parts, LevelsLeft - 1);
}

} // namespace

result<json::value> parseJsonLeniently(std::string_view Text, int MaxDepth) {
  const std::string_view Trimmed = trimmed(Text);
  json::value Value = parseOrReplace(Trimmed, MaxDepth);
  if (Value.is_null() && Trimmed != "null")
    return fail(error_code::JsonMalformed, "the text is not balanced");
  return Value;
}

} // namespace coriandertray
