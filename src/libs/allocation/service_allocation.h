/// \file
/// Hands out the slots of one service's backend servers to the requests of all
/// hosts: who waits, who goes where, and who is turned away.
///
/// The load it answers: some backend servers lose most of their requests for
/// seconds while they look healthy. One that answered lately is used before one
/// of which nothing is known, an unusual silence counts against a server long
/// before a timeout, and work that can't be repeated waits a little for a
/// proven server rather than try an unproven one.
#pragma once

#include "allocation/retry_window.h"
#include "allocation/sickness.h"
#include "allocation/slot_messages.h"
#include "allocation/work_profile.h"
#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriandertray {

/// One request at a backend server.
struct slot_use {
  slot_key Key;
  std::string Work;
  time_point Start;
  time_point Deadline;
  /// Whether it is the first one of a server that joined.
  bool IsFirst = false;
  bool operator==(const slot_use &) const = default;
};

/// What the allocator knows of one backend server.
struct backend_record {
  backend_registration Registration;
  std::vector<slot_use> Uses;
  sickness Belief;
  time_point JoinedAt;
  time_point LastGranted;
  time_point WarmAt;
  /// It refused work; gets none before this time.
  time_point FullUntil;
  std::uint32_t FullStreak = 0;
  /// Whether it came while the allocator was at work, and has had no request.
  bool AwaitsFirstUse = false;
  /// Another backend server answers at its address.
  bool Misdirected = false;
  /// Whether the last logged belief was that it is sick.
  bool Suspected = false;
};

/// A change of what is believed of a backend server, to be logged.
struct belief_change {
  std::string Backend;
  bool Suspected = false;
  double Probability = 0;
  std::size_t InFlight = 0;
  bool operator==(const belief_change &) const = default;
};

/// The state of one service's allocator. Plain state; not thread-safe.
struct service_allocation {
  std::map<std::string, backend_record> Backends;
  std::vector<slot_request> Waiting;
  /// By kind of work.
  std::map<std::string, work_profile> Profiles;
  retry_limits Retries;
  retry_window RetryWindow;
  /// Ends of requests in the last seconds: when, and whether served.
  std::deque<std::pair<time_point, bool>> RecentEnds;
  std::optional<time_point> FirstListAt;
};

/// Takes the backend servers of the service as registered now.
void setBackends(service_allocation &State,
                 const std::vector<backend_registration> &Backends,
                 time_point Now);

/// Asks for a slot. \returns Granted, Queued or Refused.
[[nodiscard]] slot_answer askSlot(service_allocation &State,
                                  const slot_request &Request, time_point Now);

/// Notes the end of a use or of a wait. Unknown keys are ignored.
void endSlot(service_allocation &State, const slot_end &End, time_point Now);

/// Takes over a use that another allocator granted.
void adoptUse(service_allocation &State, const slot_use_report &Report,
              time_point Now);

/// Serves those who wait. \returns the grants and refusals.
[[nodiscard]] std::vector<slot_answer> advance(service_allocation &State,
                                               time_point Now);

/// \returns the changes of belief since the last call.
[[nodiscard]] std::vector<belief_change>
takeBeliefChanges(service_allocation &State, time_point Now);

/// \returns the probability in (0, 1) that \p Backend loses a request.
[[nodiscard]] double sickProbability(const service_allocation &State,
                                     const backend_record &Backend,
                                     time_point Now);

} // namespace coriandertray
