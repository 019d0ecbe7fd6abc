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

TEST_CASE("an entry that is missing in ordinary times is gone at once") {
  backend_directory Directory;
  CHECK(mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, Start));
  CHECK(mergePlatformList(Directory, {makeEntry("y")},
                          Start + milliseconds(400)));
  CHECK_FALSE(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Start + milliseconds(400));
}

TEST_CASE("entries that lapsed in an outage are awaited, then gone") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, Start);
  const time_point Recovery = Start + seconds(10);
  mergePlatformList(Directory, {makeEntry("y")}, Recovery);
  CHECK(containsEntry(Directory, "x"));
  // What is held in grace is as old as it was before the outage.
  CHECK(Directory.ConfirmedAt == Start);
  mergePlatformList(Directory, {makeEntry("y")}, Recovery + milliseconds(1900));
  CHECK(containsEntry(Directory, "x"));
  CHECK(mergePlatformList(Directory, {makeEntry("y")},
                          Recovery + milliseconds(2000)));
  CHECK_FALSE(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Recovery + milliseconds(2000));
}

TEST_CASE("an entry that comes back after an outage settles the list") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x")}, Start);
  mergePlatformList(Directory, {}, Start + seconds(10));
  mergePlatformList(Directory, {makeEntry("x")}, Start + seconds(11));
  CHECK(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Start + seconds(11));
}

TEST_CASE("a settled list of another host ends the grace") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, Start);
  mergePlatformList(Directory, {makeEntry("y")}, Start + seconds(10));
  CHECK(replaceWithPeerList(Directory, {makeEntry("y")}, Start + seconds(10)));
  CHECK_FALSE(containsEntry(Directory, "x"));
}

TEST_CASE("the rest of a warm-up alone is no change, its end is") {
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

TEST_CASE("the same name with another start is a change") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x")}, Start);
  backend_registration Restarted = makeEntry("x");
  Restarted.StartedAtUnixMs = 2;
  CHECK(mergePlatformList(Directory, {Restarted}, Start + milliseconds(400)));
}
