#include "http/carried_ids.h"

#include "utils/hash.h"

#include <algorithm>

namespace coriandertray {

bool mayCarry(const carried_ids &Carried, std::string_view Id) {
  return !isFull(Carried) &&
         std::ranges::find(Carried.Hashes, stableHash(Id)) ==
             Carried.Hashes.end();
}

void addCarried(carried_ids &Carried, std::string_view Id) {
  Carried.Hashes.push_back(stableHash(Id));
}

bool isFull(const carried_ids &Carried) {
  return Carried.Hashes.size() >= MaxCarriedIds;
}

} // namespace coriandertray
