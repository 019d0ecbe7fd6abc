/// \file
/// What the allocator of a service knows of one backend server, and how likely
/// it takes the server to lose the next request.
#pragma once

#include "allocation/sickness.h"
#include "allocation/slot_messages.h"
#include "allocation/work_profile.h"
#include "discovery/backend_registration.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coriandertray {

/// One request at a backend server.
struct slot_use {
  slot_key Key;
  /// Index of its kind of work in the profiles.
  std::size_t Profile = 0;
  time_point Start;
  time_point Deadline;
  /// Whether it is the first one of a server that joined.
  bool IsFirst = false;
  bool operator==(const slot_use &) const = default;
};

/// Plain state; not thread-safe.
struct backend_record {
  backend_registration Registration;
  std::vector<slot_use> Uses;
  sickness Belief;
  /// How likely it loses a request, as last evaluated.
  double Probability = 0;
  time_point JoinedAt;
  time_point LastGranted;
  time_point LastFailure;
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

/// \returns whether it may get work at all.
[[nodiscard]] bool takesWork(const backend_record &Backend);

/// \returns the slots that no request uses.
[[nodiscard]] std::uint32_t freeSlots(const backend_record &Backend);

/// \returns the log odds that it loses a request, with the silence of those
/// under way; \p UsualLogOdds are those of a server of which nothing is known.
[[nodiscard]] double sicknessLogOdds(const backend_record &Backend,
                                     const std::vector<work_profile> &Profiles,
                                     double UsualLogOdds, time_point Now);

/// Notes how \p Use ended, which is no longer among the uses.
void noteOutcome(backend_record &Backend, const slot_use &Use,
                 const slot_end &End, const work_profile &Profile,
                 double UsualLogOdds, time_point Now);

/// A server that joins is to get a request within this time of being warm.
inline constexpr duration JoinPatience = milliseconds(800);

} // namespace coriandertray
