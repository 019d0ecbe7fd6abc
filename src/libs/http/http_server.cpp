#include "http/http_server.h"

#include "http/framing_check.h"
#include "utils/listen.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <set>
#include <utility>

#include <sys/socket.h>

namespace coriandertray {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

using request_parser = http::request_parser<http::string_body>;

// Detects whether the peer of a connection has closed it, without reading from
// it.
class stream_peer final : public peer_connection {
public:
  explicit stream_peer(beast::tcp_stream &Stream) : Stream(&Stream) {}
  [[nodiscard]] bool isClosedByPeer() override {
    if (!Stream)
      return true;
    char Byte = 0;
    const auto Count = ::recv(Stream->socket().native_handle(), &Byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    const bool Failed = Count < 0 && errno != EAGAIN && errno != EINTR;
    return Count == 0 || Failed;
  }
  // Ends the use of the stream, which may be destroyed afterwards. The peer
  // then counts as closed.
  void detach() { Stream = nullptr; }

private:
  beast::tcp_stream *Stream;
};

http_request toRequest(http::request<http::string_body> Message) {
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  return Request;
}

http::response<http::string_body> toMessage(http_response Response,
                                            unsigned Version, bool KeepAlive) {
  http::response<http::string_body> Message;
  Message.version(Version);
  Message.result(Response.Status);
  for (const http_header &Header : Response.Headers)
    Message.insert(Header.Name, Header.Value);
  Message.body() = std::move(Response.Body);
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
  return Message;
}

http_response errorResponse(unsigned Status, std::string_view Reason) {
  http_response Response =
      jsonResponse(Status, "{\"error\":\"" + std::string(Reason) + "\"}");
  setHeader(Response.Headers, header::Outcome, outcome::NotRun);
  setHeader(Response.Headers, header::Reason, Reason);
  return Response;
}

unsigned statusOfParseFailure(const beast::error_code &Failure) {
  if (Failure == http::error::header_limit)
    return 431;
  if (Failure == http::error::body_limit)
    return 413;
  return 400;
}

bool isParseFailure(const beast::error_code &Failure) {
  return Failure.category() ==
             beast::error_code(http::error::bad_value).category() &&
         Failure != http::error::end_of_stream &&
         Failure != http::error::partial_message;
}

} // namespace

struct http_server::shared_state {
  asio::io_context &Context;
  http_server_limits Limits;
  http_handler Handler;
  std::shared_ptr<asio::ip::tcp::acceptor> Acceptor;
  std::set<beast::tcp_stream *> Streams;
  std::set<beast::tcp_stream *> IdleStreams;
  std::size_t InFlight = 0;
  bool Draining = false;

