/// \file
/// TCP connections that carry frames between the processes of a fleet. Each has
/// one read loop and one send queue, and matches answers to requests by
/// sequence number.
#pragma once

#include "utils/address.h"
#include "utils/clock.h"
#include "wire/frame_codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace coriandertray {

namespace asio = boost::asio;

/// One connection. All members must be called on the thread that runs its
/// io_context.
class frame_link : public std::enable_shared_from_this<frame_link> {
public:
  /// Called for each received message that is not an answer to a request.
  using message_handler =
      std::function<void(const std::shared_ptr<frame_link> &, envelope)>;
  using close_handler = std::function<void()>;

  explicit frame_link(asio::ip::tcp::socket Socket);

  /// Starts the read loop. \pre not called before.
  void start(message_handler OnMessage, close_handler OnClose = {});

  /// Queues \p Message for sending. Does nothing if the link is closed; closes
  /// the link if too many bytes are queued.
  void send(const envelope &Message);

  /// Queues \p Body as the answer to \p Request.
  void answer(const envelope &Request, wire::messageUnion Body);

  /// Sends \p Body as a request and waits for the answer. Fails with TimedOut
  /// or ConnectionClosed.
  asio::awaitable<result<envelope>> request(wire::messageUnion Body,
                                            duration Timeout);

  void close();
  [[nodiscard]] bool isOpen() const { return Open; }
  [[nodiscard]] std::uint64_t bytesSent() const { return SentBytes; }

private:
  /// A request that waits for its answer. Expiry is cancelled when the answer
  /// arrives or the link closes.
  struct pending_answer {
    asio::steady_timer Expiry;
    std::shared_ptr<envelope> Answer;
  };

  asio::awaitable<void> readLoop();
  asio::awaitable<void> writeLoop();
  asio::awaitable<result<envelope>> readFrame();
  void dispatch(envelope Message);

  asio::ip::tcp::socket Socket;
  message_handler OnMessage;
  close_handler OnClose;
  std::deque<std::vector<std::uint8_t>> SendQueue;
  std::map<std::uint64_t, std::shared_ptr<pending_answer>> Pending;
  std::uint64_t NextSequence = 1;
  std::uint64_t SentBytes = 0;
  std::size_t SendQueueBytes = 0;
  bool Writing = false;
  bool Open = true;
};

/// Connects to \p Address. Fails with ConnectFailed, also after \p Timeout. The
/// caller must start the link.
asio::awaitable<result<std::shared_ptr<frame_link>>>
connectLink(asio::io_context &Context, socket_address Address,
            duration Timeout);

/// Accepts links on \p Address until \p Context stops and passes each to
/// \p OnLink, which must start it. Fails with AddressMalformed if it cannot
/// listen on \p Address.
result<void>
listenForLinks(asio::io_context &Context, const socket_address &Address,
               std::function<void(const std::shared_ptr<frame_link> &)> OnLink);

/// \returns a message body that holds \p Value.
template <typename T> wire::messageUnion makeBody(T Value) {
  wire::messageUnion Body;
  Body.Set(std::move(Value));
  return Body;
}

} // namespace coriandertray
