#include "wire/frame_link.h"

#include "utils/listen.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// Disconnects a receiver that reads too slowly, so that the send queue stays
// bounded. Anti-entropy repair later brings the receiver up to date.
constexpr std::size_t MaxSendQueueBytes = 16U << 20U;

asio::awaitable<void>
acceptLoop(std::shared_ptr<asio::ip::tcp::acceptor> Acceptor,
           std::function<void(const std::shared_ptr<frame_link> &)> OnLink) {
  for (;;) {
    auto [Failure, Socket] = co_await Acceptor->async_accept(UseTuple);
    if (Failure == asio::error::operation_aborted)
      co_return;
    if (!Failure)
      OnLink(std::make_shared<frame_link>(std::move(Socket)));
  }
}

} // namespace

frame_link::frame_link(asio::ip::tcp::socket Socket)
    : Socket(std::move(Socket)) {
  boost::system::error_code Ignored;
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

void frame_link::start(message_handler OnMessage, close_handler OnClose) {
  this->OnMessage = std::move(OnMessage);
  this->OnClose = std::move(OnClose);
  asio::co_spawn(
      Socket.get_executor(),
      [Self = shared_from_this()] { return Self->readLoop(); }, asio::detached);
}

void frame_link::send(const envelope &Message) {
  if (!Open)
    return;
  SendQueue.push_back(encodeFrame(Message));
  SendQueueBytes += SendQueue.back().size();
  if (SendQueueBytes > MaxSendQueueBytes) {
    close();
    return;
  }
  if (Writing)
    return;
  Writing = true;
  asio::co_spawn(
      Socket.get_executor(),
      [Self = shared_from_this()] { return Self->writeLoop(); },
      asio::detached);
}

void frame_link::answer(const envelope &Request, wire::messageUnion Body) {
  envelope Message;
  Message.answers = Request.sequence;
  Message.body = std::move(Body);
  send(Message);
}

asio::awaitable<result<envelope>> frame_link::request(wire::messageUnion Body,
                                                      duration Timeout) {
  auto Self = shared_from_this();
  envelope Message;
  Message.sequence = NextSequence++;
  Message.body = std::move(Body);
  auto Waiting = std::make_shared<pending_answer>(
      pending_answer{asio::steady_timer(Socket.get_executor(), Timeout), {}});
  Pending[Message.sequence] = Waiting;
  send(Message);
  if (Open)
    co_await Waiting->Expiry.async_wait(UseTuple);
  Pending.erase(Message.sequence);
  if (Waiting->Answer)
    co_return std::move(*Waiting->Answer);
  if (!Open)
    co_return fail(error_code::ConnectionClosed, "the connection was closed");
  co_return fail(error_code::TimedOut, "no answer in time");
}

void frame_link::close() {
  if (!std::exchange(Open, false))
    return;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  for (auto &[Sequence, Waiting] : Pending)
    Waiting->Expiry.cancel();
  if (OnClose)
    OnClose();
  OnMessage = {};
  OnClose = {};
}

void frame_link::dispatch(envelope Message) {
  if (Message.answers == 0) {
    // Copied because the handler may call close(), which resets OnMessage.
    const message_handler Handler = OnMessage;
    if (Handler)
      Handler(shared_from_this(), std::move(Message));
    return;
  }
  const auto Found = Pending.find(Message.answers);
  if (Found == Pending.end())
    return;
  Found->second->Answer = std::make_shared<envelope>(std::move(Message));
  Found->second->Expiry.cancel();
}

asio::awaitable<result<envelope>> frame_link::readFrame() {
  std::array<std::uint8_t, FrameHeaderBytes> Header{};
  auto [HeaderFailure, HeaderBytes] =
      co_await asio::async_read(Socket, asio::buffer(Header), UseTuple);
  if (HeaderFailure)
    co_return fail(error_code::ConnectionClosed, HeaderFailure.message());
  const result<std::size_t> Length = decodeFrameHeader(Header);
  if (!Length)
    co_return tl::unexpected(Length.error());
  std::vector<std::uint8_t> Bytes(*Length);
  auto [Failure, Count] =
      co_await asio::async_read(Socket, asio::buffer(Bytes), UseTuple);
  if (Failure)
    co_return fail(error_code::ConnectionClosed, Failure.message());
  co_return decodeEnvelope(Bytes);
}

asio::awaitable<void> frame_link::readLoop() {
  while (Open) {
    result<envelope> Message = co_await readFrame();
    if (!Message) {
      if (Message.error().Code == error_code::FrameMalformed)
        logEvent(log_level::Warning, "frame-malformed",
                 {{"detail", Message.error().Detail}});
      break;
    }
    dispatch(std::move(*Message));
  }
  close();
}

asio::awaitable<void> frame_link::writeLoop() {
  while (Open && !SendQueue.empty()) {
    const std::vector<std::uint8_t> Frame = std::move(SendQueue.front());
    SendQueue.pop_front();
    SendQueueBytes -= Frame.size();
    auto [Failure, Count] =
        co_await asio::async_write(Socket, asio::buffer(Frame), UseTuple);
    SentBytes += Count;
    if (Failure)
      close();
  }
  Writing = false;
}

asio::awaitable<result<std::shared_ptr<frame_link>>>
connectLink(asio::io_context &Context, socket_address Address,
            duration Timeout) {
  auto Socket = std::make_shared<asio::ip::tcp::socket>(Context);
  auto Expiry = std::make_shared<asio::steady_timer>(Context, Timeout);
  Expiry->async_wait([Socket](boost::system::error_code Failure) {
    if (!Failure)
      Socket->close(Failure);
  });
  const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address(Address.Ip),
                                         Address.Port);
  auto [Failure] = co_await Socket->async_connect(Endpoint, UseTuple);
  Expiry->cancel();
  if (Failure)
    co_return fail(error_code::ConnectFailed,
                   toString(Address) + " " + Failure.message());
  co_return std::make_shared<frame_link>(std::move(*Socket));
}

result<void> listenForLinks(
    asio::io_context &Context, const socket_address &Address,
    std::function<void(const std::shared_ptr<frame_link> &)> OnLink) {
  const result<acceptor_pointer> Acceptor = openAcceptor(Context, Address);
  if (!Acceptor)
    return tl::unexpected(Acceptor.error());
  asio::co_spawn(Context, acceptLoop(*Acceptor, std::move(OnLink)),
                 asio::detached);
  return {};
}

} // namespace coriandertray
