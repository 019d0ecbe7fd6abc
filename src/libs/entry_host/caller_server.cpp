#include "entry_host/caller_server.h"

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
// Requests read ahead of their answers on one connection.
constexpr std::size_t MostAhead = 16;
constexpr duration BodyTimeout = seconds(10);
constexpr duration WriteTimeout = seconds(10);
// How long a closed connection is read on, so that the caller gets the last
// answer and not a reset.
constexpr duration LingerTime = milliseconds(1500);

/// Counts a request as in flight while it lives.
class in_flight_mark {
public:
  explicit in_flight_mark(std::shared_ptr<std::size_t> Count)
      : Count(std::move(Count)) {
    ++*this->Count;
  }
  ~in_flight_mark() { --*Count; }
  in_flight_mark(const in_flight_mark &) = delete;
  in_flight_mark &operator=(const in_flight_mark &) = delete;

private:
  std::shared_ptr<std::size_t> Count;
};

/// One request on a connection, until its answer is written.
struct exchange_slot {
  std::unique_ptr<in_flight_mark> Mark;
  http_response Answer;
  bool Ready = false;
  bool IsHead = false;
  bool Close = false;
  std::shared_ptr<caller_presence> Caller = std::make_shared<caller_presence>();
};

using exchange_pointer = std::shared_ptr<exchange_slot>;

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

http::response<http::string_body> toMessage(http_response Answer, bool Close) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Answer.Status);
  for (const http_header &Header : Answer.Headers)
    Message.insert(Header.Name, Header.Value);
  Message.body() = std::move(Answer.Body);
  Message.keep_alive(!Close);
  Message.prepare_payload();
  return Message;
}

