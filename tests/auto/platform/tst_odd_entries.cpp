#include "decoding.h"
#include "fake_object_store.h"
#include "object_store.h"

#include "utils/lenient_json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

// Other programs write to the store as well. One entry that makes no sense must
// not keep the hosts from reading the others.

using namespace coriandertray;
using namespace coriandertray::testing;

namespace {

const socket_address StoreAddress = {"127.97.1.2", 18'198};

struct odd_entry {
  std::string Description;
  std::string Specification;
};

std::string repeated(std::string_view Text, std::size_t Count) {
  std::string Result;
  Result.reserve(Text.size() * Count);
  for (std::size_t Number = 0; Number < Count; ++Number)
    Result += Text;
  return Result;
}

/// \returns a valid specification with the value of \p Field replaced by
/// \p Value.
std::string withField(const std::string &Field, const std::string &Value) {
  json::object Entry = backendEntry().get_object();
  Entry[Field] = "@";
  std::string Text = json::serialize(Entry);
  Text.replace(Text.find("\"@\""), 3, Value);
  return Text;
}

std::vector<odd_entry> oddEntries() {
  constexpr std::size_t Deep = 100'000;
  constexpr std::size_t Mebibyte = 1U << 20U;
  return {
      {"nested arrays", repeated("[", Deep) + repeated("]", Deep)},
      {"nested objects", repeated("{\"a\":", Deep) + "1" + repeated("}", Deep)},
      {"nesting beside good fields",
       withField("later", repeated("[", Deep) + repeated("]", Deep))},
      {"exponent too large", withField("slots", "1e99999999999")},
      {"number too large", withField("slots", repeated("9", 400))},
      {"number of slots that wraps to 1", withField("slots", "4294967297")},
      {"born too large", withField("born", "1e30")},
      {"negative slots", withField("slots", "-3")},
      {"port too large", withField("address", "\"10.0.0.1:65537\"")},
      {"port that wraps to 80", withField("address", "\"10.0.0.1:65616\"")},
      {"negative port", withField("address", "\"10.0.0.1:-80\"")},
      {"no port", withField("address", "\"10.0.0.1\"")},
      {"no IP address", withField("address", "\"server:80\"")},
      {"address of another type", withField("address", "[80]")},
      {"not UTF-8", withField("zone", "\"\xff\xfe\"")},
      {"lone surrogate", withField("zone", R"("\ud800")")},
      {"control character", withField("service", R"("one\r\nX: y")")},
      {"long service", withField("service", '"' + repeated("x", 5000) + '"')},
      {"duration that is no number", withField("warmup_remaining", "\"nans\"")},
      {"endless warm-up", withField("warmup_remaining", "\"infs\"")},
      {"one mebibyte", '"' + repeated("x", Mebibyte) + '"'},
      {"one mebibyte of escapes", '"' + repeated(R"(\u0001)", Mebibyte) + '"'},
      {"null", "null"},
      {"not JSON", "{\"service\": nothing}"},
  };
}

struct store_fixture {
  store_fixture() : FakeStore(Context), Store(Context, Clock, StoreAddress) {
    REQUIRE(FakeStore.listen(StoreAddress).has_value());
  }

  void run(const std::function<asio::awaitable<void>()> &Steps) {
    asio::co_spawn(
        Context,
        [this, &Steps]() -> asio::awaitable<void> {
          co_await Steps();
          FakeStore.abort();
          Context.stop();
        },
        asio::detached);
    Context.run();
  }

  asio::io_context Context;
  manual_clock Clock;
  fake_object_store FakeStore;
  platform::object_store Store;
};

std::vector<std::string> namesOf(const result<backend_listing> &Listing) {
  std::vector<std::string> Names;
  if (Listing)
    for (const backend_registration &Server : Listing->Servers)
      Names.push_back(Server.Name);
  return Names;
}

} // namespace

TEST_CASE("an odd entry is left out of the list and the others are kept") {
  for (const odd_entry &Odd : oddEntries()) {
    CAPTURE(Odd.Description);
    store_fixture Fixture;
    Fixture.FakeStore.put("servers", "i-1", backendEntry());
    Fixture.FakeStore.putRaw("servers", "i-2", Odd.Specification);
    Fixture.FakeStore.put("servers", "i-3", backendEntry());
    Fixture.run([&]() -> asio::awaitable<void> {
      const auto Listing = co_await Fixture.Store.readBackends();
      const std::vector<std::string> Good = {"i-1", "i-3"};
      CHECK(namesOf(Listing) == Good);
    });
  }
}

TEST_CASE("an odd entry at the end of a page doesn't end the list") {
  for (const odd_entry &Odd : oddEntries()) {
    CAPTURE(Odd.Description);
    store_fixture Fixture;
    Fixture.FakeStore.PageSize = 2;
    Fixture.FakeStore.put("servers", "i-1", backendEntry());
    Fixture.FakeStore.putRaw("servers", "i-2", Odd.Specification);
    Fixture.FakeStore.put("servers", "i-3", backendEntry());
    Fixture.run([&]() -> asio::awaitable<void> {
      const auto Listing = co_await Fixture.Store.readBackends();
      const std::vector<std::string> Good = {"i-1", "i-3"};
      CHECK(namesOf(Listing) == Good);
    });
  }
}

TEST_CASE("a good entry that becomes odd is not kept, and later changes are "
          "followed") {
  for (const odd_entry &Odd : oddEntries()) {
    CAPTURE(Odd.Description);
    store_fixture Fixture;
    Fixture.FakeStore.PageSize = 2;
    for (const char *Name : {"i-1", "i-2", "i-3"})
      Fixture.FakeStore.put("servers", Name, backendEntry());
    Fixture.run([&]() -> asio::awaitable<void> {
      const auto AllGood = co_await Fixture.Store.readBackends();
      CHECK(namesOf(AllGood).size() == 3);
      Fixture.FakeStore.putRaw("servers", "i-2", Odd.Specification);
      Fixture.FakeStore.put("servers", "i-4", backendEntry());
      const auto OneOdd = co_await Fixture.Store.readBackends();
      const std::vector<std::string> Rest = {"i-1", "i-3", "i-4"};
      CHECK(namesOf(OneOdd) == Rest);
      Fixture.FakeStore.put("servers", "i-2", backendEntry());
      const auto GoodAgain = co_await Fixture.Store.readBackends();
      CHECK(namesOf(GoodAgain).size() == 4);
    });
  }
}

TEST_CASE("an odd object beside the configuration doesn't hide it") {
  for (const odd_entry &Odd : oddEntries()) {
    CAPTURE(Odd.Description);
    store_fixture Fixture;
    Fixture.FakeStore.putRaw("config", "later", Odd.Specification);
    Fixture.FakeStore.put("config", "main", configEntry(3));
    Fixture.run([&]() -> asio::awaitable<void> {
      const auto Read = co_await Fixture.Store.readConfig();
      REQUIRE(Read);
      CHECK(Fixture.Store.decodeConfig(*Read)->Version == 3);
      Fixture.FakeStore.putRaw("config", "later", Odd.Specification + " ");
      Fixture.FakeStore.put("config", "main", configEntry(4));
      const auto Next =
          co_await Fixture.Store.awaitConfig(Read->Position, milliseconds(500));
      REQUIRE(Next);
      REQUIRE(Next->has_value());
      CHECK(Fixture.Store.decodeConfig(**Next)->Version == 4);
    });
  }
}

TEST_CASE("an odd entry among the hosts doesn't hide the others") {
  const fleet_member Member = {"host-1", "a", {"10.0.0.1", 7540}, 200};
  for (const odd_entry &Odd : oddEntries()) {
    CAPTURE(Odd.Description);
    store_fixture Fixture;
    Fixture.FakeStore.putRaw("coriandertray-hosts", "host-0",
                             Odd.Specification);
    Fixture.run([&]() -> asio::awaitable<void> {
      REQUIRE(co_await Fixture.Store.addMember(Member));
      const auto Members = co_await Fixture.Store.readMembers(false);
      REQUIRE(Members);
      REQUIRE(Members->size() == 1);
      CHECK(Members->front() == Member);
    });
  }
}

TEST_CASE("names that need percent-encoding don't break the list") {
  store_fixture Fixture;
  Fixture.FakeStore.PageSize = 1;
  Fixture.FakeStore.put("servers", "a 1&after=z", json::object{});
  Fixture.FakeStore.put("servers", "b#/\xc3\xa9%", json::object{});
  Fixture.FakeStore.put("servers", "c", backendEntry());
  Fixture.run([&]() -> asio::awaitable<void> {
    const auto Listing = co_await Fixture.Store.readBackends();
    const std::vector<std::string> Good = {"c"};
    CHECK(namesOf(Listing) == Good);
  });
}

TEST_CASE("corrupted lists never hide the entries that are still intact") {
  const std::string Good =
      json::serialize(json::object{{"metadata", json::object{{"name", "i-1"}}},
                                   {"specification", backendEntry()}});
  constexpr int EntryPartDepth = 3;
  const bool Holds = rc::check([&Good] {
    std::string Odd = Good;
    const int Changes = *rc::gen::inRange(1, 6);
    for (int Change = 0; Change < Changes; ++Change) {
      // Structure and quotes stay as they are, so that the text of the list
      // still tells its entries apart.
      const auto At = *rc::gen::inRange<std::size_t>(0, Odd.size());
      if (std::string_view("{}[]\",:\\").find(Odd[At]) ==
          std::string_view::npos)
        Odd[At] = *rc::gen::elementOf(std::string("0x-.eE\xff\x01 +"));
    }
    const result<json::value> List = parseJsonLeniently(
        "{\"items\":[" + Odd + "," + Good + "],\"as_of\":7}", EntryPartDepth);
    RC_ASSERT(List.has_value());
    const json::array &Items = List->at("items").as_array();
    RC_ASSERT(Items.size() == 2U);
    (void)platform::decodeBackend(Items[0]);
    (void)platform::decodeMember(Items[0]);
    RC_ASSERT(platform::decodeBackend(Items[1]).has_value());
    RC_ASSERT(List->at("as_of").as_int64() == 7);
  });
  CHECK(Holds);
}

TEST_CASE("any bytes parse leniently or fail with JsonMalformed") {
  const bool Holds = rc::check([] {
    const auto Bytes = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("{}[]\",:\\ntruefals01e+-.u\xff\x01 ")));
    const result<json::value> Value = parseJsonLeniently(Bytes, 4);
    if (!Value)
      RC_ASSERT(Value.error().Code == error_code::JsonMalformed);
  });
  CHECK(Holds);
}
