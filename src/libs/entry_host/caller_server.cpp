#include "entry_host/caller_server.h"

#include "http/body_budget.h"
#include "http/framing_check.h"
#include "utils/listen.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>

namespace coriandertray {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// Requests that one connection may have read but not answered yet.
constexpr std::size_t MaxPipelinedRequests = 16;
constexpr unsigned BadRequest = 400;
constexpr duration BodyTimeout = seconds(10);
// Bodies up to this size don't count in the limit on all bodies: so large ones
// can't keep them out. The number of connections limits them.
constexpr std::uint64_t MaxUncountedBodyBytes = 16U << 10U;
// Some of the large bodies have been passed on by then.
constexpr duration BodiesRetryAfter = milliseconds(500);
constexpr duration WriteTimeout = seconds(10);
// How long input is still read and discarded after the send side is closed, so
// that the caller receives the last response and not a reset.
constexpr duration LingerTimeout = milliseconds(1500);

/// Counts a request as in flight during its lifetime.
class in_flight_guard {
public:
  explicit in_flight_guard(std::shared_ptr<std::size_t> Count)
      : Count(std::move(Count)) {
    ++*this->Count;
  }
  ~in_flight_guard() { --*Count; }
  in_flight_guard(const in_flight_guard &) = delete;
  in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
  std::shared_ptr<std::size_t> Count;
};

/// A request on a connection whose response is not written yet.
struct pending_exchange {
  std::unique_ptr<in_flight_guard> InFlightGuard;
  std::unique_ptr<body_reservation> BodyReservation;
  http_response Response;
  bool Ready = false;
  bool IsHead = false;
  std::shared_ptr<caller_connection_status> CallerStatus =
      std::make_shared<caller_connection_status>();
};

using exchange_pointer = std::shared_ptr<pending_exchange>;

http_request toHttpRequest(http::request<http::string_body> Message) {
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  return Request;
}

http::response<http::string_body> toBeastResponse(http_response Response,
                                                  bool Close) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Response.Status);
  for (const http_header &Header : Response.Headers)
    Message.insert(Header.Name, Header.Value);
  Message.body() = std::move(Response.Body);
  Message.keep_alive(!Close);
  Message.prepare_payload();
  return Message;
}

// The limit on all bodies leaves no room for one more.
const beast::error_code BodiesTooLarge =
    asio::error::make_error_code(asio::error::no_buffer_space);

unsigned statusForReadFailure(const beast::error_code &Failure) {
  constexpr unsigned RequestTimeout = 408;
  constexpr unsigned TooLarge = 413;
  constexpr unsigned HeadersTooLarge = 431;
  if (Failure == beast::error::timeout)
    return RequestTimeout;
  if (Failure == http::error::body_limit)
    return TooLarge;
  if (Failure == http::error::header_limit)
    return HeadersTooLarge;
  return BadRequest;
}

using request_parser = http::request_parser<http::string_body>;

// Reserves the memory that the body takes so far, or will take if its length is
// known. \returns false if there is none left.
bool reserveBody(body_reservation &Reservation, const request_parser &Parser) {
  const std::uint64_t Length = Parser.content_length().value_or(0);
  const std::uint64_t Bytes =
      std::max<std::uint64_t>(Length, Parser.get().body().capacity());
  return Bytes <= MaxUncountedBodyBytes || Reservation.resize(Bytes);
}

http_response malformedResponse(unsigned Status) {
  return jsonResponse(Status, R"({"error":"request-malformed"})");
}

http_response responseForReadFailure(const beast::error_code &Failure) {
  constexpr unsigned Unavailable = 503;
  if (Failure == BodiesTooLarge)
    return notRunResponse(Unavailable, "bodies-too-large", BodiesRetryAfter);
  return malformedResponse(statusForReadFailure(Failure));
}

