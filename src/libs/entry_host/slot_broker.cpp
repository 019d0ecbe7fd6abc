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
// An allocator answers within a few milliseconds. One that doesn't answer
// within this time is stopped, cut off or starved of CPU time.
constexpr duration FirstAnswerTimeout = milliseconds(120);
constexpr duration TurnInterval = milliseconds(10);
// How often a queued request checks that its allocator is still usable.
constexpr duration AllocatorCheckInterval = milliseconds(100);
// Ranked hosts tried for one request before this host allocates for itself.
constexpr std::size_t MaxAllocatorsTried = 2;
// Pools tried for one request: if one is overloaded, another may have room.
constexpr int MaxPoolsTried = 2;
// Grants at servers that want no requests from this host that one request may
// hand back. An allocator learns of the servers with the first one.
constexpr int MaxGrantsReturned = 3;

std::string allocatorDuty(const std::string &Pool) { return "slots/" + Pool; }

bool isRefusal(const slot_answer &Answer, std::string_view Reason) {
  return Answer.Verdict == slot_verdict::Refused && Answer.Reason == Reason;
}

// Ids begin at a random number, because another process of the same host must
// not reuse ids whose slots are still held.
std::uint64_t firstId() {
  std::random_device Random;
  constexpr unsigned Half = 32;
  return (std::uint64_t{Random()} << Half) + Random();
}

json::object toJson(const rejection_counts &Counts) {
  return {{"overloaded", Counts.Overloaded},
          {"deadline", Counts.Deadline},
          {"no_server", Counts.NoServer},
          {"retry_budget", Counts.RetryBudget}};
}

json::object toJson(const retry_budget &Budget) {
  double Requests = 0;
  double Retries = 0;
  std::size_t Reported = 0;
  for (const auto &[Host, Attempts] : Budget.Hosts) {
    Requests += Attempts.Window.Requests;
    Retries += Attempts.Window.Retries;
    Reported += Attempts.HasReported ? 1 : 0;
  }
  return {{"requests", Requests},
          {"retries", Retries},
          {"hosts_reported", Reported}};
}

