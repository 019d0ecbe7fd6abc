#include "outlier_detection/evidence.h"

namespace coriandertray {

outcome_counts operator+(const outcome_counts &Left,
                         const outcome_counts &Right) {
  return {Left.Succeeded + Right.Succeeded, Left.Failed + Right.Failed,
          Left.Late + Right.Late, Left.Slow + Right.Slow,
          Left.Refused + Right.Refused};
}

std::string describe(const outcome_counts &Counts) {
  return "succeeded=" + std::to_string(Counts.Succeeded) +
         " failed=" + std::to_string(Counts.Failed) +
         " late=" + std::to_string(Counts.Late) +
         " slow=" + std::to_string(Counts.Slow) +
         " refused=" + std::to_string(Counts.Refused);
}

std::string_view standingName(standing Standing) {
  switch (Standing) {
  case standing::InService:
    return "in-service";
  case standing::Ejected:
    return "ejected";
  case standing::Trial:
    return "trial";
  case standing::Leaving:
    return "leaving";
  }
  return "unknown";
}

} // namespace coriandertray
