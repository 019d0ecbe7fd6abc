/// \file
/// Acquires slots for the requests of this host from the allocators of the
/// services' pools, and runs the allocators that are this host's duty.
///
/// The allocator of a pool is the first usable host ranked for the pool's duty.
/// A host that reaches none of the first-ranked hosts allocates for itself, by
/// its last view of the backend servers, until one of them answers again.
#pragma once

#include "entry_host/peer_network.h"

#include "allocation/server_pools.h"
#include "allocation/slot_allocator.h"
#include "allocation/slot_messages.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coriandertray {

/// Lets a request stop waiting for a slot.
struct slot_wait {
  std::function<void()> Wake;
  bool GivenUp = false;
};

/// Makes the request of \p Wait stop waiting for a slot. Idempotent.
void giveUp(slot_wait &Wait);

/// The answer to a slot request, and the host whose allocator decided.
struct acquired_slot {
  slot_answer Answer;
  std::string Allocator;
};

/// All members run on the thread of the io_context.
class slot_broker {
public:
  slot_broker(asio::io_context &Context, const clock_source &Clock,
              peer_network &Peers, std::string Self, std::string Zone,
              retry_limits Retries);

  /// Waits for a slot until the deadline of \p Request, whose Key, Zone and
  /// RequestedAt are set here. The answer is Granted or Refused.
  asio::awaitable<acquired_slot> acquire(std::string Service,
                                         slot_request Request,
                                         std::shared_ptr<slot_wait> Wait);

  /// Returns the slot \p Id to its allocator, with what the backend server
  /// stated about itself, if it responded. Unknown ids are ignored.
  void release(std::uint64_t Id, slot_outcome Outcome, duration Elapsed,
               std::optional<backend_report> Report = {});

  /// Replaces the limits of the retry budget.
  void setRetryLimits(const retry_limits &Limits) { Retries = Limits; }

  /// Replaces the backend servers of all services.
  void setBackends(const std::vector<backend_registration> &Backends);

  /// Handles a message about slots. \returns false if \p Message is not one.
  bool receive(const link_pointer &Link, const envelope &Message);

  /// \returns the state of the allocators, for operators.
  [[nodiscard]] json::object dump() const;

private:
  struct pending_slot {
    explicit pending_slot(asio::io_context &Context) : Wakeup(Context) {}
    asio::steady_timer Wakeup;
    std::string Allocator;
    /// The link to the allocator; null if it is this host's.
    link_pointer Link;
    bool Acknowledged = false;
    std::optional<slot_answer> Answer;
  };
  /// The allocator that this host uses for a pool. A host that restarted is
  /// another allocator, over another link, and knows nothing yet.
  struct current_allocator {
    std::string Host;
    std::weak_ptr<frame_link> Link;
  };
  struct held_slot {
    std::string Pool;
    std::string Allocator;
    std::string Backend;
    std::uint64_t StartedAtUnixMs = 0;
    std::string Work;
    time_point Start;
    time_point Deadline;
  };
  using pending_pointer = std::shared_ptr<pending_slot>;

  slot_allocator &allocationFor(const std::string &Pool);
  void updateAllocations();
  [[nodiscard]] std::map<std::string, service_pools>::const_iterator
  findServiceOf(const std::string &Pool) const;
  [[nodiscard]] const server_pool *findPool(const std::string &Pool) const;
  [[nodiscard]] const server_pool &choosePool(const std::string &Service);
  [[nodiscard]] allocator_role roleFor(const std::string &Pool) const;
  [[nodiscard]] retry_limits retryLimitsFor(const std::string &Pool,
                                            allocator_role Role) const;
  void updateRole(slot_allocator &State, const std::string &Pool,
                  allocator_role Role);
  [[nodiscard]] std::vector<known_backend_report>
  knownReportsFor(const std::string &Pool) const;
  [[nodiscard]] std::vector<attempt_slice>
  recentAttemptsFor(const std::string &Pool);
  void recordAttempt(const std::string &Service, const slot_request &Request,
                     const slot_answer &Answer);
  [[nodiscard]] bool mayUse(const slot_answer &Grant) const;
  asio::awaitable<acquired_slot>
  acquireUsable(const std::string &Pool, slot_request Request,
                const std::shared_ptr<slot_wait> &Wait);
  asio::awaitable<acquired_slot> acquireFrom(std::string Pool,
                                             slot_request Request,
                                             std::shared_ptr<slot_wait> Wait);
  [[nodiscard]] std::vector<std::string>
  allocatorCandidates(const std::string &Pool) const;
  asio::awaitable<void> awaitAnswer(const slot_request &Request,
                                    pending_pointer Pending,
                                    std::shared_ptr<slot_wait> Wait);
  void requestLocally(const std::string &Pool, const slot_request &Request,
                      const pending_pointer &Pending);
  [[nodiscard]] bool switchAllocator(const std::string &Pool,
                                     const std::string &Host);
  void noteReport(const held_slot &Slot, const backend_report &Report);
  void sendSlotEnd(const std::string &Allocator, const std::string &Pool,
                   const slot_release &End);
  void deliverAnswer(const std::string &Pool, const slot_answer &Answer);
  void advanceQueue(const std::string &Pool);
  void logAllocatorChanges(const std::string &Pool, slot_allocator &State);
  void receiveRequest(const link_pointer &Link,
                      const wire::slot_request_value &Value);
  void receiveEnd(const wire::slot_end_value &Value);
  void receiveAnswer(const link_pointer &Link,
                     const wire::slot_answer_value &Value);
  asio::awaitable<void> advanceLoop();
  void startAdvanceLoop();

  asio::io_context &Context;
  const clock_source &Clock;
  peer_network &Peers;
  std::string Self;
  std::string Zone;
  retry_limits Retries;
  std::map<std::string, service_pools> Services;
  /// By pool; only pools from which this host was asked for a slot.
  std::map<std::string, slot_allocator> Allocations;
  std::map<std::uint64_t, pending_pointer> PendingSlots;
  std::map<std::uint64_t, held_slot> HeldSlots;
  /// By pool.
  std::map<std::string, current_allocator> CurrentAllocators;
  /// What this host sent in the last retry window, by service: pools and their
  /// allocators may be replaced.
  std::map<std::string, retry_window> RecentAttempts;
  /// What backend servers stated in the responses that this host got; passed
  /// on to an allocator that takes over.
  backend_reports Reports;
  std::map<std::string, std::weak_ptr<frame_link>> RequesterLinks;
  std::uint64_t NextId;
  bool AdvanceLoopRunning = false;
};

} // namespace coriandertray
