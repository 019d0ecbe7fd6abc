#include "discovery/backend_directory.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace coriandertray;

namespace {

backend_registration makeEntry(const std::string &Name) {
  return {Name, "service", {"10.0.0.1", 80}, "a", 3, false, {}, 1};
}

bool containsEntry(const backend_directory &Directory,
                   const std::string &Name) {
  return std::ranges::find(Directory.Backends, Name,
                           &backend_registration::Name) !=
         Directory.Backends.end();
}

const time_point Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a missing entry is removed at once if there was no outage") {
  backend_directory Directory;
  CHECK(mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, Start));
  CHECK(mergePlatformList(Directory, {makeEntry("y")},
                          Start + milliseconds(400)));
  CHECK_FALSE(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Start + milliseconds(400));
}

TEST_CASE("entries missing after an outage are removed after a grace period") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, Start);
  const time_point Recovery = Start + seconds(10);
  mergePlatformList(Directory, {makeEntry("y")}, Recovery);
  CHECK(containsEntry(Directory, "x"));
  // While a removal is pending, the list is as old as before the outage.
  CHECK(Directory.ConfirmedAt == Start);
  mergePlatformList(Directory, {makeEntry("y")}, Recovery + milliseconds(1900));
  CHECK(containsEntry(Directory, "x"));
  CHECK(mergePlatformList(Directory, {makeEntry("y")},
                          Recovery + milliseconds(2000)));
  CHECK_FALSE(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Recovery + milliseconds(2000));
}

TEST_CASE("an entry listed again after an outage confirms the list") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x")}, Start);
  mergePlatformList(Directory, {}, Start + seconds(10));
  mergePlatformList(Directory, {makeEntry("x")}, Start + seconds(11));
  CHECK(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Start + seconds(11));
}

TEST_CASE("a confirmed list of another host ends the grace period") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, Start);
  mergePlatformList(Directory, {makeEntry("y")}, Start + seconds(10));
  CHECK(replaceWithPeerList(Directory, {makeEntry("y")}, Start + seconds(10)));
  CHECK_FALSE(containsEntry(Directory, "x"));
}

TEST_CASE("the end of a warm-up is a change, its remaining time is not") {
  backend_directory Directory;
  backend_registration Warming = makeEntry("x");
  Warming.WarmUpRemaining = milliseconds(900);
  CHECK(mergePlatformList(Directory, {Warming}, Start));
  Warming.WarmUpRemaining = milliseconds(400);
  CHECK_FALSE(
      mergePlatformList(Directory, {Warming}, Start + milliseconds(400)));
  CHECK(mergePlatformList(Directory, {makeEntry("x")},
                          Start + milliseconds(800)));
}

TEST_CASE("the same name with another start time is a change") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x")}, Start);
  backend_registration Restarted = makeEntry("x");
  Restarted.StartedAtUnixMs = 2;
  CHECK(mergePlatformList(Directory, {Restarted}, Start + milliseconds(400)));
}