bool isCallerError(const beast::error_code &Failure) {
  const bool IsHttp = Failure.category() ==
                      beast::error_code(http::error::bad_value).category();
  return Failure == beast::error::timeout || Failure == BodiesTooLarge ||
         (IsHttp && Failure != http::error::end_of_stream &&
          Failure != http::error::partial_message);
}

} // namespace

struct caller_server::shared_state {
  asio::io_context &Context;
  const clock_source &Clock;
  caller_handler Handler;
  caller_bounds Bounds;
  acceptor_pointer Acceptor;
  std::set<class caller_connection *> Connections;
  std::shared_ptr<body_budget> Bodies;
  std::shared_ptr<std::size_t> InFlight = std::make_shared<std::size_t>(0);
  bool Closing = false;
};

/// One connection, served by a coroutine that reads requests and one that
/// writes responses.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  explicit caller_connection(asio::ip::tcp::socket Socket)
      : Stream(std::move(Socket)), StateChanged(Stream.get_executor()) {}

  template <typename State> asio::awaitable<void> read(State Server) {
    Server->Connections.insert(this);
    while (!ReadingDone)
      co_await awaitNextRequest(Server);
    StateChanged.cancel();
    co_await awaitCallerClose();
    Server->Connections.erase(this);
  }

  template <typename State> asio::awaitable<void> write(State Server) {
    for (;;) {
      while (!Pending.empty() && Pending.front()->Ready && !CallerGone) {
        const bool Open = co_await writeNextResponse(Server);
        if (!Open) {
          co_await closeGracefully();
          co_return;
        }
      }
      const bool Done = CallerGone || (ReadingDone && Pending.empty());
      if (Done)
        break;
      // The margin keeps the connection open for a request that the caller
      // sends at the very end of the idle timeout.
      constexpr duration IdleTimeoutMargin = seconds(1);
      StateChanged.expires_after(Server->Bounds.IdleTimeout +
                                 IdleTimeoutMargin);
      auto [WaitFailure] = co_await StateChanged.async_wait(UseTuple);
      if (!WaitFailure)
        closeIfIdle();
    }
    co_await closeGracefully();
  }

  void closeIfIdle() {
    if (Pending.empty() && !Receiving) {
      ReadingDone = true;
      Stream.cancel();
      StateChanged.cancel();
    }
  }

