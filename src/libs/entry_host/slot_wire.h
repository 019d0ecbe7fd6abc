/// \file
/// Converts between the types of the allocation library and messages on the
/// wire. Times are sent as durations from now, because hosts share no clock.
#pragma once

#include "allocation/slot_messages.h"
#include "discovery/backend_registration.h"
#include "utils/error.h"
#include "wire/frame_codec.h"

#include <memory>
#include <string>
#include <vector>

namespace coriandertray {

[[nodiscard]] wire::slot_request_value
toWire(const slot_request &Request, const std::string &Pool, time_point Now);
[[nodiscard]] slot_request fromWire(const wire::slot_request_value &Value,
                                    time_point Now);

[[nodiscard]] wire::slot_answer_value toWire(const slot_answer &Answer);
/// Fails with FrameMalformed if a grant has no valid address.
[[nodiscard]] result<slot_answer> fromWire(const wire::slot_answer_value &Value,
                                           const std::string &Self);

[[nodiscard]] wire::slot_end_value toWire(const slot_release &End,
                                          const std::string &Pool);
[[nodiscard]] slot_release fromWire(const wire::slot_end_value &Value);

[[nodiscard]] wire::slot_use_value toWire(const slot_lease_report &Report,
                                          const std::string &Pool,
                                          time_point Now);
[[nodiscard]] slot_lease_report fromWire(const wire::slot_use_value &Value,
                                         time_point Now);

[[nodiscard]] std::vector<std::unique_ptr<wire::backend_entry_value>>
toWire(const std::vector<backend_registration> &Backends);
/// Skips entries with a malformed address.
[[nodiscard]] std::vector<backend_registration>
fromWire(const std::vector<std::unique_ptr<wire::backend_entry_value>> &Values);

[[nodiscard]] std::vector<std::unique_ptr<wire::member_entry_value>>
toWire(const std::vector<fleet_member> &Members);
/// Skips entries with a malformed address.
[[nodiscard]] std::vector<fleet_member>
fromWire(const std::vector<std::unique_ptr<wire::member_entry_value>> &Values);

} // namespace coriandertray