  [[nodiscard]] duration idleTimeout() const {
    return Draining ? duration(Limits.DrainIdleTimeout)
                    : duration(Limits.IdleTimeout);
  }
};

namespace {

asio::awaitable<beast::error_code> writeResponse(beast::tcp_stream &Stream,
                                                 http_response Response,
                                                 unsigned Version,
                                                 bool KeepAlive, bool IsHead) {
  auto Message = toMessage(std::move(Response), Version, KeepAlive);
  if (IsHead) {
    http::response_serializer<http::string_body> Serializer(Message);
    auto [HeadFailure, HeadBytes] =
        co_await http::async_write_header(Stream, Serializer, UseTuple);
    co_return HeadFailure;
  }
  auto [Failure, Bytes] = co_await http::async_write(Stream, Message, UseTuple);
  co_return Failure;
}

// Waits for the first byte of a request. \returns false if the connection
// closes or times out first.
template <typename State>
asio::awaitable<bool> waitForRequest(std::shared_ptr<State> Server,
                                     beast::tcp_stream &Stream,
                                     beast::flat_buffer &Buffer) {
  if (Buffer.size() > 0)
    co_return true;
  Server->IdleStreams.insert(&Stream);
  Stream.expires_after(Server->idleTimeout());
  auto [Failure, Bytes] = co_await Stream.async_read_some(
      Buffer.prepare(Server->Limits.HeaderBytes), UseTuple);
  Server->IdleStreams.erase(&Stream);
  Buffer.commit(Bytes);
  co_return !Failure;
}

// \returns the error response to an invalid request, or nothing if it is valid.
std::optional<http_response> rejectionFor(const http_request &Request,
                                          const http_server_limits &Limits) {
  constexpr unsigned HeaderFieldsTooLarge = 431;
  constexpr unsigned BadRequest = 400;
  if (Request.Headers.size() > Limits.HeaderCount)
    return errorResponse(HeaderFieldsTooLarge, "too-many-headers");
  const result<void> Framing = checkFraming(Request.Headers);
  if (!Framing)
    return errorResponse(BadRequest, errorName(Framing.error().Code));
  return std::nullopt;
}

struct received_request {
  http_request Request;
  unsigned Version = 11;
  bool KeepAlive = false;
};

// Reads a complete request. Responds to an invalid one with an error and
// returns nothing.
template <typename State>
asio::awaitable<std::optional<received_request>>
readRequest(std::shared_ptr<State> Server, beast::tcp_stream &Stream,
            beast::flat_buffer &Buffer) {
  request_parser Parser;
  Parser.header_limit(Server->Limits.HeaderBytes);
  Parser.body_limit(Server->Limits.BodyBytes);
  Stream.expires_after(Server->Limits.TransferTimeout);
  auto [Failure, Bytes] =
      co_await http::async_read(Stream, Buffer, Parser, UseTuple);
  std::optional<http_response> Rejection;
  received_request Received;
  if (!Failure) {
    auto Message = Parser.release();
    Received.Version = Message.version();
    Received.KeepAlive = Message.keep_alive();
    Received.Request = toRequest(std::move(Message));
    Rejection = rejectionFor(Received.Request, Server->Limits);
  } else if (isParseFailure(Failure)) {
    Rejection =
        errorResponse(statusOfParseFailure(Failure), "request-malformed");
  }
  if (Rejection) {
    http_response Response = std::move(*Rejection);
    co_await writeResponse(Stream, std::move(Response), Received.Version, false,
                           false);
  }
  if (Failure || Rejection)
    co_return std::nullopt;
  co_return Received;
}

// Counts a request as in flight until its response is written.
template <typename State> class in_flight_guard {
public:
  explicit in_flight_guard(std::shared_ptr<State> Server)
      : Server(std::move(Server)) {
    ++this->Server->InFlight;
  }
  ~in_flight_guard() { --Server->InFlight; }
  in_flight_guard(const in_flight_guard &) = delete;
  in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
  std::shared_ptr<State> Server;
};

// Serves one request. Sends \p Repeated, if there is one, before the response
// and replaces it. \returns whether the connection can be reused.
template <typename State>
asio::awaitable<bool> serveRequest(std::shared_ptr<State> Server,
                                   beast::tcp_stream &Stream,
                                   beast::flat_buffer &Buffer,
                                   std::optional<http_response> &Repeated) {
  const bool HasRequest = co_await waitForRequest(Server, Stream, Buffer);
  if (!HasRequest)
    co_return false;
  std::optional<received_request> Received =
      co_await readRequest(Server, Stream, Buffer);
  if (!Received)
    co_return false;
  const in_flight_guard<State> Guard(Server);
  const bool IsHead = Received->Request.Method == "HEAD";
  Stream.expires_never();
  auto Peer = std::make_shared<stream_peer>(Stream);
  http_response Response =
      co_await Server->Handler(std::move(Received->Request), Peer);
  Peer->detach();
  Stream.expires_after(Server->Limits.TransferTimeout);
  if (Response.RawBytes) {
    const std::string Raw = std::move(*Response.RawBytes);
    co_await asio::async_write(Stream, asio::buffer(Raw), UseTuple);
    co_return false;
  }
  const bool KeepAlive = Received->KeepAlive && !Server->Draining;
  if (std::optional<http_response> Copy = std::exchange(Repeated, {}))
    co_await writeResponse(Stream, std::move(*Copy), Received->Version, true,
                           false);
  if (Response.IsRepeated)
    Repeated = Response;
  const beast::error_code Failure = co_await writeResponse(
      Stream, std::move(Response), Received->Version, KeepAlive, IsHead);
  co_return KeepAlive && !Failure;
}

template <typename State>
asio::awaitable<void> serveConnection(std::shared_ptr<State> Server,
                                      asio::ip::tcp::socket Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  beast::tcp_stream Stream(std::move(Socket));
  Server->Streams.insert(&Stream);
  beast::flat_buffer Buffer(Server->Limits.HeaderBytes + ReadBufferBytes);
  if (Server->Limits.AcceptDelay > milliseconds(0)) {
    asio::steady_timer Delay(Server->Context, Server->Limits.AcceptDelay);
    co_await Delay.async_wait(UseTuple);
  }
  std::optional<http_response> Repeated;
  bool Continue = true;
  while (Continue)
    Continue = co_await serveRequest(Server, Stream, Buffer, Repeated);
  Server->Streams.erase(&Stream);
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

template <typename State>
asio::awaitable<void>
acceptConnections(std::shared_ptr<State> Server,
                  std::shared_ptr<asio::ip::tcp::acceptor> Acceptor) {
  for (;;) {
    auto [Failure, Socket] = co_await Acceptor->async_accept(UseTuple);
    if (!Acceptor->is_open())
      co_return;
    if (!Failure)
      asio::co_spawn(Server->Context,
                     serveConnection(Server, std::move(Socket)),
                     asio::detached);
  }
}

} // namespace

http_server::http_server(asio::io_context &Context, http_server_limits Limits,
                         http_handler Handler)
    : State(std::make_shared<shared_state>(
          shared_state{Context, Limits, std::move(Handler), {}, {}, {}})) {}

http_server::~http_server() { abort(); }

result<void> http_server::listen(const socket_address &Address) {
  const result<acceptor_pointer> Acceptor =
      openAcceptor(State->Context, Address);
  if (!Acceptor)
    return tl::unexpected(Acceptor.error());
  State->Acceptor = *Acceptor;
  State->Draining = false;
  asio::co_spawn(State->Context, acceptConnections(State, *Acceptor),
                 asio::detached);
  return {};
}

void http_server::drain() {
  State->Draining = true;
  boost::system::error_code Ignored;
  if (State->Acceptor)
    State->Acceptor->close(Ignored);
  for (beast::tcp_stream *Stream : State->IdleStreams)
    Stream->expires_after(State->Limits.DrainIdleTimeout);
}

void http_server::abort() {
  boost::system::error_code Ignored;
  if (State->Acceptor)
    State->Acceptor->close(Ignored);
  const std::set<beast::tcp_stream *> Streams = State->Streams;
  for (beast::tcp_stream *Stream : Streams)
    Stream->socket().close(Ignored);
}

std::size_t http_server::connectionCount() const {
  return State->Streams.size();
}

std::size_t http_server::requestsInFlight() const { return State->InFlight; }

} // namespace coriandertray
