/// \file
/// Conversions between the value types of the program and the FlatBuffers
/// messages on the wire.
#pragma once

#include "claims/claim_shard.h"
#include "exchange/versioned_table.h"
#include "membership/membership.h"
#include "outlier_detection/evidence.h"
#include "outlier_detection/verdict.h"
#include "wire/frame_codec.h"

#include <memory>
#include <vector>

namespace coriandertray {

[[nodiscard]] wire::verdict_set_value toWire(const verdict_set &Set);
[[nodiscard]] verdict_set fromWire(const wire::verdict_set_value &Value);

[[nodiscard]] wire::evidence_report_value toWire(const evidence_report &Report);
[[nodiscard]] evidence_report
fromWire(const wire::evidence_report_value &Value);

[[nodiscard]] std::unique_ptr<wire::member_record_value>
toWire(const member_record &Record);
[[nodiscard]] member_record fromWire(const wire::member_record_value &Value);

[[nodiscard]] std::unique_ptr<wire::entry_value>
toWire(const versioned_entry &Entry);
[[nodiscard]] versioned_entry fromWire(const wire::entry_value &Value);

[[nodiscard]] std::unique_ptr<wire::entry_version_value>
toWire(const entry_version &Version);
[[nodiscard]] entry_version fromWire(const wire::entry_version_value &Value);

/// \returns \p Change as a request. The receiver computes the expiry time from
/// \p Retention.
[[nodiscard]] wire::claim_request_value toWire(const claim_change &Change,
                                               milliseconds Retention);
[[nodiscard]] claim_change fromWire(const wire::claim_request_value &Value);

/// \returns the wire messages for all elements of \p Values.
template <typename Value> auto toWire(const std::vector<Value> &Values) {
  std::vector<decltype(toWire(Values.front()))> Result;
  for (const Value &Element : Values)
    Result.push_back(toWire(Element));
  return Result;
}

/// \returns the plain values of all elements of \p Values, skipping null
/// elements.
template <typename Value>
auto fromWire(const std::vector<std::unique_ptr<Value>> &Values) {
  std::vector<decltype(fromWire(*Values.front()))> Result;
  for (const auto &Element : Values)
    if (Element)
      Result.push_back(fromWire(*Element));
  return Result;
}

} // namespace coriandertray
