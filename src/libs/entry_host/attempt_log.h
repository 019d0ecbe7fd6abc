/// \file
/// What the logs and metrics of a host say about one attempt at a backend
/// server.
#pragma once

#include "entry_host/attempt.h"

#include "metrics/metrics.h"
#include "utils/clock.h"
#include "utils/json.h"

#include <string_view>

namespace coriandertray {

/// \returns the entry of \p Attempt in the request-ended line of a request that
/// was read at \p RequestStart. The values of the call are those of a call
/// without a connection until it has ended.
[[nodiscard]] json::object attemptEntry(const attempt &Attempt,
                                        time_point RequestStart);

/// Counts the ended call of \p Attempt in \p Metrics, and logs a warning if
/// responses on its connection were not for the request \p RequestId. Not
/// thread-safe.
void recordCall(const attempt &Attempt, std::string_view RequestId,
                metric_registry &Metrics);

} // namespace coriandertray
