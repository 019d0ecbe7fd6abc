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

std::string_view statusName(backend_status Status) {
  switch (Status) {
  case backend_status::InService:
    return "in-service";
  case backend_status::Ejected:
    return "ejected";
  case backend_status::Trial:
    return "trial";
  case backend_status::Leaving:
    return "leaving";
  }
  return "unknown";
}

} // namespace coriandertray
