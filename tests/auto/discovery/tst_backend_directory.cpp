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
  CHECK(
      mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, 1, Start));
  CHECK(mergePlatformList(Directory, {makeEntry("y")}, 1,
                          Start + milliseconds(400)));
  CHECK_FALSE(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Start + milliseconds(400));
}

TEST_CASE("entries missing after an outage are removed after a grace period") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, 1, Start);
  const time_point Recovery = Start + seconds(10);
  mergePlatformList(Directory, {makeEntry("y")}, 1, Recovery);
  CHECK(containsEntry(Directory, "x"));
  // While a removal is pending, the list is as old as before the outage.
  CHECK(Directory.ConfirmedAt == Start);
  mergePlatformList(Directory, {makeEntry("y")}, 1,
                    Recovery + milliseconds(1900));
  CHECK(containsEntry(Directory, "x"));
  CHECK(mergePlatformList(Directory, {makeEntry("y")}, 1,
                          Recovery + milliseconds(2000)));
  CHECK_FALSE(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Recovery + milliseconds(2000));
}

// Guards against: a second outage that begins within the grace period of the
// first one, after which live servers without an entry are removed at once.
TEST_CASE("each outage gives servers the whole grace period") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x")}, 1, Start);
  mergePlatformList(Directory, {}, 1, Start + seconds(10));
  const time_point SecondRecovery = Start + seconds(14);
  mergePlatformList(Directory, {}, 1, SecondRecovery);
  CHECK(containsEntry(Directory, "x"));
  mergePlatformList(Directory, {}, 1, SecondRecovery + milliseconds(1900));
  CHECK(containsEntry(Directory, "x"));
  mergePlatformList(Directory, {}, 1, SecondRecovery + milliseconds(2000));
  CHECK_FALSE(containsEntry(Directory, "x"));
}

TEST_CASE("an entry listed again after an outage confirms the list") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x")}, 1, Start);
  mergePlatformList(Directory, {}, 1, Start + seconds(10));
  mergePlatformList(Directory, {makeEntry("x")}, 1, Start + seconds(11));
  CHECK(containsEntry(Directory, "x"));
  CHECK(Directory.ConfirmedAt == Start + seconds(11));
}

TEST_CASE("a confirmed list of another host ends the grace period") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, 1, Start);
  mergePlatformList(Directory, {makeEntry("y")}, 1, Start + seconds(10));
  CHECK(
      replaceWithPeerList(Directory, {makeEntry("y")}, 1, Start + seconds(10)));
  CHECK_FALSE(containsEntry(Directory, "x"));
}

// Guards against: a host that takes over as reader mistakes the time since the
// last change of the list for an outage, and keeps servers that are gone.
TEST_CASE("a list that another host confirmed is as old as the confirmation") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, 1, Start);
  confirmByPeer(Directory, 1, Start + seconds(10));
  CHECK(mergePlatformList(Directory, {makeEntry("y")}, 1,
                          Start + seconds(10) + milliseconds(400)));
  CHECK_FALSE(containsEntry(Directory, "x"));
}

// Guards against: such a host mistakes a restore of the store, which the other
// host has already seen, for one that has just happened.
TEST_CASE("a confirmation by another host includes the epoch of the store") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, 1, Start);
  confirmByPeer(Directory, 2, Start + milliseconds(400));
  CHECK(mergePlatformList(Directory, {makeEntry("y")}, 2,
                          Start + milliseconds(800)));
  CHECK_FALSE(containsEntry(Directory, "x"));
}

// Guards against: a change of the reader, in which nobody reads the platform
// for about two seconds, is mistaken for an outage of the platform.
TEST_CASE("a pause that costs no live server its entry is no outage") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x"), makeEntry("y")}, 1, Start);
  mergePlatformList(Directory, {makeEntry("y")}, 1, Start + milliseconds(2400));
  CHECK_FALSE(containsEntry(Directory, "x"));
  // Servers renew their entries every 1.5 s, and these lapse after 4.5 s.
  mergePlatformList(Directory, {}, 1, Start + milliseconds(5400));
  CHECK(containsEntry(Directory, "y"));
}

TEST_CASE("the end of a warm-up is a change, its remaining time is not") {
  backend_directory Directory;
  backend_registration Warming = makeEntry("x");
  Warming.WarmUpRemaining = milliseconds(900);
  CHECK(mergePlatformList(Directory, {Warming}, 1, Start));
  Warming.WarmUpRemaining = milliseconds(400);
  CHECK_FALSE(
      mergePlatformList(Directory, {Warming}, 1, Start + milliseconds(400)));
  CHECK(mergePlatformList(Directory, {makeEntry("x")}, 1,
                          Start + milliseconds(800)));
}

TEST_CASE("the same name with another start time is a change") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeEntry("x")}, 1, Start);
  backend_registration Restarted = makeEntry("x");
  Restarted.StartedAtUnixMs = 2;
  CHECK(
      mergePlatformList(Directory, {Restarted}, 1, Start + milliseconds(400)));
}

namespace {

backend_registration makeReport(const std::string &Name, std::uint64_t Sequence,
                                bool Draining = false) {
  backend_registration Entry = makeEntry(Name);
  Entry.Sequence = Sequence;
  Entry.Draining = Draining;
  return Entry;
}

} // namespace

TEST_CASE("a restored store does not bring back a server that was removed") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeReport("x", 7)}, 1, Start);
  mergePlatformList(Directory, {}, 1, Start + milliseconds(400));
  CHECK(mergePlatformList(Directory, {}, 2, Start + milliseconds(800)) ==
        false);
  mergePlatformList(Directory, {makeReport("x", 5)}, 2,
                    Start + milliseconds(1200));
  CHECK_FALSE(containsEntry(Directory, "x"));
  // A later report shows that the server lives.
  mergePlatformList(Directory, {makeReport("x", 8)}, 2,
                    Start + milliseconds(1600));
  CHECK(containsEntry(Directory, "x"));
}

TEST_CASE("within one epoch an entry that is listed again counts as it is") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeReport("x", 7)}, 1, Start);
  mergePlatformList(Directory, {}, 1, Start + milliseconds(400));
  mergePlatformList(Directory, {makeReport("x", 7)}, 1,
                    Start + milliseconds(800));
  CHECK(containsEntry(Directory, "x"));
}

TEST_CASE("a restored store does not make a draining server ready") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeReport("x", 7, true)}, 1, Start);
  CHECK_FALSE(mergePlatformList(Directory, {makeReport("x", 5)}, 2,
                                Start + milliseconds(400)));
  CHECK(Directory.Backends.front().Draining);
  // Another start of the server is another server.
  backend_registration Restarted = makeReport("x", 1);
  Restarted.StartedAtUnixMs = 2;
  CHECK(
      mergePlatformList(Directory, {Restarted}, 2, Start + milliseconds(800)));
  CHECK_FALSE(Directory.Backends.front().Draining);
}

TEST_CASE("servers that a restored store lacks may register again") {
  backend_directory Directory;
  mergePlatformList(Directory, {makeReport("x", 7), makeReport("y", 1)}, 1,
                    Start);
  const time_point Restore = Start + milliseconds(400);
  mergePlatformList(Directory, {makeReport("x", 7)}, 2, Restore);
  CHECK(containsEntry(Directory, "y"));
  mergePlatformList(Directory, {makeReport("x", 8)}, 2,
                    Restore + milliseconds(2000));
  CHECK_FALSE(containsEntry(Directory, "y"));
}
