#include "balancing/capacity_floor.h"

#include <algorithm>

namespace coriandertray {

std::vector<bool> applyFloor(std::span<const floor_candidate> Candidates,
                             std::uint32_t FloorSlots) {
  std::vector<bool> StaysExcluded(Candidates.size(), false);
  std::vector<std::size_t> Returnable;
  std::uint32_t InService = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const floor_candidate &Candidate = Candidates[Index];
    StaysExcluded[Index] = Candidate.Excluded || Candidate.Leaving;
    if (!StaysExcluded[Index])
      InService += Candidate.Slots;
    else if (!Candidate.Leaving)
      Returnable.push_back(Index);
  }
  std::ranges::stable_sort(Returnable, {}, [Candidates](std::size_t Index) {
    return Candidates[Index].Severity;
  });
  for (const std::size_t Index : Returnable) {
    if (InService >= FloorSlots)
      break;
    StaysExcluded[Index] = false;
    InService += Candidates[Index].Slots;
  }
  return StaysExcluded;
}

} // namespace coriandertray
