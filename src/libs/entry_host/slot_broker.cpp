#include "entry_host/slot_broker.h"

#include "entry_host/slot_wire.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ranges>

namespace coriandertray {

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
// An allocator answers in a few milliseconds; one that doesn't within this time
// is stopped, cut off, or has no processor time.
constexpr duration FirstAnswerTimeout = milliseconds(120);
constexpr duration TurnInterval = milliseconds(10);
// How often one that waits checks that its allocator is still there.
constexpr duration WaitCheck = milliseconds(100);
constexpr std::size_t AllocatorsAsked = 2;

std::string dutyOf(const std::string &Service) { return "slots/" + Service; }

std::uint64_t firstId() {
  // Another process of the same host must not reuse ids that are still held.
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Us =
      std::chrono::duration_cast<std::chrono::microseconds>(Now).count();
  return static_cast<std::uint64_t>(Us);
}

} // namespace

void giveUp(slot_wait &Wait) {
  Wait.GivenUp = true;
  if (Wait.Wake)
    Wait.Wake();
}

slot_broker::slot_broker(asio::io_context &Context, const clock_source &Clock,
                         peer_network &Peers, std::string Self,
                         std::string Zone, retry_limits Retries)
    : Context(Context), Clock(Clock), Peers(Peers), Self(std::move(Self)),
      Zone(std::move(Zone)), Retries(Retries), NextId(firstId()) {}

service_allocation &slot_broker::allocation(const std::string &Service) {
  const auto Found = Allocations.find(Service);
  if (Found != Allocations.end())
    return Found->second;
  service_allocation &State = Allocations[Service];
  State.Retries = Retries;
  std::vector<backend_registration> Own;
  std::ranges::copy_if(Backends, std::back_inserter(Own),
                       [&Service](const backend_registration &Backend) {
                         return Backend.Service == Service;
                       });
  coriandertray::setBackends(State, Own, Clock.now());
  return State;
}

void slot_broker::setBackends(const std::vector<backend_registration> &Next) {
  Backends = Next;
  std::map<std::string, std::vector<backend_registration>> ByService;
  for (const auto &[Service, State] : Allocations)
    ByService[Service];
  for (const backend_registration &Backend : Backends) {
    Peers.watchDuty(dutyOf(Backend.Service));
    ByService[Backend.Service].push_back(Backend);
  }
  for (const auto &[Service, Own] : ByService) {
    coriandertray::setBackends(allocation(Service), Own, Clock.now());
    serveWaiting(Service);
  }
}

void slot_broker::noteAllocator(const std::string &Service,
                                const std::string &Host) {
  std::string &Current = CurrentAllocator[Service];
  if (Current == Host)
    return;
  logEvent(log_level::Info, "allocator-changed",
           {{"service", Service}, {"from", Current}, {"to", Host}});
  Current = Host;
  const time_point Now = Clock.now();
  for (const auto &[Id, Slot] : Held) {
    if (Slot.Service != Service || Slot.Allocator == Host)
      continue;
    const slot_use_report Report = {
        {Self, Id}, Slot.Backend, Slot.Work, Slot.Start, Slot.Deadline};
    if (Host == Self)
      adoptUse(allocation(Service), Report, Now);
    else
      Peers.send(Host, makeBody(toWire(Report, Service, Now)));
  }
}

void slot_broker::askHere(const std::string &Service,
                          const slot_request &Request,
                          const pending_pointer &Pending) {
  Pending->Allocator = Self;
  Pending->Acknowledged = true;
  service_allocation &State = allocation(Service);
  const slot_answer Answer = askSlot(State, Request, Clock.now());
  logBeliefs(Service, State);
  if (Answer.Verdict == slot_verdict::Queued)
    keepTurning();
  else
    Pending->Answer = Answer;
}

asio::awaitable<void>
slot_broker::askAllocator(const std::string &Service,
                          const slot_request &Request, pending_pointer Pending,
                          std::shared_ptr<slot_wait> Wait) {
  const time_point Asked = Clock.now();
  while (!Pending->Answer && !Wait->GivenUp) {
    const time_point Now = Clock.now();
    if (Now >= Request.Deadline)
      co_return;
    const bool Silent =
        !Pending->Acknowledged && Now - Asked >= FirstAnswerTimeout;
    if (Silent && Pending->Allocator != Self) {
      Peers.distrust(Pending->Allocator);
      co_return;
    }
    if (Pending->Allocator != Self && !Peers.isUsable(Pending->Allocator))
      co_return;
    const time_point Check =
        Pending->Acknowledged ? Now + WaitCheck : Asked + FirstAnswerTimeout;
    Pending->Turn.expires_at(std::min(Check, Request.Deadline));
    co_await Pending->Turn.async_wait(UseTuple);
  }
  (void)Service;
}