json::object toJson(const admission_counts &Counts) {
  return {{"delayed", Counts.Delayed},
          {"rejected_on_arrival", toJson(Counts.OnArrival)},
          {"rejected_while_queued", toJson(Counts.WhileQueued)}};
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

std::map<std::string, service_pools>::const_iterator
slot_broker::findServiceOf(const std::string &Pool) const {
  return std::ranges::find_if(Services, [&Pool](const auto &Entry) {
    const std::vector<server_pool> &Pools = Entry.second.Pools;
    return std::ranges::find(Pools, Pool, &server_pool::Name) != Pools.end();
  });
}

const server_pool *slot_broker::findPool(const std::string &Name) const {
  const auto Service = findServiceOf(Name);
  if (Service == Services.end())
    return nullptr;
  return &*std::ranges::find(Service->second.Pools, Name, &server_pool::Name);
}

const server_pool &slot_broker::choosePool(const std::string &Service) {
  service_pools &ServicePools = Services[Service];
  if (ServicePools.Pools.empty())
    ServicePools.Pools = splitIntoPools(Service, {});
  return nextPool(ServicePools);
}

// A host that allocates only for itself doesn't know how much of the retry
// budget the other hosts spend, so it takes an even share of it.
retry_limits slot_broker::retryLimitsFor(const std::string &Pool,
                                         allocator_role Role) const {
  const auto Service = findServiceOf(Pool);
  std::size_t ShareCount =
      Service == Services.end() ? 1 : Service->second.Pools.size();
  if (Role == allocator_role::Local)
    ShareCount *= std::max<std::size_t>(1, Peers.members().size());
  return divideRetryLimits(Retries, ShareCount);
}

allocator_role slot_broker::roleFor(const std::string &Pool) const {
  const std::vector<std::string> Hosts =
      Peers.usableHostsFor(allocatorDuty(Pool));
  const bool IsFirst = !Hosts.empty() && Hosts.front() == Self;
  return IsFirst ? allocator_role::Primary : allocator_role::StandIn;
}

void slot_broker::updateRole(slot_allocator &State, const std::string &Pool,
                             allocator_role Role) {
  State.RetryLimits = retryLimitsFor(Pool, Role);
  setRole(State, Role, Peers.members().size(), Clock.now());
}

slot_allocator &slot_broker::allocationFor(const std::string &Name) {
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
  for (const auto &[Service, ServicePools] : Services)
    ByService[Service];
  for (const backend_registration &Backend : Backends)
    ByService[Backend.Service].push_back(Backend);
  std::set<std::string> Duties;
  for (const auto &[Service, Servers] : ByService) {
    service_pools &ServicePools = Services[Service];
    ServicePools.Pools = splitIntoPools(Service, Servers);
    for (const server_pool &Pool : ServicePools.Pools)
      Duties.insert(allocatorDuty(Pool.Name));
  }
  Peers.setDuties(std::string(AllocatorDuties), std::move(Duties));
  updateAllocations();
}

void slot_broker::updateAllocations() {
  std::vector<std::string> Gone;
  for (auto &[Name, State] : Allocations) {
    if (const server_pool *Pool = findPool(Name)) {
      coriandertray::setBackends(State, Pool->Servers, Clock.now());
      advanceQueue(Name);
      continue;
    }
    Gone.push_back(Name);
    for (const slot_request &Request : std::exchange(State.Queue, {}))
      deliverAnswer(Name, makeUnknownPoolRefusal(Request.Key));
  }
  for (const std::string &Name : Gone)
    Allocations.erase(Name);
  // A pool of the same name that comes back later has an allocator that knows
  // nothing, even if the same host runs it.
  std::erase_if(CurrentAllocators, [this](const auto &Entry) {
    return findPool(Entry.first) == nullptr;
  });
}

bool slot_broker::mayUse(const slot_answer &Grant) const {
  return acceptsRequests(Reports, Grant.Backend, Grant.StartedAtUnixMs,
                         Clock.now());
}

void slot_broker::requestLocally(const std::string &Pool,
                                 const slot_request &Request,
                                 const pending_pointer &Pending) {
  Pending->Allocator = Self;
  Pending->Acknowledged = true;
  slot_allocator &State = allocationFor(Pool);
  const std::vector<std::string> Candidates = allocatorCandidates(Pool);
  const bool IsAssignedAllocator =
      std::ranges::find(Candidates, Self) + 1 != Candidates.end();
  updateRole(State, Pool,
             IsAssignedAllocator ? roleFor(Pool) : allocator_role::Local);
  const slot_answer Answer = requestSlot(State, Request, Clock.now());
  logAllocatorChanges(Pool, State);
  if (Answer.Verdict == slot_verdict::Queued)
    startAdvanceLoop();
  else
    Pending->Answer = Answer;
}

// Waits until the allocator has decided, the wait is given up or the deadline
// has passed, or the allocator is found to be unusable.
asio::awaitable<void>
slot_broker::awaitAnswer(const slot_request &Request, pending_pointer Pending,
                         std::shared_ptr<slot_wait> Wait) {
  const time_point RequestedAt = Clock.now();
  while (!Pending->Answer && !Wait->GivenUp) {
    const time_point Now = Clock.now();
    if (Now >= Request.Deadline)
      co_return;
    const bool Silent =
        !Pending->Acknowledged && Now - RequestedAt >= FirstAnswerTimeout;
    if (Silent && Pending->Allocator != Self) {
      Peers.dropLink(Pending->Allocator);
      co_return;
    }
    // A host that started again, behind a new link, knows nothing of the
    // request.
    const bool LinkIsLost = Pending->Link && !Pending->Link->isOpen();
    const bool IsUsable =
        Pending->Allocator == Self || Peers.isUsable(Pending->Allocator);
    if (LinkIsLost || !IsUsable)
      co_return;
    const time_point Check = Pending->Acknowledged
                                 ? Now + AllocatorCheckInterval
                                 : RequestedAt + FirstAnswerTimeout;
    Pending->Wakeup.expires_at(std::min(Check, Request.Deadline));
    co_await Pending->Wakeup.async_wait(UseTuple);
  }
}

// Returns the hosts to try in turn. The last one is always this host.
std::vector<std::string>
slot_broker::allocatorCandidates(const std::string &Pool) const {
  std::vector<std::string> Allocators =
      Peers.usableHostsFor(allocatorDuty(Pool));
  Allocators.resize(std::min(Allocators.size(), MaxAllocatorsTried));
  Allocators.push_back(Self);
  return Allocators;
}

asio::awaitable<acquired_slot>
slot_broker::acquireFrom(std::string Pool, slot_request Request,
                         std::shared_ptr<slot_wait> Wait) {
  const auto Pending = std::make_shared<pending_slot>(Context);
  Wait->Wake = [Pending] { Pending->Wakeup.cancel(); };
  for (const std::string &Host : allocatorCandidates(Pool)) {
    // An id of its own for each allocator: one that takes over gets the leases
    // of another, and may still hold a request that it was sent before.
    Request.Key = {Self, NextId++};
    PendingSlots[Request.Key.Id] = Pending;
    Pending->Allocator = Host;
    Pending->Link = Peers.linkTo(Host);
    Pending->Acknowledged = false;
    if (switchAllocator(Pool, Host)) {
      Request.KnownReports = knownReportsFor(Pool);
      Request.RecentAttempts = recentAttemptsFor(Pool);
    }
    if (Host == Self)
      requestLocally(Pool, Request, Pending);
    else
      Peers.send(Host, makeBody(toWire(Request, Pool, Clock.now())));
    co_await awaitAnswer(Request, Pending, Wait);
    PendingSlots.erase(Request.Key.Id);
    if (Pending->Answer && isRefusal(*Pending->Answer, PoolUnknownReason))
      Pending->Answer.reset();
    const bool Over = Pending->Answer || Wait->GivenUp ||
                      Clock.now() >= Request.Deadline || Host == Self;
    if (Over)
      break;
    sendSlotEnd(Host, Pool, {Request.Key, slot_outcome::NotUsed, {}});
  }
  Wait->Wake = {};
  acquired_slot Slot;
  Slot.Allocator = Pending->Allocator;
  if (Pending->Answer) {
    Slot.Answer = *Pending->Answer;
    if (Slot.Answer.Verdict == slot_verdict::Granted)
      HeldSlots[Request.Key.Id] = {Pool,
                                   Pending->Allocator,
                                   Slot.Answer.Backend,
                                   Slot.Answer.StartedAtUnixMs,
                                   Request.RequestClass,
                                   Clock.now(),
                                   Request.Deadline};
    co_return Slot;
  }
  sendSlotEnd(Pending->Allocator, Pool,
              {Request.Key, slot_outcome::NotUsed, {}});
  Slot.Answer.Key = Request.Key;
  Slot.Answer.Reason = Wait->GivenUp ? "given-up" : "deadline";
  co_return Slot;
}

// A server may have told this host that it wants no requests after the
// allocator decided, or while the allocator could not be told.
asio::awaitable<acquired_slot>
slot_broker::acquireUsable(const std::string &Pool, slot_request Request,
                           const std::shared_ptr<slot_wait> &Wait) {
  acquired_slot Slot;
  for (int Returned = 0; Returned < MaxGrantsReturned; ++Returned) {
    Slot = co_await acquireFrom(Pool, Request, Wait);
    const slot_answer &Answer = Slot.Answer;
    if (Answer.Verdict != slot_verdict::Granted || mayUse(Answer))
      co_return Slot;
    logEvent(log_level::Info, "grant-returned",
             {{"pool", Pool},
              {"backend_server", Answer.Backend},
              {"allocator", Slot.Allocator}});
    release(Answer.Key.Id, slot_outcome::NotUsed, {});
    Request.KnownReports = knownReportsFor(Pool);
  }
  Slot.Answer.Verdict = slot_verdict::Refused;
  Slot.Answer.Reason = NoServerReason;
  Slot.Answer.Backend.clear();
  co_return Slot;
}

asio::awaitable<acquired_slot>
slot_broker::acquire(std::string Service, slot_request Request,
                     std::shared_ptr<slot_wait> Wait) {
  Request.Zone = Zone;
  Request.RequestedAt = Clock.now();
  acquired_slot Slot;
  std::set<std::string> TriedPools;
  for (int Round = 0; Round < MaxPoolsTried; ++Round) {
    const std::string Pool = choosePool(Service).Name;
    if (!TriedPools.insert(Pool).second)
      break;
    Slot = co_await acquireUsable(Pool, Request, Wait);
    recordAttempt(Service, Request, Slot.Answer);
    const bool OtherPoolMayServe = isRefusal(Slot.Answer, "overloaded") ||
                                   isRefusal(Slot.Answer, NoServerReason);
    if (!OtherPoolMayServe || Wait->GivenUp)
      break;
  }
  co_return Slot;
}

void slot_broker::sendSlotEnd(const std::string &Allocator,
                              const std::string &Pool,
                              const slot_release &End) {
  if (Allocator != Self) {
    Peers.send(Allocator, makeBody(toWire(End, Pool)));
    return;
  }
  slot_allocator &State = allocationFor(Pool);
  releaseSlot(State, End, Clock.now());
  logAllocatorChanges(Pool, State);
  advanceQueue(Pool);
}

void slot_broker::noteReport(const held_slot &Slot,
                             const backend_report &Report) {
  const report_change Change = addReport(
      Reports, Slot.Backend, Slot.StartedAtUnixMs, Report, Clock.now());
  if (Change.StartedLeaving)
    logEvent(log_level::Info, "backend-leaving",
             {{"pool", Slot.Pool}, {"backend_server", Slot.Backend}});
  if (Change.HeldOff)
    logEvent(log_level::Info, "backend-hold-off",
             {{"pool", Slot.Pool},
              {"backend_server", Slot.Backend},
              {"hold_off_ms", toMilliseconds(Report.HoldOff)}});
}

void slot_broker::release(std::uint64_t Id, slot_outcome Outcome,
                          duration Elapsed,
                          std::optional<backend_report> Report) {
  const auto Found = HeldSlots.find(Id);
  if (Found == HeldSlots.end())
    return;
  const held_slot Slot = Found->second;
  HeldSlots.erase(Found);
  if (Report)
    noteReport(Slot, *Report);
  const slot_release End = {{Self, Id}, Outcome, Elapsed, Report};
  sendSlotEnd(Slot.Allocator, Slot.Pool, End);
  const std::string &Current = CurrentAllocators[Slot.Pool].Host;
  if (Current != Slot.Allocator && !Current.empty())
    sendSlotEnd(Current, Slot.Pool, End);
}

void slot_broker::advanceQueue(const std::string &Pool) {
  slot_allocator &State = allocationFor(Pool);
  for (const slot_answer &Answer : processQueue(State, Clock.now()))
    deliverAnswer(Pool, Answer);
}

void slot_broker::logAllocatorChanges(const std::string &Pool,
                                      slot_allocator &State) {
  for (const suspicion_change &Change :
       takeSuspicionChanges(State, Clock.now()))
    logEvent(log_level::Info,
             Change.Suspected ? "backend-suspected" : "backend-trusted",
             {{"pool", Pool},
              {"backend_server", Change.Backend},
              {"sick_probability", Change.FailureProbability},
              {"in_flight", Change.InFlight}});
  for (const rate_limit_change &Change : takeRateLimitChanges(State))
    logEvent(log_level::Info, "rate-limit-changed",
             {{"pool", Pool},
              {"backend_server", Change.Backend},
              {"requests_per_s", toJson(Change.Limit)},
              {"previous_requests_per_s", toJson(Change.Previous)}});
}

void slot_broker::startAdvanceLoop() {
  if (std::exchange(AdvanceLoopRunning, true))
    return;
  asio::co_spawn(Context, advanceLoop(), asio::detached);
}

asio::awaitable<void> slot_broker::advanceLoop() {
  asio::steady_timer Timer(Context);
  const auto AnyWaiting = [this] {
    return std::ranges::any_of(Allocations, [](const auto &Entry) {
      return !Entry.second.Queue.empty();
    });
  };
  while (AnyWaiting()) {
    Timer.expires_after(TurnInterval);
    co_await Timer.async_wait(UseTuple);
    for (const auto &[Pool, State] : Allocations)
      advanceQueue(Pool);
  }
  AdvanceLoopRunning = false;
}

json::object slot_broker::dump() const {
  json::object Pools;
  for (const auto &[Pool, Current] : CurrentAllocators)
    Pools[Pool] = json::object{{"allocator", Current.Host}};
  json::object Allocated;
  for (const auto &[Pool, State] : Allocations) {
    json::array Servers;
    for (const auto &[Name, Backend] : State.Backends)
      Servers.push_back({{"name", Name},
                         {"zone", Backend.Registration.Zone},
                         {"draining", Backend.Registration.Draining},
                         {"in_use", Backend.Leases.size()},
                         {"slots", Backend.Registration.Slots},
                         {"requests_per_s", toJson(Backend.RateLimiter.Limit)},
                         {"leaving", Backend.Leaving},
                         {"hosts_held_off", Backend.Holds.size()},
                         {"sick_probability", Backend.FailureProbability}});
    Allocated[Pool] = json::object{{"waiting", State.Queue.size()},
                                   {"retry_budget", toJson(State.RetryBudget)},
                                   {"admission", toJson(State.Counts)},
                                   {"rate_limit_share", State.RateLimitShare},
                                   {"backend_servers", std::move(Servers)}};
  }
  return {{"slots_held", HeldSlots.size()},
          {"retry_ratio", Retries.Ratio},
          {"retry_slack", Retries.Slack},
          {"pools", std::move(Pools)},
          {"allocated_here", std::move(Allocated)}};
}

} // namespace coriandertray
