#include "accounts/bearer_key.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr std::string_view Scheme = "Bearer";

std::string_view trimBlanks(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bearer_key parseCredentials(std::string_view Value) {
  const std::string_view Credentials = trimBlanks(Value);
  const std::size_t SchemeEnd = Credentials.find(' ');
  if (SchemeEnd == std::string_view::npos ||
      !equalIgnoringCase(Credentials.substr(0, SchemeEnd), Scheme))
    return {bearer_status::Malformed, {}};
  const std::size_t KeyStart = Credentials.find_first_not_of(' ', SchemeEnd);
  const std::string_view Key = Credentials.substr(KeyStart);
  if (!isKeyToken(Key))
    return {bearer_status::Malformed, {}};
  return {bearer_status::Present, std::string(Key)};
}

} // namespace

bool isKeyToken(std::string_view Text) {
  return !Text.empty() && std::ranges::all_of(Text, [](char Character) {
    return Character > ' ' && Character <= '~';
  });
}

bearer_key readBearerKey(const http_headers &Headers) {
  const auto IsAuthorization = [](const http_header &Header) {
    return equalIgnoringCase(Header.Name, header::Authorization);
  };
  const auto Count = std::ranges::count_if(Headers, IsAuthorization);
  if (Count == 0)
    return {};
  if (Count > 1)
    return {bearer_status::Doubled, {}};
  return parseCredentials(
      std::ranges::find_if(Headers, IsAuthorization)->Value);
}

} // namespace coriandertray
