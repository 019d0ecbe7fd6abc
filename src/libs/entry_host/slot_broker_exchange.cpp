#include "entry_host/slot_broker.h"

#include "entry_host/slot_wire.h"
#include "utils/log.h"

// The part of slot_broker that exchanges messages with the other hosts.

namespace coriandertray {

void slot_broker::deliverAnswer(const std::string &Pool,
                                const slot_answer &Answer) {
  if (Answer.Key.Host != Self) {
    const auto Requester = RequesterLinks.find(Answer.Key.Host);
    const link_pointer Link =
        Requester == RequesterLinks.end() ? nullptr : Requester->second.lock();
    if (Link && Link->isOpen()) {
      envelope Message;
      Message.body = makeBody(toWire(Answer));
      Link->send(Message);
      return;
    }
  } else if (const auto Found = PendingSlots.find(Answer.Key.Id);
             Found != PendingSlots.end()) {
    Found->second->Answer = Answer;
    Found->second->Wakeup.cancel();
    return;
  }
  if (Answer.Verdict != slot_verdict::Granted)
    return;
  // No request waits for this grant any more.
  releaseSlot(allocationFor(Pool), {Answer.Key, slot_outcome::NotUsed, {}},
              Clock.now());
}

void slot_broker::receiveAnswer(const link_pointer &Link,
                                const wire::slot_answer_value &Value) {
  const result<slot_answer> Answer = fromWire(Value, Self);
  if (!Answer) {
    logEvent(log_level::Warning, "peer-message-malformed",
             {{"detail", Answer.error().Detail}});
    return;
  }
  const auto Found = PendingSlots.find(Value.id);
  const bool Expected =
      Found != PendingSlots.end() && Found->second->Link == Link;
  if (!Expected) {
    // The answer is late: the request asked another allocator or stopped
    // waiting.
    wire::slot_end_value End =
        toWire(slot_release{{Self, Value.id}, slot_outcome::NotUsed, {}},
               std::string());
    envelope Message;
    Message.body = makeBody(std::move(End));
    if (Answer->Verdict == slot_verdict::Granted)
      Link->send(Message);
    return;
  }
  Found->second->Acknowledged = true;
  if (Answer->Verdict != slot_verdict::Queued)
    Found->second->Answer = *Answer;
  Found->second->Wakeup.cancel();
}

void slot_broker::receiveRequest(const link_pointer &Link,
                                 const wire::slot_request_value &Value) {
  const time_point Now = Clock.now();
  RequesterLinks[Value.host] = Link;
  const slot_request Request = fromWire(Value, Now);
  if (!findPool(Value.pool)) {
    // The requesting host has another list of backend servers than this host.
    deliverAnswer(Value.pool, makeUnknownPoolRefusal(Request.Key));
    return;
  }
  slot_allocator &State = allocationFor(Value.pool);
  updateRole(State, Value.pool, roleFor(Value.pool));
  const slot_answer Answer = requestSlot(State, Request, Now);
  deliverAnswer(Value.pool, Answer);
  logAllocatorChanges(Value.pool, State);
  if (Answer.Verdict == slot_verdict::Queued)
    startAdvanceLoop();
}

// A host returns a late grant without the name of its pool, so an end without
// a pool goes to the allocators of all pools.
void slot_broker::receiveEnd(const wire::slot_end_value &Value) {
  const slot_release End = fromWire(Value);
  for (auto &[Pool, State] : Allocations) {
    if (!Value.pool.empty() && Value.pool != Pool)
      continue;
    releaseSlot(State, End, Clock.now());
    logAllocatorChanges(Pool, State);
    advanceQueue(Pool);
  }
}

bool slot_broker::receive(const link_pointer &Link, const envelope &Message) {
  if (const auto *Value = Message.body.Asslot_request()) {
    receiveRequest(Link, *Value);
    return true;
  }
  if (const auto *Value = Message.body.Asslot_answer()) {
    receiveAnswer(Link, *Value);
    return true;
  }
  if (const auto *Value = Message.body.Asslot_end()) {
    receiveEnd(*Value);
    return true;
  }
  if (const auto *Value = Message.body.Asslot_use()) {
    const time_point Now = Clock.now();
    if (findPool(Value->pool))
      adoptLease(allocationFor(Value->pool), fromWire(*Value, Now), Now);
    return true;
  }
  return false;
}

} // namespace coriandertray
