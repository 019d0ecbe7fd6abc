#include "http/response_reader.h"

#include "http/framing_check.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace coriandertray {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t HeadReadBytes = 4096;
constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned SwitchingProtocols = 101;

using response_parser = http::response_parser<http::string_body>;

std::string_view viewOf(const beast::flat_buffer &Buffer) {
  const auto Data = Buffer.cdata();
  return {static_cast<const char *>(Data.data()), Data.size()};
}

// Whether a line of the head that \p Text begins with, or is a part of, begins
// with a blank. The parser would append it to the field before it.
bool hasContinuationLine(std::string_view Text) {
  constexpr std::string_view LineEnd = "\r\n";
  const std::string_view Head = Text.substr(0, Text.find("\r\n\r\n"));
  for (std::size_t At = Head.find(LineEnd); At != std::string_view::npos;
       At = Head.find(LineEnd, At)) {
    At += LineEnd.size();
    if (At < Head.size() && (Head[At] == ' ' || Head[At] == '\t'))
      return true;
  }
  return false;
}

// The parser consumes whole lines, so that the first line in the buffer is
// never the middle of one.
beast::error_code parseHead(beast::flat_buffer &Buffer,
                            response_parser &Parser) {
  if (hasContinuationLine(viewOf(Buffer)))
    return http::error::bad_field;
  beast::error_code Failure;
  Buffer.consume(Parser.put(Buffer.cdata(), Failure));
  return Failure == http::error::need_more ? beast::error_code() : Failure;
}

// What the end of the connection means for the head.
beast::error_code failureAtEnd(const response_parser &Parser) {
  return Parser.got_some() ? http::error::partial_message
                           : http::error::end_of_stream;
}

asio::awaitable<beast::error_code> readHead(beast::tcp_stream &Stream,
                                            beast::flat_buffer &Buffer,
                                            response_parser &Parser) {
  Parser.eager(false);
  for (;;) {
    if (Buffer.size() > 0) {
      const beast::error_code Failure = parseHead(Buffer, Parser);
      if (Failure || Parser.is_header_done())
        co_return Failure;
    }
    const std::size_t Room =
        std::min(HeadReadBytes, Buffer.max_size() - Buffer.size());
    if (Room == 0)
      co_return http::error::header_limit;
    auto [Failure, Count] =
        co_await Stream.async_read_some(Buffer.prepare(Room), UseTuple);
    if (Failure == asio::error::eof)
      co_return failureAtEnd(Parser);
    if (Failure)
      co_return Failure;
    Buffer.commit(Count);
  }
}

asio::awaitable<beast::error_code> readBody(beast::tcp_stream &Stream,
                                            beast::flat_buffer &Buffer,
                                            response_parser &Parser,
                                            body_reservation &Reservation) {
  Parser.eager(true);
  while (!Parser.is_done()) {
    auto [Failure, Count] =
        co_await http::async_read_some(Stream, Buffer, Parser, UseTuple);
    if (Failure)
      co_return Failure;
    if (!Reservation.resize(Parser.get().body().size()))
      co_return http::error::body_limit;
  }
  co_return beast::error_code();
}

http_headers toHeaders(const http::fields &Fields) {
  http_headers Headers;
  for (const auto &Field : Fields)
    Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Headers;
}

// Whether \p Text holds a status line, as where a head that was cut is followed
// by the next response. The parser would take both for one head.
bool containsStatusLine(std::string_view Text) {
  constexpr std::string_view Begin = "HTTP/1.";
  constexpr std::size_t CodeAt = Begin.size() + std::string_view("1 ").size();
  constexpr std::size_t CodeDigits = 3;
  for (std::size_t At = Text.find(Begin); At != std::string_view::npos;
       At = Text.find(Begin, At + 1)) {
    const std::string_view Code =
        Text.substr(std::min(At + CodeAt, Text.size()), CodeDigits);
    if (Code.size() == CodeDigits && std::ranges::all_of(Code, [](char Each) {
          return Each >= '0' && Each <= '9';
        }))
      return true;
  }
  return false;
}

// Checks what the parser lets pass.
beast::error_code checkHead(const http_response &Head,
                            std::string_view Reason) {
  if (containsStatusLine(Reason) ||
      std::ranges::any_of(Head.Headers, [](const http_header &Each) {
        return containsStatusLine(Each.Value);
      }))
    return http::error::bad_field;
  if (Head.Status < FirstStatus || Head.Status == SwitchingProtocols)
    return http::error::bad_status;
  if (!checkFraming(Head.Headers))
    return http::error::bad_field;
  return {};
}

} // namespace

bool isInterimStatus(unsigned Status) { return Status < FirstFinalStatus; }

asio::awaitable<tl::expected<received_response, response_failure>>
readResponse(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
             const response_limits &Limits, body_reservation &Reservation) {
  response_parser Parser;
  Parser.body_limit(Limits.BodyBytes);
  Parser.header_limit(Limits.HeaderBytes);
  Parser.skip(Limits.IsHead);
  received_response Received;
  beast::error_code Failure = co_await readHead(Stream, Buffer, Parser);
  if (!Failure) {
    // Before the body, as trailers are added to the parser's fields.
    Received.Response.Status = Parser.get().result_int();
    Received.Response.Headers = toHeaders(Parser.get().base());
    const auto Reason = Parser.get().reason();
    Failure = checkHead(Received.Response, {Reason.data(), Reason.size()});
  }
  if (!Failure)
    Failure = co_await readBody(Stream, Buffer, Parser, Reservation);
  if (Failure)
    co_return tl::unexpected(response_failure{Failure, Parser.got_some()});
  Received.LengthKnown = !Parser.need_eof();
  Received.KeepAlive = Parser.keep_alive();
  Received.Response.Body = std::move(Parser.get().body());
  co_return Received;
}

} // namespace coriandertray
