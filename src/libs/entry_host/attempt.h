/// \file
/// One attempt at a backend server for a request: its slot, its call and how
/// both ended.
#pragma once

#include "entry_host/attempt_classification.h"
#include "entry_host/slot_broker.h"

#include "allocation/backend_report.h"
#include "allocation/slot_messages.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "utils/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace coriandertray {

/// Shared between the coroutine that runs it and the one that decides on the
/// request. Used on the thread of the host's io_context only.
struct attempt {
  retry_reason Repeat = retry_reason::None;
  attempt_state State = attempt_state::InProgress;
  slot_outcome Outcome = slot_outcome::NotUsed;
  std::uint64_t SlotId = 0;
  slot_answer Slot;
  std::string Allocator;
  bool CallStarted = false;
  time_point CallStartedAt;
  duration Elapsed{0};
  call_status CallStatus = call_status::Cancelled;
  call_trace Trace;
  not_run_proof Proof = not_run_proof::None;
  std::optional<backend_report> Report;
  http_response Response;
  std::shared_ptr<slot_wait> Wait = std::make_shared<slot_wait>();
  std::shared_ptr<call_canceller> Canceller =
      std::make_shared<call_canceller>();
};

using attempt_pointer = std::shared_ptr<attempt>;

} // namespace coriandertray