asio::awaitable<acquired_slot>
slot_broker::acquire(std::string Service, slot_request Request,
                     std::shared_ptr<slot_wait> Wait) {
  const std::uint64_t Id = NextId++;
  Request.Key = {Self, Id};
  Request.Zone = Zone;
  Request.Asked = Clock.now();
  const auto Mine = std::make_shared<pending_slot>(Context);
  Pending[Id] = Mine;
  Wait->Wake = [Mine] { Mine->Turn.cancel(); };
  std::vector<std::string> Allocators = Peers.ranked(dutyOf(Service));
  std::erase_if(Allocators, [this](const std::string &Host) {
    return !Peers.isUsable(Host);
  });
  if (Allocators.size() > AllocatorsAsked)
    Allocators.resize(AllocatorsAsked);
  Allocators.push_back(Self);
  for (const std::string &Host : Allocators) {
    Mine->Allocator = Host;
    Mine->Acknowledged = false;
    noteAllocator(Service, Host);
    if (Host == Self) {
      askHere(Service, Request, Mine);
    } else {
      wire::slot_request_value Value = toWire(Request, Service, Clock.now());
      Peers.send(Host, makeBody(std::move(Value)));
    }
    co_await askAllocator(Service, Request, Mine, Wait);
    const bool Over = Mine->Answer || Wait->GivenUp ||
                      Clock.now() >= Request.Deadline || Host == Self;
    if (Over)
      break;
    endAt(Host, Service, {Request.Key, slot_outcome::NotUsed, {}});
  }
  Wait->Wake = {};
  Pending.erase(Id);
  acquired_slot Slot;
  Slot.Allocator = Mine->Allocator;
  if (Mine->Answer) {
    Slot.Answer = *Mine->Answer;
    if (Slot.Answer.Verdict == slot_verdict::Granted)
      Held[Id] = {Service,      Mine->Allocator, Slot.Answer.Backend,
                  Request.Work, Clock.now(),     Request.Deadline};
    co_return Slot;
  }
  endAt(Mine->Allocator, Service, {Request.Key, slot_outcome::NotUsed, {}});
  Slot.Answer.Key = Request.Key;
  Slot.Answer.Reason = Wait->GivenUp ? "given-up" : "deadline";
  co_return Slot;
}

void slot_broker::endAt(const std::string &Allocator,
                        const std::string &Service, const slot_end &End) {
  if (Allocator != Self) {
    Peers.send(Allocator, makeBody(toWire(End, Service)));
    return;
  }
  service_allocation &State = allocation(Service);
  endSlot(State, End, Clock.now());
  logBeliefs(Service, State);
  serveWaiting(Service);
}

void slot_broker::release(std::uint64_t Id, slot_outcome Outcome,
                          duration Elapsed) {
  const auto Found = Held.find(Id);
  if (Found == Held.end())
    return;
  const held_slot Slot = Found->second;
  Held.erase(Found);
  const slot_end End = {{Self, Id}, Outcome, Elapsed};
  endAt(Slot.Allocator, Slot.Service, End);
  const std::string &Current = CurrentAllocator[Slot.Service];
  if (Current != Slot.Allocator && !Current.empty())
    endAt(Current, Slot.Service, End);
}

void slot_broker::deliver(const std::string &Service,
                          const slot_answer &Answer) {
  if (Answer.Key.Host != Self) {
    const auto Asker = Askers.find(Answer.Key.Host);
    const link_pointer Link =
        Asker == Askers.end() ? nullptr : Asker->second.lock();
    if (Link && Link->isOpen()) {
      envelope Message;
      Message.body = makeBody(toWire(Answer));
      Link->send(Message);
      return;
    }
  } else if (const auto Found = Pending.find(Answer.Key.Id);
             Found != Pending.end()) {
    Found->second->Answer = Answer;
    Found->second->Turn.cancel();
    return;
  }
  // Nobody waits for it any more.
  endSlot(allocation(Service), {Answer.Key, slot_outcome::NotUsed, {}},
          Clock.now());
}

void slot_broker::serveWaiting(const std::string &Service) {
  service_allocation &State = allocation(Service);
  for (const slot_answer &Answer : advance(State, Clock.now()))
    deliver(Service, Answer);
}

