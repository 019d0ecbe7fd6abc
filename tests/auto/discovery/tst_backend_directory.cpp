#include "discovery/backend_directory.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace coriandertray;

namespace {

backend_registration makeEntry(const std::string &Name) {
  return {Name, "service", {"10.0.0.1", 80}, "a", 3, false, {}, 1};
}

bool holds(const backend_directory &Directory, const std::string &Name) {
  return std::ranges::find(Directory.Backends, Name,
                           &backend_registration::Name) !=
         Directory.Backends.end();
}

const time_point Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("an entry that is missing in ordinary times is gone at once") {
  backend_directory Directory;
  CHECK(takeList(Directory, {makeEntry("x"), makeEntry("y")}, Start));
  CHECK(takeList(Directory, {makeEntry("y")}, Start + milliseconds(400)));
  CHECK_FALSE(holds(Directory, "x"));
  CHECK(Directory.SettledAt == Start + milliseconds(400));
}

TEST_CASE("entries that lapsed in an outage are awaited, then gone") {
  backend_directory Directory;
  takeList(Directory, {makeEntry("x"), makeEntry("y")}, Start);
  const time_point Back = Start + seconds(10);
  takeList(Directory, {makeEntry("y")}, Back);
  CHECK(holds(Directory, "x"));
  // What is held in grace is as old as it was before the outage.
  CHECK(Directory.SettledAt == Start);
  takeList(Directory, {makeEntry("y")}, Back + milliseconds(1900));
  CHECK(holds(Directory, "x"));
  CHECK(takeList(Directory, {makeEntry("y")}, Back + milliseconds(2000)));
  CHECK_FALSE(holds(Directory, "x"));
  CHECK(Directory.SettledAt == Back + milliseconds(2000));
}

TEST_CASE("an entry that comes back after an outage settles the list") {
  backend_directory Directory;
  takeList(Directory, {makeEntry("x")}, Start);
  takeList(Directory, {}, Start + seconds(10));
  takeList(Directory, {makeEntry("x")}, Start + seconds(11));
  CHECK(holds(Directory, "x"));
  CHECK(Directory.SettledAt == Start + seconds(11));
}

TEST_CASE("a settled list of another host ends the grace") {
  backend_directory Directory;
  takeList(Directory, {makeEntry("x"), makeEntry("y")}, Start);
  takeList(Directory, {makeEntry("y")}, Start + seconds(10));
  CHECK(takeSettledList(Directory, {makeEntry("y")}, Start + seconds(10)));
  CHECK_FALSE(holds(Directory, "x"));
}

TEST_CASE("the rest of a warm-up alone is no change, its end is") {
  backend_directory Directory;
  backend_registration Cold = makeEntry("x");
  Cold.WarmUp = milliseconds(900);
  CHECK(takeList(Directory, {Cold}, Start));
  Cold.WarmUp = milliseconds(400);
  CHECK_FALSE(takeList(Directory, {Cold}, Start + milliseconds(400)));
  CHECK(takeList(Directory, {makeEntry("x")}, Start + milliseconds(800)));
}

TEST_CASE("the same name with another start is a change") {
  backend_directory Directory;
  takeList(Directory, {makeEntry("x")}, Start);
  backend_registration Again = makeEntry("x");
  Again.BornMs = 2;
  CHECK(takeList(Directory, {Again}, Start + milliseconds(400)));
}
