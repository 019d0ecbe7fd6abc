#include "http/http_client.h"

#include "http/body_budget.h"
#include "http/connection_pool.h"
#include "http/response_reader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>

namespace coriandertray {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

http::request<http::string_body> toMessage(http_request Request,
                                           const socket_address &Address) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  for (const http_header &Header : Request.Headers)
    Message.insert(Header.Name, Header.Value);
  if (Message.find(http::field::host) == Message.end())
    Message.set(http::field::host, toString(Address));
  const bool HasBody = !Request.Body.empty();
  Message.body() = std::move(Request.Body);
  if (HasBody || Request.Method == "POST" || Request.Method == "PUT")
    Message.content_length(Message.body().size());
  return Message;
}

call_status statusOfReadFailure(const response_failure &Read) {
  const beast::error_code &Failure = Read.Code;
  if (Failure == beast::error::timeout)
    return call_status::TimedOut;
  if (Failure == http::error::body_limit ||
      Failure == http::error::header_limit ||
      Failure == http::error::buffer_overflow)
    return call_status::TooLarge;
  if (Failure == http::error::partial_message)
    return call_status::Truncated;
  const bool IsHttpFailure =
      Failure.category() ==
      beast::error_code(http::error::bad_value).category();
  if (IsHttpFailure && Failure != http::error::end_of_stream)
    return call_status::Malformed;
  return Read.ResponseBegan ? call_status::Truncated : call_status::Lost;
}

enum class request_id_match : std::uint8_t {
  Matches,
  /// A late response to an earlier request that was abandoned.
  Differs,
  /// The response doesn't tell which request it is for.
  Missing,
};

// An empty id tells nothing, so it counts as none.
std::optional<std::string> sentRequestId(const http_request &Request,
                                         const http_client_limits &Limits) {
  std::optional<std::string> Id =
      findHeader(Request.Headers, Limits.RequestIdHeader);
  return Id && !Id->empty() ? std::move(Id) : std::nullopt;
}

request_id_match matchRequestId(const std::optional<std::string> &SentId,
                                const http_client_limits &Limits,
                                const http_response &Response) {
  const auto ReturnedId = findHeader(Response.Headers, Limits.RequestIdHeader);
  if (!SentId || SentId == ReturnedId)
    return request_id_match::Matches;
  if (ReturnedId)
    return request_id_match::Differs;
  return Limits.RequireRequestId ? request_id_match::Missing
                                 : request_id_match::Matches;
}

// Half of the timeout in the Keep-Alive header, so that a connection is not
// reused just as the server closes it; unlimited without that header.
duration serverIdleLimit(const http_response &Response) {
  const std::string Text =
      findHeader(Response.Headers, "Keep-Alive").value_or("");
  const std::size_t At = Text.find("timeout=");
  if (At == std::string::npos)
    return duration::max();
  constexpr std::size_t KeyLength = 8;
  int Seconds = 0;
  std::from_chars(Text.data() + At + KeyLength, Text.data() + Text.size(),
                  Seconds);
  return seconds(Seconds) / 2;
}

// A request that is written while its response is already being read, because
// a server may respond before it has read the whole request.
struct outgoing_request {
  explicit outgoing_request(http::request<http::string_body> Message)
      : Message(std::move(Message)), Serializer(this->Message) {}
  http::request<http::string_body> Message;
  http::request_serializer<http::string_body> Serializer;
  bool Done = false;
  beast::error_code Failure;
  /// Counts the bytes while they are written.
  std::size_t Written = 0;
};

using outgoing_pointer = std::shared_ptr<outgoing_request>;

void writeRest(const connection_pointer &Connection,
               const outgoing_pointer &Outgoing) {
  http::async_write_some(
      Connection->Stream, Outgoing->Serializer,
      [Connection, Outgoing](beast::error_code Failure, std::size_t Written) {
        Outgoing->Failure = Failure;
        Outgoing->Written += Written;
        Outgoing->Done = Failure || Outgoing->Serializer.is_done();
        if (!Outgoing->Done)
          writeRest(Connection, Outgoing);
      });
}

