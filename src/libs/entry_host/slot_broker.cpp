#include "entry_host/slot_broker.h"

#include "entry_host/slot_wire.h"
#include "utils/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
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
// Pools asked for one request; another one may have room.
constexpr int PoolsAsked = 2;
constexpr std::string_view PoolUnknown = "pool-unknown";

std::string dutyOf(const std::string &Pool) { return "slots/" + Pool; }

bool isRefusal(const slot_answer &Answer, std::string_view Reason) {
  return Answer.Verdict == slot_verdict::Refused && Answer.Reason == Reason;
}

slot_answer refusePool(const slot_key &Key) {
  slot_answer Answer;
  Answer.Key = Key;
  Answer.Reason = PoolUnknown;
  return Answer;
}

// Another process of the same host must not use ids that are still held.
std::uint64_t firstId() {
  std::random_device Random;
  constexpr unsigned Half = 32;
  return (std::uint64_t{Random()} << Half) + Random();
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

const server_pool *slot_broker::findPool(const std::string &Name) const {
  for (const auto &[Service, Split] : Services)
    for (const server_pool &Pool : Split.Pools)
      if (Pool.Name == Name)
        return &Pool;
  return nullptr;
}

const server_pool &slot_broker::choosePool(const std::string &Service) {
  service_pools &Split = Services[Service];
  if (Split.Pools.empty())
    Split.Pools = splitIntoPools(Service, {});
  return nextPool(Split);
}

// A host that allocates only for itself doesn't know what the others spend.
retry_limits slot_broker::limitsOf(const std::string &Pool,
                                   bool ForOthers) const {
  std::size_t Parts = 1;
  for (const auto &[Service, Split] : Services)
    if (std::ranges::find(Split.Pools, Pool, &server_pool::Name) !=
        Split.Pools.end())
      Parts = Split.Pools.size();
  if (!ForOthers)
    Parts *= std::max<std::size_t>(1, Peers.members().size());
  return divideRetryLimits(Retries, Parts);
}

slot_allocator &slot_broker::allocation(const std::string &Name) {
  const auto Found = Allocations.find(Name);
  if (Found != Allocations.end())
    return Found->second;
  slot_allocator &State = Allocations[Name];
  if (const server_pool *Pool = findPool(Name))
    coriandertray::setBackends(State, Pool->Servers, Clock.now());
  return State;
}

void slot_broker::setBackends(
    const std::vector<backend_registration> &Backends) {
  std::map<std::string, std::vector<backend_registration>> ByService;
  for (const auto &[Service, Split] : Services)
    ByService[Service];
  for (const backend_registration &Backend : Backends)
    ByService[Backend.Service].push_back(Backend);
  std::set<std::string> Duties;
  for (const auto &[Service, Servers] : ByService) {
    service_pools &Split = Services[Service];
    Split.Pools = splitIntoPools(Service, Servers);
    for (const server_pool &Pool : Split.Pools)
      Duties.insert(dutyOf(Pool.Name));
  }
  Peers.setDuties(std::move(Duties));
  updateAllocations();
}

void slot_broker::updateAllocations() {
  std::vector<std::string> Gone;
  for (auto &[Name, State] : Allocations) {
    if (const server_pool *Pool = findPool(Name)) {
      coriandertray::setBackends(State, Pool->Servers, Clock.now());
      serveWaiting(Name);
      continue;
    }
    Gone.push_back(Name);
    for (const slot_request &Request : std::exchange(State.Queue, {}))
      deliver(Name, refusePool(Request.Key));
  }
  for (const std::string &Name : Gone)
    Allocations.erase(Name);
}

void slot_broker::noteAllocator(const std::string &Pool,
                                const std::string &Host) {
  std::string &Current = CurrentAllocator[Pool];
  if (Current == Host)
    return;
  logEvent(log_level::Info, "allocator-changed",
           {{"pool", Pool}, {"from", Current}, {"to", Host}});
  Current = Host;
  const time_point Now = Clock.now();
  for (const auto &[Id, Slot] : Held) {
    if (Slot.Pool != Pool || Slot.Allocator == Host)
      continue;
    const slot_lease_report Report = {
        {Self, Id}, Slot.Backend, Slot.Work, Slot.Start, Slot.Deadline};
    if (Host == Self)
      adoptLease(allocation(Pool), Report, Now);
    else
      Peers.send(Host, makeBody(toWire(Report, Pool, Now)));
  }
}

void slot_broker::askHere(const std::string &Pool, const slot_request &Request,
                          const pending_pointer &Pending) {
  Pending->Allocator = Self;
  Pending->Acknowledged = true;
  slot_allocator &State = allocation(Pool);
  const std::vector<std::string> Asked = allocatorsOf(Pool);
  const bool IsDuty = std::ranges::find(Asked, Self) + 1 != Asked.end();
  State.RetryLimits = limitsOf(Pool, IsDuty);
  const slot_answer Answer = requestSlot(State, Request, Clock.now());
  logBeliefs(Pool, State);
  if (Answer.Verdict == slot_verdict::Queued)
    keepTurning();
  else
    Pending->Answer = Answer;
}

// Waits until the allocator has decided, or is found to be away.
asio::awaitable<void>
slot_broker::awaitAnswer(const slot_request &Request, pending_pointer Pending,
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
}

// The hosts to ask in turn; the last one is this host, in any case.
std::vector<std::string>
slot_broker::allocatorsOf(const std::string &Pool) const {
  std::vector<std::string> Allocators;
  for (const std::string &Host : Peers.ranked(dutyOf(Pool)))
    if (Allocators.size() < AllocatorsAsked && Peers.isUsable(Host))
      Allocators.push_back(Host);
  Allocators.push_back(Self);
  return Allocators;
}

asio::awaitable<acquired_slot>
slot_broker::acquireFrom(std::string Pool, slot_request Request,
                         std::shared_ptr<slot_wait> Wait) {
  const std::uint64_t Id = NextId++;
  Request.Key = {Self, Id};
  const auto Mine = std::make_shared<pending_slot>(Context);
  Pending[Id] = Mine;
  Wait->Wake = [Mine] { Mine->Turn.cancel(); };
  for (const std::string &Host : allocatorsOf(Pool)) {
    Mine->Allocator = Host;
    Mine->Acknowledged = false;
    noteAllocator(Pool, Host);
    if (Host == Self)
      askHere(Pool, Request, Mine);
    else
      Peers.send(Host, makeBody(toWire(Request, Pool, Clock.now())));
    co_await awaitAnswer(Request, Mine, Wait);
    if (Mine->Answer && isRefusal(*Mine->Answer, PoolUnknown))
      Mine->Answer.reset();
    const bool Over = Mine->Answer || Wait->GivenUp ||
                      Clock.now() >= Request.Deadline || Host == Self;
    if (Over)
      break;
    endAt(Host, Pool, {Request.Key, slot_outcome::NotUsed, {}});
  }
  Wait->Wake = {};
  Pending.erase(Id);
  acquired_slot Slot;
  Slot.Allocator = Mine->Allocator;
  if (Mine->Answer) {
    Slot.Answer = *Mine->Answer;
    if (Slot.Answer.Verdict == slot_verdict::Granted)
      Held[Id] = {Pool,
                  Mine->Allocator,
                  Slot.Answer.Backend,
                  Request.RequestClass,
                  Clock.now(),
                  Request.Deadline};
    co_return Slot;
  }
  endAt(Mine->Allocator, Pool, {Request.Key, slot_outcome::NotUsed, {}});
  Slot.Answer.Key = Request.Key;
  Slot.Answer.Reason = Wait->GivenUp ? "given-up" : "deadline";
  co_return Slot;
}

asio::awaitable<acquired_slot>
slot_broker::acquire(std::string Service, slot_request Request,
                     std::shared_ptr<slot_wait> Wait) {
  Request.Zone = Zone;
  Request.RequestedAt = Clock.now();
  acquired_slot Slot;
  std::set<std::string> Asked;
  for (int Round = 0; Round < PoolsAsked; ++Round) {
    const std::string Pool = choosePool(Service).Name;
    if (!Asked.insert(Pool).second)
      break;
    Slot = co_await acquireFrom(Pool, Request, Wait);
    if (!isRefusal(Slot.Answer, "overloaded") || Wait->GivenUp)
      break;
  }
  co_return Slot;
}

void slot_broker::endAt(const std::string &Allocator, const std::string &Pool,
                        const slot_release &End) {
  if (Allocator != Self) {
    Peers.send(Allocator, makeBody(toWire(End, Pool)));
    return;
  }
  slot_allocator &State = allocation(Pool);
  releaseSlot(State, End, Clock.now());
  logBeliefs(Pool, State);
  serveWaiting(Pool);
}

void slot_broker::release(std::uint64_t Id, slot_outcome Outcome,
                          duration Elapsed) {
  const auto Found = Held.find(Id);
  if (Found == Held.end())
    return;
  const held_slot Slot = Found->second;
  Held.erase(Found);
  const slot_release End = {{Self, Id}, Outcome, Elapsed};
  endAt(Slot.Allocator, Slot.Pool, End);
  const std::string &Current = CurrentAllocator[Slot.Pool];
  if (Current != Slot.Allocator && !Current.empty())
    endAt(Current, Slot.Pool, End);
}

void slot_broker::deliver(const std::string &Pool, const slot_answer &Answer) {
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
  if (Answer.Verdict != slot_verdict::Granted)
    return;
  // Nobody waits for it any more.
  releaseSlot(allocation(Pool), {Answer.Key, slot_outcome::NotUsed, {}},
              Clock.now());
}

void slot_broker::serveWaiting(const std::string &Pool) {
  slot_allocator &State = allocation(Pool);
  for (const slot_answer &Answer : processQueue(State, Clock.now()))
    deliver(Pool, Answer);
}

void slot_broker::logBeliefs(const std::string &Pool, slot_allocator &State) {
  for (const suspicion_change &Change :
       takeSuspicionChanges(State, Clock.now()))
    logEvent(log_level::Info,
             Change.Suspected ? "backend-suspected" : "backend-trusted",
             {{"pool", Pool},
              {"backend_server", Change.Backend},
              {"sick_probability", Change.FailureProbability},
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
  Found->second->Turn.cancel();
}

void slot_broker::receiveRequest(const link_pointer &Link,
                                 const wire::slot_request_value &Value) {
  const time_point Now = Clock.now();
  Askers[Value.host] = Link;
  const slot_request Request = fromWire(Value, Now);
  if (!findPool(Value.pool)) {
    // The asker has another list of backend servers than this host.
    deliver(Value.pool, refusePool(Request.Key));
    return;
  }
  slot_allocator &State = allocation(Value.pool);
  State.RetryLimits = limitsOf(Value.pool, true);
  const slot_answer Answer = requestSlot(State, Request, Now);
  deliver(Value.pool, Answer);
  logBeliefs(Value.pool, State);
  if (Answer.Verdict == slot_verdict::Queued)
    keepTurning();
}

// A grant that came too late is given back without the name of its pool.
void slot_broker::receiveEnd(const wire::slot_end_value &Value) {
  const slot_release End = fromWire(Value);
  for (auto &[Pool, State] : Allocations) {
    if (!Value.pool.empty() && Value.pool != Pool)
      continue;
    releaseSlot(State, End, Clock.now());
    logBeliefs(Pool, State);
    serveWaiting(Pool);
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
      adoptLease(allocation(Value->pool), fromWire(*Value, Now), Now);
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
      return !Entry.second.Queue.empty();
    });
  };
  while (SomebodyWaits()) {
    Timer.expires_after(TurnInterval);
    co_await Timer.async_wait(UseTuple);
    for (const auto &[Pool, State] : Allocations)
      serveWaiting(Pool);
  }
  Turning = false;
}

json::object slot_broker::dump() const {
  json::object Pools;
  for (const auto &[Pool, Host] : CurrentAllocator)
    Pools[Pool] = json::object{{"allocator", Host}};
  json::object Allocated;
  for (const auto &[Pool, State] : Allocations) {
    json::array Servers;
    for (const auto &[Name, Backend] : State.Backends)
      Servers.push_back({{"name", Name},
                         {"zone", Backend.Registration.Zone},
                         {"draining", Backend.Registration.Draining},
                         {"in_use", Backend.Leases.size()},
                         {"slots", Backend.Registration.Slots},
                         {"sick_probability", Backend.FailureProbability}});
    Allocated[Pool] = json::object{{"waiting", State.Queue.size()},
                                   {"backend_servers", std::move(Servers)}};
  }
  return {{"slots_held", Held.size()},
          {"retry_ratio", Retries.Ratio},
          {"retry_slack", Retries.Slack},
          {"pools", std::move(Pools)},
          {"allocated_here", std::move(Allocated)}};
}

} // namespace coriandertray
