#include "allocation/slot_messages.h"

namespace coriandertray {

slot_answer makeUnknownPoolRefusal(const slot_key &Key) {
  slot_answer Answer;
  Answer.Key = Key;
  Answer.Reason = PoolUnknownReason;
  return Answer;
}

std::string_view slotOutcomeName(slot_outcome Outcome) {
  switch (Outcome) {
  case slot_outcome::Succeeded:
    return "succeeded";
  case slot_outcome::Failed:
    return "failed";
  case slot_outcome::Silent:
    return "silent";
  case slot_outcome::Unreachable:
    return "unreachable";
  case slot_outcome::Full:
    return "full";
  case slot_outcome::Misdirected:
    return "misdirected";
  case slot_outcome::NotUsed:
    return "not-used";
  }
  return "unknown";
}

} // namespace coriandertray
