#include "discovery/member_directory.h"

#include <doctest/doctest.h>

#include <vector>

using namespace coriandertray;

namespace {

const time_point Start{std::chrono::hours(1)};
const fleet_member First = {"host-1", "a", {"10.0.0.1", 7540}, 200};
const fleet_member Second = {"host-2", "b", {"10.0.0.2", 7540}, 200};

} // namespace

TEST_CASE("a host whose registration is lost is kept until it can register") {
  member_directory Directory;
  replaceMembers(Directory, {Second, First}, Start);
  CHECK(currentMembers(Directory, Start) == std::vector{First, Second});
  replaceMembers(Directory, {First}, Start + seconds(1));
  CHECK(Directory.Listed == std::vector{First});
  CHECK(currentMembers(Directory, Start + seconds(2)) ==
        std::vector{First, Second});
  CHECK(currentMembers(Directory, Start + seconds(8)) == std::vector{First});
}

TEST_CASE("a host that registers again replaces the one that was kept") {
  member_directory Directory;
  replaceMembers(Directory, {First, Second}, Start);
  replaceMembers(Directory, {First}, Start + seconds(1));
  fleet_member Moved = Second;
  Moved.Address.Port = 7550;
  replaceMembers(Directory, {First, Moved}, Start + seconds(2));
  CHECK(currentMembers(Directory, Start + seconds(2)) ==
        std::vector{First, Moved});
  CHECK(Directory.Unlisted.empty());
}
