#include "discovery/backend_list_history.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace coriandertray;

namespace {

backend_registration makeEntry(int Number, bool Draining = false) {
  return {"server-" + std::to_string(Number),
          "service",
          {"10.0.0.1", 80},
          "a",
          3,
          Draining,
          {},
          1};
}

std::vector<backend_registration> arbitraryList() {
  std::vector<backend_registration> Backends;
  for (int Number = 0; Number < 12; ++Number)
    if (*rc::gen::inRange(0, 3) > 0)
      Backends.push_back(makeEntry(Number, *rc::gen::arbitrary<bool>()));
  std::ranges::sort(Backends, {}, &backend_registration::Name);
  return Backends;
}

} // namespace

TEST_CASE("applying a change to an older list gives the newest list") {
  const bool Holds = rc::check("for any sequence of lists", [] {
    backend_list_history Sender;
    backend_list_history Receiver;
    const int Count = *rc::gen::inRange(1, 30);
    for (int Step = 0; Step < Count; ++Step) {
      addVersion(Sender, arbitraryList());
      if (*rc::gen::inRange(0, 3) > 0)
        continue;
      const backend_list_change Change =
          changeSince(Sender, newestVersion(Receiver));
      const auto Applied = applyChange(Receiver, Change);
      RC_ASSERT(Applied.has_value());
      RC_ASSERT(*Applied == Sender.Versions.back().Backends);
      RC_ASSERT(listVersion(*Applied) == Change.Version);
      addVersion(Receiver, *Applied);
    }
  });
  CHECK(Holds);
}

TEST_CASE("a change based on another list than the one held is not applied") {
  backend_list_history Sender;
  addVersion(Sender, {makeEntry(1)});
  const std::uint64_t BaseVersion = newestVersion(Sender);
  addVersion(Sender, {makeEntry(1), makeEntry(2)});
  backend_list_history Receiver;
  addVersion(Receiver, {makeEntry(3)});
  CHECK_FALSE(
      applyChange(Receiver, changeSince(Sender, BaseVersion)).has_value());
  // For a base that isn't in the history, the change is the complete list.
  const backend_list_change FullList = changeSince(Sender, 77);
  CHECK(FullList.BaseVersion == 0);
  CHECK(applyChange(Receiver, FullList)->size() == 2);
}

TEST_CASE("whether a server warms up is part of the version, not how long") {
  backend_registration Warming = makeEntry(1);
  Warming.WarmUpRemaining = milliseconds(900);
  backend_registration LongerWarming = Warming;
  LongerWarming.WarmUpRemaining = milliseconds(1500);
  CHECK(listVersion({Warming}) == listVersion({LongerWarming}));
  CHECK(listVersion({Warming}) != listVersion({makeEntry(1)}));
}
