/// \file
/// Which backend server a request goes to, and what that is taken to cost.
///
/// The load it answers: some backend servers lose most of their requests for
/// seconds while they look healthy. One that answered lately is used before one
/// of which nothing is known, an unusual silence counts against a server long
/// before a timeout, and work that can't be repeated waits for a proven server
/// rather than try an unproven one. Yet most servers that may be sound get some
/// work all the time: those that carry the load now may be lost at any moment.
#pragma once

#include "allocation/backend_record.h"
#include "allocation/slot_messages.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>

namespace coriandertray {

/// What placements are weighed by. Costs are parts of the worth of a lost
/// request.
struct placement_policy {
  double NonIdempotentLossCost = 0.75;
  double IdempotentLossCost = 0.35;
  double CrossZoneCost = 0.04;
  double UtilizationCost = 0.04;
  double WarmUpCost = 0.15;
  /// For each request under way at a server that isn't proven.
  double UnprovenInFlightCost = 0.1;
  /// A server less likely to lose a request than this is proven.
  double ProvenMaxFailureProbability = 0.15;
  /// A request takes a place of this cost at once; the bound rises while it
  /// waits until it takes any place at TakesAnyAfter of its time to the target.
  double InitialMaxCost = 0.12;
  double AcceptAnyAfterShare = 0.35;
  /// A second attempt goes only to servers less likely to lose it than this.
  double HedgeMaxFailureProbability = 0.35;
  /// The share of the servers that may be sound that get work all the time,
  /// by means of work that may be repeated, and of any work.
  double IdempotentCoverageTarget = 0.85;
  double NonIdempotentCoverageTarget = 0.75;
  /// How lately a server got work to count as covered.
  duration CoverageWindow = milliseconds(1500);
  /// A server that failed this lately isn't taken for sound.
  duration RecentFailureWindow = milliseconds(2000);
  /// A server more likely to lose a request isn't taken for sound.
  double CoverageMaxFailureProbability = 0.9;
  auto operator<=>(const placement_policy &) const = default;
};

/// The backend servers of a service by name.
using backend_records = std::map<std::string, backend_record>;

/// How many of the servers that may be sound got work lately.
struct coverage_state {
  double Candidates = 0;
  double Covered = 0;
  auto operator<=>(const coverage_state &) const = default;
};

/// A server with what it would cost to place a request there.
struct placement_candidate {
  backend_record *Backend = nullptr;
  double Cost = 0;
};

/// \returns whether \p Backend may take \p Request now.
[[nodiscard]] bool canServe(const backend_record &Backend,
                            const slot_request &Request, time_point Now);

/// \returns how well the servers that may be sound are covered.
[[nodiscard]] coverage_state measureCoverage(const backend_records &Backends,
                                             const placement_policy &Policy,
                                             time_point Now);

/// \returns the place of least cost for \p Request, or nothing if no server can
/// take it. \pre the probabilities in \p Backends are current.
[[nodiscard]] std::optional<placement_candidate>
findCheapestBackend(backend_records &Backends, const slot_request &Request,
                    const placement_policy &Policy, time_point Now);

/// \returns the cost up to which \p Request takes a place at \p Now.
[[nodiscard]] double maxAcceptableCost(const slot_request &Request,
                                       const placement_policy &Policy,
                                       time_point Now);

} // namespace coriandertray
