#include "entry_host/slot_broker.h"

#include "entry_host/slot_wire.h"
#include "utils/log.h"

// The part of slot_broker that tells an allocator which takes over what this
// host knows.

namespace coriandertray {

// Reports the leases of this host to the allocator if it is a new one.
// \returns whether it is.
bool slot_broker::switchAllocator(const std::string &Pool,
                                  const std::string &Host) {
  current_allocator &Current = CurrentAllocators[Pool];
  const link_pointer Link = Peers.linkTo(Host);
  const bool SameHost = Current.Host == Host;
  if (SameHost && Current.Link.lock() == Link)
    return false;
  logEvent(log_level::Info, "allocator-changed",
           {{"pool", Pool}, {"from", Current.Host}, {"to", Host}});
  Current = {Host, Link};
  const time_point Now = Clock.now();
  for (const auto &[Id, Slot] : HeldSlots) {
    if (Slot.Pool != Pool || (Slot.Allocator == Host && !SameHost))
      continue;
    const slot_lease_report Report = {
        {Self, Id}, Slot.Backend, Slot.Work, Slot.Start, Slot.Deadline};
    if (Host == Self)
      adoptLease(allocationFor(Pool), Report, Now);
    else
      Peers.send(Host, makeBody(toWire(Report, Pool, Now)));
  }
  return true;
}

std::vector<known_backend_report>
slot_broker::knownReportsFor(const std::string &PoolName) const {
  const server_pool *Pool = findPool(PoolName);
  if (!Pool)
    return {};
  return reportsOf(Reports, Pool->Servers, Clock.now());
}

// The attempts of a service go to its pools alike, and each pool has an equal
// part of the budget.
std::vector<attempt_slice>
slot_broker::recentAttemptsFor(const std::string &Pool) {
  const auto Service = findServiceOf(Pool);
  if (Service == Services.end())
    return {};
  return divideAttempts(RecentAttempts[Service->first],
                        Service->second.Pools.size(), Retries.Window,
                        Clock.now());
}

void slot_broker::recordAttempt(const std::string &Service,
                                const slot_request &Request,
                                const slot_answer &Answer) {
  retry_window &Window = RecentAttempts[Service];
  if (Request.RetryReason == retry_reason::None)
    recordRequest(Window, Retries.Window, Clock.now());
  else if (Answer.Verdict == slot_verdict::Granted)
    recordRetry(Window, Retries.Window, Clock.now());
}

} // namespace coriandertray
