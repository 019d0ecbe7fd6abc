#include "http/http_message.h"

#include <algorithm>
#include <array>
#include <ranges>

namespace coriandertray {

namespace {

char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character + 32)
             : Character;
}

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

} // namespace

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, {}, toLower, toLower);
}

std::optional<std::string> findHeader(const http_headers &Headers,
                                      std::string_view Name) {
  const auto Found =
      std::ranges::find_if(Headers, [Name](const http_header &Header) {
        return equalIgnoringCase(Header.Name, Name);
      });
  if (Found == Headers.end())
    return std::nullopt;
  return Found->Value;
}

void removeHeader(http_headers &Headers, std::string_view Name) {
  std::erase_if(Headers, [Name](const http_header &Header) {
    return equalIgnoringCase(Header.Name, Name);
  });
}

void setHeader(http_headers &Headers, std::string_view Name,
               std::string_view Value) {
  removeHeader(Headers, Name);
  Headers.push_back({std::string(Name), std::string(Value)});
}

void removeHopByHopHeaders(http_headers &Headers) {
  const std::string ConnectionOptions =
      findHeader(Headers, "Connection").value_or(std::string());
  for (const auto Part : std::views::split(ConnectionOptions, ','))
    removeHeader(Headers, trim(std::string_view(Part.begin(), Part.end())));
  constexpr std::array<std::string_view, 9> HopByHop = {
      "Connection",          "Keep-Alive", "Proxy-Authenticate",
      "Proxy-Authorization", "TE",         "Trailer",
      "Transfer-Encoding",   "Upgrade",    "Content-Length"};
  for (const std::string_view Name : HopByHop)
    removeHeader(Headers, Name);
}

void copyRequestId(const http_request &Request, http_response &Response) {
  if (const auto Id = findHeader(Request.Headers, header::RequestId))
    setHeader(Response.Headers, header::RequestId, *Id);
}

http_response jsonResponse(unsigned Status, std::string Body) {
  http_response Response;
  Response.Status = Status;
  Response.Headers = {{std::string(header::ContentType), "application/json"}};
  Response.Body = std::move(Body);
  return Response;
}

} // namespace coriandertray