outgoing_pointer startWriting(const connection_pointer &Connection,
                              http::request<http::string_body> Message) {
  auto Outgoing = std::make_shared<outgoing_request>(std::move(Message));
  writeRest(Connection, Outgoing);
  return Outgoing;
}

// Counts a request with the id \p Id, if any, as sent on \p Connection.
void recordRequest(client_connection &Connection,
                   const std::optional<std::string> &Id, call_trace &Trace) {
  Trace.Connection = Connection.Number;
  Trace.RequestsBefore = Connection.RequestCount++;
  if (Id)
    addCarried(Connection.Carried, *Id);
}

// The status of a call after \p Read, with \p ResponsesSkipped before it.
call_status statusAfterReadFailure(const response_failure &Read,
                                   const outgoing_request &Outgoing,
                                   std::uint32_t ResponsesSkipped) {
  if (Outgoing.Done && Outgoing.Failure && Outgoing.Written == 0)
    return call_status::NotSent;
  const call_status Status = statusOfReadFailure(Read);
  const bool TimedOut = Status == call_status::TimedOut;
  return ResponsesSkipped > 0 && !TimedOut ? call_status::Malformed : Status;
}

void closeSocket(client_connection &Connection) {
  boost::system::error_code Ignored;
  Connection.Stream.socket().close(Ignored);
}

// Whether the end of the connection that was read is the server's regular end.
// The system reports a reset once, to a read or to a write. After a write that
// got it, a read sees a regular end.
bool endedRegularly(const outgoing_request &Outgoing) {
  return !Outgoing.Done || !Outgoing.Failure;
}

} // namespace

