#include "exchange/versioned_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

using namespace coriandertray;

namespace {

rc::Gen<versioned_entry> arbitraryEntry() {
  return rc::gen::build<versioned_entry>(
      rc::gen::set(&versioned_entry::Key,
                   rc::gen::element<std::string>("a", "b", "c")),
      rc::gen::set(&versioned_entry::Version,
                   rc::gen::inRange<std::uint64_t>(1, 6)),
      rc::gen::set(&versioned_entry::Payload,
                   rc::gen::container<std::vector<std::uint8_t>>(
                       1, rc::gen::arbitrary<std::uint8_t>())));
}

versioned_table tableOf(const std::vector<versioned_entry> &Entries) {
  versioned_table Table;
  for (const versioned_entry &Entry : Entries)
    Table.put(Entry);
  return Table;
}

} // namespace

TEST_CASE("put never lowers a version, in whatever order entries arrive") {
  CHECK(rc::check([] {
    const auto Entries =
        *rc::gen::container<std::vector<versioned_entry>>(arbitraryEntry());
    versioned_table Table;
    std::map<std::string, std::uint64_t> Highest;
    for (const versioned_entry &Entry : Entries) {
      Table.put(Entry);
      std::uint64_t &HighestForKey = Highest[Entry.Key];
      HighestForKey = std::max(HighestForKey, Entry.Version);
      RC_ASSERT(Table.find(Entry.Key)->Version == HighestForKey);
    }
  }));
}

TEST_CASE("tables that received the same entries in any order are equal") {
  CHECK(rc::check([] {
    std::vector<versioned_entry> Entries =
        *rc::gen::container<std::vector<versioned_entry>>(arbitraryEntry());
    const versioned_table First = tableOf(Entries);
    std::mt19937_64 Random(*rc::gen::arbitrary<std::uint64_t>());
    std::ranges::shuffle(Entries, Random);
    const versioned_table Second = tableOf(Entries);
    RC_ASSERT(First.versions() == Second.versions());
    for (const entry_version &Entry : First.versions())
      RC_ASSERT(*First.find(Entry.Key) == *Second.find(Entry.Key));
  }));
}

TEST_CASE("one exchange gives two tables the same keys and versions") {
  CHECK(rc::check([] {
    versioned_table Left = tableOf(
        *rc::gen::container<std::vector<versioned_entry>>(arbitraryEntry()));
    versioned_table Right = tableOf(
        *rc::gen::container<std::vector<versioned_entry>>(arbitraryEntry()));
    const std::vector<std::string> RequestedKeys =
        Left.keysOlderThan(Right.versions());
    for (const versioned_entry &Entry : Left.entriesNewerThan(Right.versions()))
      Right.put(Entry);
    for (const std::string &Key : RequestedKeys)
      Left.put(*Right.find(Key));
    RC_ASSERT(Left.versionsHash() == Right.versionsHash());
    RC_ASSERT(Left.versions() == Right.versions());
  }));
}
