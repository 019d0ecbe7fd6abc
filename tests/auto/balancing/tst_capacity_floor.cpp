#include "balancing/capacity_floor.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

using namespace coriandertray;

namespace {

rc::Gen<floor_candidate> arbitraryCandidate() {
  return rc::gen::build<floor_candidate>(
      rc::gen::set(&floor_candidate::Slots, rc::gen::inRange(0U, 5U)),
      rc::gen::set(&floor_candidate::Excluded, rc::gen::arbitrary<bool>()),
      rc::gen::set(&floor_candidate::Leaving,
                   rc::gen::map(rc::gen::inRange(0, 5),
                                [](int Draw) { return Draw == 0; })),
      rc::gen::set(&floor_candidate::Severity,
                   rc::gen::map(rc::gen::inRange(0, 4),
                                [](int Draw) { return Draw * 1.0; })));
}

std::uint32_t includedSlots(const std::vector<floor_candidate> &Candidates,
                            const std::vector<bool> &StaysExcluded) {
  std::uint32_t Sum = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Sum += StaysExcluded[Index] ? 0 : Candidates[Index].Slots;
  return Sum;
}

} // namespace

TEST_CASE("exclusions never take the slots in service below the floor") {
  CHECK(rc::check([] {
    const auto Candidates =
        *rc::gen::container<std::vector<floor_candidate>>(arbitraryCandidate());
    const std::uint32_t Floor = *rc::gen::inRange(0U, 20U);
    const std::vector<bool> StaysExcluded = applyFloor(Candidates, Floor);
    std::vector<bool> LeavingExcluded;
    for (const floor_candidate &Candidate : Candidates)
      LeavingExcluded.push_back(Candidate.Leaving);
    const std::uint32_t MaxSlots = includedSlots(Candidates, LeavingExcluded);
    RC_ASSERT(includedSlots(Candidates, StaysExcluded) >=
              std::min(Floor, MaxSlots));
    for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
      const floor_candidate &Candidate = Candidates[Index];
      RC_ASSERT(!Candidate.Leaving || StaysExcluded[Index]);
      RC_ASSERT(Candidate.Excluded || Candidate.Leaving ||
                !StaysExcluded[Index]);
    }
  }));
}

TEST_CASE("the least severe candidates return first") {
  const std::vector<floor_candidate> Candidates = {
      {3, true, false, 9}, {3, true, false, 1}, {3, false, false, 0}};
  CHECK(applyFloor(Candidates, 6) == std::vector<bool>{true, false, false});
  CHECK(applyFloor(Candidates, 3) == std::vector<bool>{true, true, false});
}
