#include "entry_host/slot_broker.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

// A host that asks two other hosts for slots, whose answers the test chooses.

using namespace coriandertray;

namespace {

asio::awaitable<void> pauseFor(duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void sendAnswer(const link_pointer &Link, std::uint64_t Id,
                wire::slot_verdict Verdict) {
  wire::slot_answer_value Answer;
  Answer.id = Id;
  Answer.verdict = Verdict;
  Answer.backend_server = "server";
  Answer.address = "127.97.8.9:80";
  envelope Message;
  Message.body = makeBody(std::move(Answer));
  Link->send(Message);
}

class asking_host {
public:
  using allocator = std::function<void(const link_pointer &, std::uint64_t)>;

  asking_host()
      : Peers(Context, Clock, "asking", {}),
        Broker(Context, Clock, Peers, "asking", "a", {}) {
    startLogging("test", "", log_level::Error);
    std::vector<fleet_member> Members = {
        {"asking", "a", {"127.97.8.1", 18'510}, 100}};
    for (const std::string Host : {"other-1", "other-2"}) {
      const socket_address Address = {"127.97.8." + Host.substr(6), 18'511};
      Members.push_back({Host, "a", Address, 1000});
      REQUIRE(listenForLinks(Context, Address, [this](const auto &Link) {
        Links.push_back(Link);
        Link->start([this](const link_pointer &From, const envelope &Message) {
          receive(From, Message);
        });
      }));
    }
    REQUIRE(
        Peers.start({"127.97.8.1", 18'510},
                    [this](const link_pointer &Link, const envelope &Message) {
                      (void)Broker.receive(Link, Message);
                    }));
    Peers.setMembers(std::move(Members));
    backend_registration Server;
    Server.Name = "server";
    Server.Service = "one";
    Server.Address = {"127.97.8.9", 80};
    Server.Slots = 3;
    Broker.setBackends({Server});
  }

  /// Asks for a slot while \p Beside runs. \returns what was acquired.
  acquired_slot acquire(const std::function<asio::awaitable<void>()> &Beside) {
    acquired_slot Slot;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          while (!Peers.isUsable("other-1") || !Peers.isUsable("other-2"))
            co_await pauseFor(milliseconds(5));
          asio::co_spawn(Context, Beside(), asio::detached);
          slot_request Request;
          Request.Idempotent = true;
          Request.Target = Clock.now() + seconds(1);
          Request.Deadline = Clock.now() + seconds(2);
          Slot = co_await Broker.acquire("one", Request,
                                         std::make_shared<slot_wait>());
          Context.stop();
        },
        asio::detached);
    Context.run();
    return Slot;
  }

  asio::io_context Context;
  steady_clock_source Clock;
  peer_network Peers;
  slot_broker Broker;
  /// Answers the first slot request; the others are granted.
  allocator OnFirstRequest;
  std::vector<std::uint64_t> AskedIds;
  /// At the other hosts, in order of their acceptance.
  std::vector<link_pointer> Links;

private:
  void receive(const link_pointer &Link, const envelope &Message) {
    if (Message.body.Asping())
      Link->answer(Message, makeBody(wire::ping_value()));
    const auto *Request = Message.body.Asslot_request();
    if (!Request)
      return;
    AskedIds.push_back(Request->id);
    if (AskedIds.size() == 1)
      OnFirstRequest(Link, Request->id);
    else
      sendAnswer(Link, Request->id, wire::slot_verdict::Granted);
  }
};

asio::awaitable<void> doNothing() { co_return; }

} // namespace

// Guards against: the late grant of a host that was asked first is returned
// under the id of the slot in use, which another host granted.
TEST_CASE("each host that is asked for a slot gets an id of its own") {
  asking_host Host;
  Host.OnFirstRequest = [](const link_pointer &, std::uint64_t) {};
  const acquired_slot Slot = Host.acquire(doNothing);
  CHECK(Slot.Answer.Verdict == slot_verdict::Granted);
  REQUIRE(Host.AskedIds.size() == 2);
  CHECK(Host.AskedIds[0] != Host.AskedIds[1]);
  CHECK(Slot.Answer.Key.Id == Host.AskedIds[1]);
}

// Guards against: a request waits until its deadline for a host that lost it
// with its link, as the link was open again when it was looked at.
TEST_CASE("a request that waits at a replaced link is sent to another host") {
  asking_host Host;
  bool LinkClosed = false;
  Host.OnFirstRequest = [&](const link_pointer &Link, std::uint64_t Id) {
    sendAnswer(Link, Id, wire::slot_verdict::Queued);
    asio::co_spawn(
        Host.Context,
        [&, Link]() -> asio::awaitable<void> {
          co_await pauseFor(milliseconds(20));
          Link->close();
          LinkClosed = true;
        },
        asio::detached);
  };
  const auto RelinkAtOnce = [&]() -> asio::awaitable<void> {
    const auto IsOpen = [&Host](const std::string &Name) {
      return Host.Peers.linkTo(Name)->isOpen();
    };
    while (!LinkClosed || (IsOpen("other-1") && IsOpen("other-2")))
      co_await pauseFor(milliseconds(1));
    // A change of duties opens missing links at once.
    Host.Peers.setDuties("other", {"duty"});
  };
  const acquired_slot Slot = Host.acquire(RelinkAtOnce);
  CHECK(Slot.Answer.Verdict == slot_verdict::Granted);
  CHECK(Host.AskedIds.size() == 2);
}