std::string_view callStatusName(call_status Status) {
  switch (Status) {
  case call_status::Answered:
    return "answered";
  case call_status::ConnectFailed:
    return "connect-failed";
  case call_status::NotSent:
    return "not-sent";
  case call_status::Lost:
    return "lost";
  case call_status::Truncated:
    return "truncated";
  case call_status::TimedOut:
    return "timed-out";
  case call_status::Malformed:
    return "malformed";
  case call_status::TooLarge:
    return "too-large";
  case call_status::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

bool provesNotRun(call_status Status) {
  return Status == call_status::ConnectFailed || Status == call_status::NotSent;
}

void call_canceller::cancel() {
  Cancelled = true;
  if (Close)
    Close();
}

struct http_client::shared_state {
  asio::io_context &Context;
  http_client_limits Limits;
  connection_pool Pool;
  std::shared_ptr<body_budget> Budget;
  std::uint64_t ConnectionCount = 0;
};

http_client::http_client(asio::io_context &Context, http_client_limits Limits)
    : State(std::make_shared<shared_state>(
          shared_state{Context,
                       Limits,
                       {Limits.IdleConnectionsPerAddress, {}},
                       std::make_shared<body_budget>(
                           body_budget{Limits.TotalBodyBytes, 0})})) {}

http_client::~http_client() = default;

asio::awaitable<call_result>
http_client::call(socket_address Address, http_request Request,
                  call_options Options,
                  std::shared_ptr<call_canceller> Canceller) {
  const std::shared_ptr<shared_state> Client = State;
  const time_point Start = std::chrono::steady_clock::now();
  const time_point Deadline = Start + Options.Timeout;
  call_result Result;
  const std::optional<std::string> SentId =
      sentRequestId(Request, Client->Limits);
  // Responses to a request without an id can't be told from others.
  const bool MayShareConnection = SentId || !Client->Limits.RequireRequestId;
  taken_connection Taken;
  if (MayShareConnection)
    Taken =
        takeIdle(Client->Pool, Address, {Options.MaxIdleAge, SentId}, Start);
  connection_pointer Connection = std::move(Taken.Connection);
  const bool IsNew = !Connection;
  if (IsNew)
    Connection = std::make_shared<client_connection>(
        Client->Context, Client->Limits.HeaderBytes + ReadBufferBytes);
  const auto WasCancelled = [&Canceller] {
    return Canceller && Canceller->isCancelled();
  };
  if (WasCancelled()) {
    Result.Status = call_status::Cancelled;
    co_return Result;
  }
  if (Canceller)
    Canceller->Close = [Weak = std::weak_ptr<client_connection>(Connection)] {
      if (const connection_pointer Open = Weak.lock())
        closeSocket(*Open);
    };
  if (IsNew) {
    Connection->Stream.expires_at(
        std::min(Deadline, Start + Options.ConnectTimeout));
    const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address(Address.Ip),
                                           Address.Port);
    auto [ConnectFailure] =
        co_await Connection->Stream.async_connect(Endpoint, UseTuple);
    if (ConnectFailure || WasCancelled()) {
      Result.Status =
          WasCancelled() ? call_status::Cancelled : call_status::ConnectFailed;
      co_return Result;
    }
    boost::system::error_code Ignored;
    Connection->Stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           Ignored);
    Connection->Number = ++Client->ConnectionCount;
  }
  Connection->Stream.expires_at(Deadline);
  const bool IsHead = Request.Method == "HEAD";
  Result.Trace.ConnectionsAvoided = Taken.Avoided;
  recordRequest(*Connection, SentId, Result.Trace);
  const outgoing_pointer Outgoing =
      startWriting(Connection, toMessage(std::move(Request), Address));
  received_response Received;
  // Limits the interim (1xx) and mismatched responses that are skipped.
  constexpr int MaxResponses = 8;
  body_reservation Reservation(Client->Budget);
  const response_limits ResponseLimits = {Client->Limits.BodyBytes,
                                          Client->Limits.HeaderBytes, IsHead};
  for (int Count = 0; Count < MaxResponses; ++Count) {
    tl::expected<received_response, response_failure> Next =
        co_await readResponse(Connection->Stream, Connection->Buffer,
                              ResponseLimits, Reservation);
    if (!Next) {
      closeSocket(*Connection);
      Result.Trace.BytesWritten = Outgoing->Written;
      Result.Status =
          WasCancelled()
              ? call_status::Cancelled
              : statusAfterReadFailure(Next.error(), *Outgoing,
                                       Result.Trace.ResponsesSkipped);
      co_return Result;
    }
    Received = std::move(*Next);
    Result.Status = call_status::Answered;
    if (isInterimStatus(Received.Response.Status))
      continue;
    const request_id_match Match =
        matchRequestId(SentId, Client->Limits, Received.Response);
    if (Match == request_id_match::Matches)
      break;
    ++Result.Trace.ResponsesSkipped;
    Result.Status = call_status::Malformed;
    const bool MayFollow = Received.LengthKnown && Received.KeepAlive;
    if (Match == request_id_match::Missing || !MayFollow)
      break;
  }
  if (isInterimStatus(Received.Response.Status))
    Result.Status = call_status::Malformed;
  const bool IsComplete =
      Received.LengthKnown || (Client->Limits.AcceptResponsesWithoutLength &&
                               endedRegularly(*Outgoing));
  if (Result.Status == call_status::Answered && !IsComplete)
    Result.Status = call_status::Truncated;
  const bool NoSurplusData =
      Connection->Buffer.size() == 0 && Result.Trace.ResponsesSkipped == 0;
  const bool Reusable = Result.Status == call_status::Answered &&
                        Received.KeepAlive && Received.LengthKnown &&
                        NoSurplusData && MayShareConnection && Outgoing->Done &&
                        !Outgoing->Failure;
  Connection->ServerIdleLimit = serverIdleLimit(Received.Response);
  Result.Response = std::move(Received.Response);
  Result.Trace.BytesWritten = Outgoing->Written;
  if (!Reusable)
    closeSocket(*Connection);
  if (Canceller)
    Canceller->Close = {};
  if (Reusable && !WasCancelled())
    returnToPool(Client->Pool, Address, std::move(Connection),
                 std::chrono::steady_clock::now());
  co_return Result;
}

void http_client::closeIdle(const socket_address &Address) {
  State->Pool.Idle.erase(Address);
}

std::uint64_t http_client::receivedBodyBytes() const {
  return State->Budget->Used;
}

std::size_t http_client::idleConnectionCount() const {
  std::size_t Count = 0;
  for (const auto &[Address, Connections] : State->Pool.Idle)
    Count += Connections.size();
  return Count;
}

} // namespace coriandertray