unsigned statusOf(const beast::error_code &Failure) {
  constexpr unsigned BadRequest = 400;
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

bool isCallersFault(const beast::error_code &Failure) {
  const bool IsHttp = Failure.category() ==
                      beast::error_code(http::error::bad_value).category();
  return Failure == beast::error::timeout ||
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
  std::shared_ptr<std::size_t> InFlight = std::make_shared<std::size_t>(0);
  bool Closing = false;
};

/// One connection: a coroutine that reads and one that writes.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  explicit caller_connection(asio::ip::tcp::socket Socket)
      : Stream(std::move(Socket)), Changed(Stream.get_executor()) {}

  template <typename State> asio::awaitable<void> read(State Server) {
    Server->Connections.insert(this);
    while (!ReadOver)
      co_await readOne(Server);
    Changed.cancel();
    co_await watchUntilGone();
    Server->Connections.erase(this);
  }

  template <typename State> asio::awaitable<void> write(State Server) {
    for (;;) {
      while (!Pending.empty() && Pending.front()->Ready && !Gone) {
        const bool Open = co_await writeFront(Server);
        if (!Open) {
          co_await closeInOrder();
          co_return;
        }
      }
      const bool Over = Gone || (ReadOver && Pending.empty());
      if (Over)
        break;
      // A caller may use a connection up to the end of the idle time.
      constexpr duration IdleSlack = seconds(1);
      Changed.expires_after(Server->Bounds.IdleTimeout + IdleSlack);
      auto [Woken] = co_await Changed.async_wait(UseTuple);
      if (!Woken)
        closeIfIdle();
    }
    co_await closeInOrder();
  }

  void closeIfIdle() {
    if (Pending.empty() && !Receiving) {
      ReadOver = true;
      Stream.cancel();
      Changed.cancel();
    }
  }

private:
  template <typename State> asio::awaitable<void> readOne(State Server) {
    while (Pending.size() >= MostAhead && !Gone && !ReadOver) {
      asio::steady_timer Pause(Stream.get_executor(), milliseconds(5));
      co_await Pause.async_wait(UseTuple);
    }
    if (ReadOver)
      co_return;
    if (Buffer.size() == 0) {
      constexpr std::size_t ReadChunk = 8192;
      Stream.expires_never();
      auto [Failure, Count] =
          co_await Stream.async_read_some(Buffer.prepare(ReadChunk), UseTuple);
      if (Failure) {
        ReadOver = true;
        if (Failure != asio::error::operation_aborted)
          leave();
        co_return;
      }
      Buffer.commit(Count);
    }
    if (!ReadOver)
      co_await readRequest(Server);
  }

  template <typename State> asio::awaitable<void> readRequest(State Server) {
    Receiving = true;
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(Server->Bounds.MaxHeaderBytes);
    Parser.body_limit(Server->Bounds.MaxBodyBytes);
    Stream.expires_after(Server->Bounds.HeaderTimeout);
    auto [HeaderFailure, HeaderBytes] =
        co_await http::async_read_header(Stream, Buffer, Parser, UseTuple);
    beast::error_code Failure = HeaderFailure;
    if (!Failure && !Parser.is_done()) {
      if (Parser.get().find(http::field::expect) != Parser.get().end())
        co_await sendContinue();
      Stream.expires_after(BodyTimeout);
      auto [BodyFailure, BodyBytes] =
          co_await http::async_read(Stream, Buffer, Parser, UseTuple);
      Failure = BodyFailure;
    }
    Receiving = false;
    if (Failure) {
      ReadOver = true;
      if (isCallersFault(Failure))
        refuse(statusOf(Failure));
      else
        leave();
      co_return;
    }
    auto Message = Parser.release();
    const bool KeepAlive = Message.keep_alive();
    http_request Request = toRequest(std::move(Message));
    constexpr unsigned BadRequest = 400;
    const result<void> Framing = checkFraming(Request.Headers);
    if (!Framing) {
      ReadOver = true;
      refuse(BadRequest);
      co_return;
    }
    if (!KeepAlive)
      ReadOver = true;
    begin(Server, std::move(Request), !KeepAlive);
  }

  asio::awaitable<void> sendContinue() {
    static constexpr std::string_view Continue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    if (Pending.empty())
      co_await asio::async_write(Stream, asio::buffer(Continue), UseTuple);
  }

  template <typename State>
  void begin(State Server, http_request Request, bool Close) {
    auto Slot = std::make_shared<exchange_slot>();
    Slot->IsHead = Request.Method == "HEAD";
    Slot->Close = Close;
    Pending.push_back(Slot);
    Slot->Mark = std::make_unique<in_flight_mark>(Server->InFlight);
    asio::co_spawn(
        Stream.get_executor(),
        [Self = shared_from_this(), Server, Slot,
         Message = std::move(Request)]() mutable {
          return Self->serve(Server, Slot, std::move(Message));
        },
        asio::detached);
  }

  template <typename State>
  asio::awaitable<void> serve(State Server, exchange_pointer Slot,
                              http_request Request) {
    Slot->Answer = co_await Server->Handler(std::move(Request), Slot->Caller);
    Slot->Ready = true;
    Changed.cancel();
  }

  void refuse(unsigned Status) {
    auto Slot = std::make_shared<exchange_slot>();
    Slot->Answer = jsonResponse(Status, R"({"error":"request-malformed"})");
    Slot->Ready = true;
    Slot->Close = true;
    Pending.push_back(Slot);
    Changed.cancel();
  }

  template <typename State> asio::awaitable<bool> writeFront(State Server) {
    const exchange_pointer Slot = Pending.front();
    const bool Close = Slot->Close || Server->Closing;
    auto Message = toMessage(std::move(Slot->Answer), Close);
    Stream.expires_after(WriteTimeout);
    http::response_serializer<http::string_body> Serializer(Message);
    beast::error_code Failure;
    if (Slot->IsHead) {
      auto [HeadFailure, Count] =
          co_await http::async_write_header(Stream, Serializer, UseTuple);
      Failure = HeadFailure;
    } else {
      auto [WriteFailure, Count] =
          co_await http::async_write(Stream, Serializer, UseTuple);
      Failure = WriteFailure;
    }
    if (Failure)
      leave();
    if (!Pending.empty())
      Pending.pop_front();
    co_return !Failure && !Close;
  }

  // The caller is gone: its requests are told, and nothing is written any more.
  void leave() {
    if (std::exchange(Gone, true))
      return;
    for (const exchange_pointer &Slot : Pending)
      noteGone(*Slot->Caller);
    Changed.cancel();
  }

  // After the last request of a connection, only its end is awaited.
  asio::awaitable<void> watchUntilGone() {
    std::array<char, 512> Surplus{};
    while (!Gone && !Closed) {
      Stream.expires_never();
      auto [Failure, Count] =
          co_await Stream.async_read_some(asio::buffer(Surplus), UseTuple);
      if (Failure)
        leave();
    }
  }

  asio::awaitable<void> closeInOrder() {
    ReadOver = true;
    Pending.clear();
    boost::system::error_code Ignored;
    Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    if (!Gone) {
      asio::steady_timer Linger(Stream.get_executor(), LingerTime);
      co_await Linger.async_wait(UseTuple);
    }
    Closed = true;
    Stream.socket().close(Ignored);
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  asio::steady_timer Changed;
  std::deque<exchange_pointer> Pending;
  bool ReadOver = false;
  bool Receiving = false;
  bool Gone = false;
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
                             const clock_source &Clock, caller_handler Handler)
    : State(std::make_shared<shared_state>(
          shared_state{Context, Clock, std::move(Handler), {}, {}, {}})) {}

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

void caller_server::closeAfterAnswers() { State->Closing = true; }

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