private:
  template <typename State>
  asio::awaitable<void> awaitNextRequest(State Server) {
    while (Pending.size() >= MaxPipelinedRequests && !CallerGone &&
           !ReadingDone) {
      asio::steady_timer Pause(Stream.get_executor(), milliseconds(5));
      co_await Pause.async_wait(UseTuple);
    }
    if (ReadingDone)
      co_return;
    if (Buffer.size() == 0) {
      constexpr std::size_t ReadChunk = 8192;
      Stream.expires_never();
      auto [Failure, Count] =
          co_await Stream.async_read_some(Buffer.prepare(ReadChunk), UseTuple);
      if (Failure) {
        ReadingDone = true;
        if (Failure != asio::error::operation_aborted)
          handleCallerGone();
        co_return;
      }
      Buffer.commit(Count);
    }
    if (!ReadingDone)
      co_await readRequest(Server);
  }

  template <typename State> asio::awaitable<void> readRequest(State Server) {
    Receiving = true;
    request_parser Parser;
    auto Reservation = std::make_unique<body_reservation>(Server->Bodies);
    Buffer.max_size(Server->Bounds.MaxHeaderBytes + ReadBufferBytes);
    Parser.header_limit(Server->Bounds.MaxHeaderBytes);
    Parser.body_limit(Server->Bounds.MaxBodyBytes);
    Stream.expires_after(Server->Bounds.HeaderTimeout);
    auto [HeaderFailure, HeaderBytes] =
        co_await http::async_read_header(Stream, Buffer, Parser, UseTuple);
    beast::error_code Failure = HeaderFailure;
    if (!Failure && !Parser.is_done())
      Failure = co_await readBody(Parser, *Reservation);
    Receiving = false;
    // Meanwhile a response may have announced that the connection closes.
    if (ReadingDone)
      co_return;
    if (Failure) {
      ReadingDone = true;
      if (isCallerError(Failure))
        rejectRequest(responseForReadFailure(Failure));
      else
        handleCallerGone();
      co_return;
    }
    auto Message = Parser.release();
    const bool KeepAlive = Message.keep_alive();
    http_request Request = toHttpRequest(std::move(Message));
    const result<void> Framing = checkFraming(Request.Headers);
    if (!Framing) {
      ReadingDone = true;
      rejectRequest(malformedResponse(BadRequest));
      co_return;
    }
    if (!KeepAlive)
      ReadingDone = true;
    startExchange(Server, std::move(Request), std::move(Reservation));
  }

  asio::awaitable<beast::error_code> readBody(request_parser &Parser,
                                              body_reservation &Reservation) {
    if (!reserveBody(Reservation, Parser))
      co_return BodiesTooLarge;
    if (Parser.get().find(http::field::expect) != Parser.get().end())
      co_await sendContinue();
    Stream.expires_after(BodyTimeout);
    while (!Parser.is_done()) {
      auto [Failure, Count] =
          co_await http::async_read_some(Stream, Buffer, Parser, UseTuple);
      if (Failure)
        co_return Failure;
      if (!reserveBody(Reservation, Parser))
        co_return BodiesTooLarge;
    }
    co_return beast::error_code();
  }

  asio::awaitable<void> sendContinue() {
    static constexpr std::string_view Continue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    if (Pending.empty())
      co_await asio::async_write(Stream, asio::buffer(Continue), UseTuple);
  }

  template <typename State>
  void startExchange(State Server, http_request Request,
                     std::unique_ptr<body_reservation> BodyReservation) {
    auto Exchange = std::make_shared<pending_exchange>();
    Exchange->BodyReservation = std::move(BodyReservation);
    Exchange->IsHead = Request.Method == "HEAD";
    Pending.push_back(Exchange);
    Exchange->InFlightGuard =
        std::make_unique<in_flight_guard>(Server->InFlight);
    asio::co_spawn(
        Stream.get_executor(),
        [Self = shared_from_this(), Server, Exchange,
         Message = std::move(Request)]() mutable {
          return Self->handleRequest(Server, Exchange, std::move(Message));
        },
        asio::detached);
  }

  template <typename State>
  asio::awaitable<void> handleRequest(State Server, exchange_pointer Exchange,
                                      http_request Request) {
    Exchange->Response =
        co_await Server->Handler(std::move(Request), Exchange->CallerStatus);
    Exchange->Ready = true;
    StateChanged.cancel();
  }

  void rejectRequest(http_response Response) {
    auto Exchange = std::make_shared<pending_exchange>();
    Exchange->Response = std::move(Response);
    Exchange->Ready = true;
    Pending.push_back(Exchange);
    StateChanged.cancel();
  }

  template <typename State>
  asio::awaitable<bool> writeNextResponse(State Server) {
    const exchange_pointer Exchange = Pending.front();
    // Requests that were started are answered, so only the last response may
    // close the connection.
    if (Server->Closing)
      ReadingDone = true;
    const bool Close = ReadingDone && Pending.size() == 1;
    auto Message = toBeastResponse(std::move(Exchange->Response), Close);
    Stream.expires_after(WriteTimeout);
    http::response_serializer<http::string_body> Serializer(Message);
    beast::error_code Failure;
    if (Exchange->IsHead) {
      auto [HeadFailure, Count] =
          co_await http::async_write_header(Stream, Serializer, UseTuple);
      Failure = HeadFailure;
    } else {
      auto [WriteFailure, Count] =
          co_await http::async_write(Stream, Serializer, UseTuple);
      Failure = WriteFailure;
    }
    if (Failure)
      handleCallerGone();
    if (!Pending.empty())
      Pending.pop_front();
    co_return !Failure && !Close;
  }

  // Notifies the pending requests that the caller disconnected; nothing is
  // written from then on.
  void handleCallerGone() {
    if (std::exchange(CallerGone, true))
      return;
    for (const exchange_pointer &Exchange : Pending)
      notifyDisconnected(*Exchange->CallerStatus);
    StateChanged.cancel();
  }

  // Discards further input until the caller closes the connection.
  asio::awaitable<void> awaitCallerClose() {
    std::array<char, 512> Discarded{};
    while (!CallerGone && !Closed) {
      Stream.expires_never();
      auto [Failure, Count] =
          co_await Stream.async_read_some(asio::buffer(Discarded), UseTuple);
      if (Failure)
        handleCallerGone();
    }
  }

  asio::awaitable<void> closeGracefully() {
    ReadingDone = true;
    Pending.clear();
    boost::system::error_code Ignored;
    Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    if (!CallerGone) {
      asio::steady_timer Linger(Stream.get_executor(), LingerTimeout);
      co_await Linger.async_wait(UseTuple);
    }
    Closed = true;
    Stream.socket().close(Ignored);
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  asio::steady_timer StateChanged;
  std::deque<exchange_pointer> Pending;
  bool ReadingDone = false;
  bool Receiving = false;
  bool CallerGone = false;
  bool Closed = false;
};

