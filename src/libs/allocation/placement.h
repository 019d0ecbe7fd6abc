/// \file
/// Chooses the backend server for a request by estimated cost.
///
/// Backend servers with gray failures lose most of their requests for several
/// seconds while they look healthy. Therefore a server that responded recently
/// is preferred to one without evidence, a request that takes unusually long
/// counts against its server long before it times out, and a request that is
/// not idempotent waits for a proven server instead of risking an unproven one.
/// Servers that may be healthy still get regular requests, all of the likely
/// ones and most of the others, because the servers that carry the load now can
/// fail at any moment.
#pragma once

#include "allocation/backend_record.h"
#include "allocation/slot_messages.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>

namespace coriandertray {

/// The weights and thresholds of placement. Costs are fractions of the cost of
/// losing a request.
struct placement_policy {
  /// Cost of a failure, multiplied by its probability.
  double NonIdempotentLossCost = 0.75;
  double IdempotentLossCost = 0.35;
  /// Cost of a server in another availability zone, and of each kilobyte that
  /// the request and its response bring across the border. The bytes use up the
  /// links of small hosts, and transfer between zones is paid for.
  double CrossZoneCost = 0.04;
  double CrossZoneCostPerKilobyte = 0.02;
  /// The upper limit of both together, so that even a large body rather goes to
  /// another zone than to a server that probably loses it.
  double MaxCrossZoneCost = 0.3;
  /// Cost of a server with all slots in use; proportionally less below that.
  double UtilizationCost = 0.04;
  /// Cost of a server that is still warming up.
  double WarmUpCost = 0.15;
  /// Cost per request in flight at a server that is not proven.
  double UnprovenInFlightCost = 0.1;
  /// A server is proven if its failure probability is not above this.
  double ProvenMaxFailureProbability = 0.15;
  /// The highest cost that a new request accepts. The limit rises with the
  /// square of the waiting time, and admits any server once the request has
  /// waited for AcceptAnyAfterShare of the time to its target.
  double InitialMaxCost = 0.12;
  double AcceptAnyAfterShare = 0.35;
  /// Hedges go only to servers whose failure probability is not above this.
  double HedgeMaxFailureProbability = 0.35;
  /// The share of coverage candidates that should have received a request
  /// within CoverageWindow. Below IdempotentCoverageTarget, idempotent requests
  /// are steered to uncovered candidates; below NonIdempotentCoverageTarget,
  /// all requests are.
  double IdempotentCoverageTarget = 0.85;
  double NonIdempotentCoverageTarget = 0.75;
  duration CoverageWindow = milliseconds(1500);
  /// A server that is more likely healthy than not, as servers without any
  /// evidence are, and has been unused for this long gets the next request,
  /// whatever the targets: first one from its own availability zone, later any.
  double DueMaxFailureProbability = 0.45;
  duration MaxUnusedInZone = milliseconds(1200);
  duration MaxUnused = milliseconds(1500);
  /// A server that failed this recently is not a coverage candidate.
  duration RecentFailureWindow = milliseconds(2000);
  /// A server is a coverage candidate only if its failure probability is below
  /// this.
  double CoverageMaxFailureProbability = 0.9;
  auto operator<=>(const placement_policy &) const = default;
};

/// The backend servers of an allocator by name.
using backend_records = std::map<std::string, backend_record>;

/// How many coverage candidates there are, which are the servers that may be
/// healthy, and how many of them received a request recently.
struct coverage_state {
  double Candidates = 0;
  double Covered = 0;
  auto operator<=>(const coverage_state &) const = default;
};

/// A server and the cost of placing a given request there.
struct placement_candidate {
  backend_record *Backend = nullptr;
  double Cost = 0;
  /// The part of Cost for another availability zone.
  double ZoneCost = 0;
};

/// \returns whether \p Backend can take \p Request at some time: it is serving,
/// has not been tried for this request and is reachable from the requesting
/// host.
[[nodiscard]] bool mayServe(const backend_record &Backend,
                            const slot_request &Request);

/// \returns whether \p Backend can take \p Request now: it may serve it, wants
/// requests from the host, has a free slot and is within its rate limit (and
/// has none if the request is a hedge).
[[nodiscard]] bool canServe(const backend_record &Backend,
                            const slot_request &Request, time_point Now);

/// \returns how many of the coverage candidates are covered.
[[nodiscard]] coverage_state measureCoverage(const backend_records &Backends,
                                             const placement_policy &Policy,
                                             time_point Now);

/// \returns the server with the lowest cost for \p Request, or nothing if no
/// server can take it. \pre the failure probabilities in \p Backends are
/// current.
[[nodiscard]] std::optional<placement_candidate>
findCheapestBackend(backend_records &Backends, const slot_request &Request,
                    const placement_policy &Policy, time_point Now);

/// \returns the highest cost that \p Request accepts at \p Now, without the
/// cost of another availability zone: when the zone of the request is full,
/// crossing the border is better than waiting.
[[nodiscard]] double maxAcceptableCost(const slot_request &Request,
                                       const placement_policy &Policy,
                                       time_point Now);

} // namespace coriandertray