void slot_broker::logBeliefs(const std::string &Service,
                             service_allocation &State) {
  if (CurrentAllocator[Service] != Self && State.Waiting.empty())
    return;
  for (const belief_change &Change : takeBeliefChanges(State, Clock.now()))
    logEvent(log_level::Info,
             Change.Suspected ? "backend-suspected" : "backend-trusted",
             {{"service", Service},
              {"backend_server", Change.Backend},
              {"sick_probability", Change.Probability},
              {"in_flight", Change.InFlight}});
}

void slot_broker::receiveAnswer(const link_pointer &Link,
                                const wire::slot_answer_value &Value) {
  const result<slot_answer> Answer = fromWire(Value, Self);
  if (!Answer) {
    logEvent(log_level::Warning, "peer-message-malformed",
             {{"detail", Answer.error().Detail}});
    return;
  }
  const auto Found = Pending.find(Value.id);
  const bool Expected =
      Found != Pending.end() && Peers.linkTo(Found->second->Allocator) == Link;
  if (!Expected) {
    // Too late: somebody else was asked, or nobody waits any more.
    wire::slot_end_value End = toWire(
        slot_end{{Self, Value.id}, slot_outcome::NotUsed, {}}, std::string());
    envelope Message;
    Message.body = makeBody(std::move(End));
    if (Answer->Verdict == slot_verdict::Granted)
      Link->send(Message);
    return;
  }
  Found->second->Acknowledged = true;
  if (Answer->Verdict != slot_verdict::Queued)
    Found->second->Answer = *Answer;
  Found->second->Turn.cancel();
}

bool slot_broker::receive(const link_pointer &Link, const envelope &Message) {
  const time_point Now = Clock.now();
  if (const auto *Value = Message.body.Asslot_request()) {
    Askers[Value->host] = Link;
    service_allocation &State = allocation(Value->service);
    const slot_request Request = fromWire(*Value, Now);
    const slot_answer Answer = askSlot(State, Request, Now);
    deliver(Value->service, Answer);
    logBeliefs(Value->service, State);
    if (Answer.Verdict == slot_verdict::Queued)
      keepTurning();
    return true;
  }
  if (const auto *Value = Message.body.Asslot_answer()) {
    receiveAnswer(Link, *Value);
    return true;
  }
  if (const auto *Value = Message.body.Asslot_end()) {
    const slot_end End = fromWire(*Value);
    for (auto &[Service, State] : Allocations) {
      if (!Value->service.empty() && Value->service != Service)
        continue;
      endSlot(State, End, Now);
      logBeliefs(Service, State);
      serveWaiting(Service);
    }
    return true;
  }
  if (const auto *Value = Message.body.Asslot_use()) {
    adoptUse(allocation(Value->service), fromWire(*Value, Now), Now);
    return true;
  }
  return false;
}

void slot_broker::keepTurning() {
  if (std::exchange(Turning, true))
    return;
  asio::co_spawn(Context, turnLoop(), asio::detached);
}

asio::awaitable<void> slot_broker::turnLoop() {
  asio::steady_timer Timer(Context);
  const auto SomebodyWaits = [this] {
    return std::ranges::any_of(Allocations, [](const auto &Entry) {
      return !Entry.second.Waiting.empty();
    });
  };
  while (SomebodyWaits()) {
    Timer.expires_after(TurnInterval);
    co_await Timer.async_wait(UseTuple);
    for (const auto &[Service, State] : Allocations)
      serveWaiting(Service);
  }
  Turning = false;
}

json::object slot_broker::dump() const {
  json::object Services;
  for (const auto &[Service, State] : Allocations) {
    json::array Servers;
    for (const auto &[Name, Backend] : State.Backends)
      Servers.push_back({{"name", Name},
                         {"zone", Backend.Registration.Zone},
                         {"draining", Backend.Registration.Draining},
                         {"in_use", Backend.Uses.size()},
                         {"slots", Backend.Registration.Slots},
                         {"sick_probability", Backend.Probability}});
    const auto Current = CurrentAllocator.find(Service);
    Services[Service] = json::object{
        {"allocator", Current == CurrentAllocator.end() ? "" : Current->second},
        {"waiting", State.Waiting.size()},
        {"backend_servers", std::move(Servers)}};
  }
  return {{"slots_held", Held.size()}, {"services", std::move(Services)}};
}

} // namespace coriandertray