namespace {

template <typename State>
asio::awaitable<void> acceptLoop(State Server, acceptor_pointer Acceptor) {
  for (;;) {
    auto [Failure, Socket] = co_await Acceptor->async_accept(UseTuple);
    if (!Acceptor->is_open())
      co_return;
    if (Failure) {
      logEvent(log_level::Warning, "accept-failed",
               {{"detail", Failure.message()}});
      asio::steady_timer Pause(Server->Context, milliseconds(20));
      co_await Pause.async_wait(UseTuple);
      continue;
    }
    boost::system::error_code Ignored;
    Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    auto Connection = std::make_shared<caller_connection>(std::move(Socket));
    asio::co_spawn(
        Server->Context,
        [Connection, Server] { return Connection->read(Server); },
        asio::detached);
    asio::co_spawn(
        Server->Context,
        [Connection, Server] { return Connection->write(Server); },
        asio::detached);
  }
}

} // namespace

caller_server::caller_server(asio::io_context &Context,
                             const clock_source &Clock, caller_handler Handler,
                             std::uint64_t MaxBodyBytes)
    : State(std::make_shared<shared_state>(shared_state{
          Context,
          Clock,
          std::move(Handler),
          {},
          {},
          {},
          std::make_shared<body_budget>(body_budget{MaxBodyBytes, 0})})) {}

caller_server::~caller_server() {
  boost::system::error_code Ignored;
  if (State->Acceptor)
    State->Acceptor->close(Ignored);
}

result<void> caller_server::listen(const socket_address &Address) {
  const result<acceptor_pointer> Acceptor =
      openAcceptor(State->Context, Address);
  if (!Acceptor)
    return tl::unexpected(Acceptor.error());
  State->Acceptor = *Acceptor;
  asio::co_spawn(State->Context, acceptLoop(State, *Acceptor), asio::detached);
  return {};
}

void caller_server::setBounds(const caller_bounds &Bounds) {
  State->Bounds = Bounds;
}

void caller_server::closeAfterNextResponse() { State->Closing = true; }

void caller_server::closeIdle() {
  const std::set<caller_connection *> Open = State->Connections;
  for (caller_connection *Connection : Open)
    Connection->closeIfIdle();
}

std::size_t caller_server::connectionCount() const {
  return State->Connections.size();
}

std::size_t caller_server::requestsInFlight() const { return *State->InFlight; }

} // namespace coriandertray
