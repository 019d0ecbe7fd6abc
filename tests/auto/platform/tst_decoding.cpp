#include "decoding.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace coriandertray;
using namespace coriandertray::platform;

namespace {

json::value parse(std::string_view Text) { return json::parse(Text); }

constexpr std::string_view ConfigText = R"({
  "version": 7, "later": 1,
  "services": [{"name": "one", "health_check_path": "/health",
                "max_connections": 330}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
             "header_timeout": "3000ms", "idle_timeout": "2.5s"},
  "virtual_hosts": [{"host": "a.example", "path_rules": [
    {"name": "split", "path_prefix": "/x/", "kind": "safe",
     "timeout": "1500ms", "target_latency": "1s", "priority": 2,
     "max_attempts": 2, "traffic_split": [{"service": "one", "weight": 90},
                                          {"service": "two", "weight": 10}]},
    {"name": "plain", "path_prefix": "/y/", "kind": "unsafe",
     "timeout": "2s", "service": "one"}]}]})";

// Only letters that occur in no error text.
constexpr std::string_view AccountsText = R"([
  {"name": "acme", "api_keys": ["QQQQ", "ZZZZ", "QQQQ"], "priority": 2,
   "rate_per_s": 12.5, "burst": 30},
  {"name": "Blue Ltd", "api_keys": []},
  {"name": "coral", "api_keys": ["QZQZ"], "rate_per_s": 0}])";

json::value configWithAccounts(const json::value &Accounts) {
  json::value Config = parse(ConfigText);
  Config.get_object()["tenants"] = Accounts;
  return Config;
}

/// \returns the error for AccountsText with \p Field of its last account set to
/// \p Value, or "none".
std::string errorWith(std::string_view Field, const json::value &Value) {
  json::value Accounts = parse(AccountsText);
  Accounts.at(2).get_object()[Field] = Value;
  const auto Config = platform::decodeConfig(configWithAccounts(Accounts));
  return Config ? "none" : toString(Config.error());
}

bool showsKey(std::string_view Text) {
  return Text.find_first_of("QZ") != std::string_view::npos;
}

constexpr std::string_view BackendText = R"({
  "metadata": {"name": "i-1", "revision": 4},
  "specification": {"service": "one", "address": "10.0.0.1:80", "zone": "a",
    "slots": 3, "state": "ready", "warmup_remaining": "500ms",
    "sequence": 4, "born": 1700000000000}})";

/// Replaces one value inside \p Value, selected by \p Choice, by an arbitrary
/// value that is usually of another type.
void corrupt(json::value &Value, std::uint32_t Choice) {
  static const std::vector<json::value> Replacements = {
      nullptr, -1, 3.5, "text", json::array{1}, json::object{{"a", 1}}, true};
  json::value *Target = &Value;
  for (int Depth = 0; Depth < 4; ++Depth) {
    if (Target->is_object() && !Target->get_object().empty()) {
      auto Entry = Target->get_object().begin();
      std::advance(Entry, Choice % Target->get_object().size());
      Target = &Entry->value();
    } else if (Target->is_array() && !Target->get_array().empty()) {
      Target = &Target->get_array()[Choice % Target->get_array().size()];
    }
    Choice /= 3;
    if (Choice % 5 == 0)
      break;
  }
  *Target = Replacements[Choice % Replacements.size()];
}

} // namespace

TEST_CASE("the text of a duration requires a unit of ms or s") {
  CHECK(decodeDuration("1500ms") == milliseconds(1500));
  CHECK(decodeDuration("2.5s") == milliseconds(2500));
  for (const char *Text : {"", "5", "ms", "5 s", "5m", "-1s", "1e30s", "nan s"})
    CHECK_MESSAGE(!decodeDuration(Text), Text);
}

TEST_CASE("a configuration is decoded with its traffic splits and bounds") {
  const auto Config = platform::decodeConfig(parse(ConfigText));
  REQUIRE(Config);
  CHECK(Config->Version == 7);
  CHECK(Config->Bounds.IdleTimeout == milliseconds(2500));
  REQUIRE(Config->Routes.size() == 2);
  CHECK(Config->Routes[0].Idempotent);
  CHECK(Config->Routes[0].Services ==
        std::vector<weighted_service>{{"one", 90}, {"two", 10}});
  CHECK_FALSE(Config->Routes[1].Idempotent);
  CHECK(Config->Routes[1].MaxAttempts == 1);
  CHECK(Config->Services[0].ConnectionLimit == 330);
}

// Guards against: an account with wrong limits, and an old configuration that
// asks for keys.
TEST_CASE("accounts are decoded, and absent fields mean no limit") {
  const auto Config =
      platform::decodeConfig(configWithAccounts(parse(AccountsText)));
  REQUIRE(Config);
  CHECK(Config->Accounts ==
        std::vector<client_account>{
            {"acme", {"QQQQ", "ZZZZ", "QQQQ"}, 2, {12.5, 30}},
            {"Blue Ltd", {}, 0, {0, 0}},
            {"coral", {"QZQZ"}, 0, {0, 0}}});
  const auto Without = platform::decodeConfig(parse(ConfigText));
  REQUIRE(Without);
  CHECK(Without->Accounts.empty());
  const auto Empty = platform::decodeConfig(configWithAccounts(json::array()));
  REQUIRE(Empty);
  CHECK(Empty->Accounts.empty());
}

// Guards against: a route that serves requests without an account unless it
// says so.
TEST_CASE("a route allows anonymous requests only if it says so") {
  json::value Text = parse(ConfigText);
  json::object &Rule =
      Text.at("virtual_hosts").at(0).at("path_rules").at(0).get_object();
  Rule["allow_anonymous"] = true;
  const auto Config = platform::decodeConfig(Text);
  REQUIRE(Config);
  CHECK(Config->Routes[0].AllowAnonymous);
  CHECK_FALSE(Config->Routes[1].AllowAnonymous);
  Rule["allow_anonymous"] = "true";
  const auto Wrong = platform::decodeConfig(Text);
  REQUIRE_FALSE(Wrong);
  CHECK(Wrong.error().Code == error_code::AnswerMalformed);
  CHECK(Wrong.error().Detail.starts_with("allow_anonymous"));
}

// Guards against: a configuration with an invalid account that comes into force
// in part, and a key in the text of the error, which is logged.
TEST_CASE("an invalid account invalidates the whole configuration") {
  const auto FailsWith = [](std::string_view Field, const json::value &Value) {
    const std::string Text = errorWith(Field, Value);
    CHECK_MESSAGE(Text.starts_with("answer-malformed: " + std::string(Field)),
                  Text);
    CHECK_MESSAGE(!showsKey(Text), Text);
  };
  CHECK(errorWith("priority", 3) == "none");
  FailsWith("name", "");
  FailsWith("name", nullptr);
  FailsWith("name", "acme");
  FailsWith("name", "a\nb");
  FailsWith("name", " a");
  FailsWith("name", json::string(300, 'a'));
  FailsWith("api_keys", "QZQZ");
  FailsWith("api_keys", json::array{"ZZZZ"});
  for (const char *Key : {"", "Q Z", "QZ\n", "\xc3\xa4Q", "Q\x7f"})
    FailsWith("api_keys", json::array{"QZ", Key});
  FailsWith("api_keys", json::array{json::object{{"QZ", "QZ"}}});
  FailsWith("rate_per_s", -0.5);
  FailsWith("rate_per_s", "QZ");
  FailsWith("burst", -1);
  FailsWith("burst", nullptr);
  FailsWith("priority", -1);
  for (const json::value &Accounts :
       {json::value(nullptr), json::value("QZ"), json::value(json::array{"QZ"}),
        json::value(json::object{{"QZ", 1}})}) {
    const auto Config = platform::decodeConfig(configWithAccounts(Accounts));
    REQUIRE_FALSE(Config);
    CHECK(Config.error().Detail.starts_with("tenants"));
    CHECK_FALSE(showsKey(Config.error().Detail));
  }
  json::value Keyless = parse(AccountsText);
  Keyless.at(0).get_object().erase("api_keys");
  CHECK_FALSE(platform::decodeConfig(configWithAccounts(Keyless)));
}

// Guards against: an error text that quotes a key in some corrupted document.
TEST_CASE("the errors of corrupted accounts never show a key") {
  const bool Holds = rc::check("a value, or an error without keys", [] {
    json::value Accounts = parse(AccountsText);
    const auto Count = *rc::gen::inRange(1, 4);
    for (int Index = 0; Index < Count; ++Index)
      corrupt(Accounts, *rc::gen::arbitrary<std::uint32_t>());
    const auto Config = platform::decodeConfig(configWithAccounts(Accounts));
    if (!Config) {
      RC_ASSERT(Config.error().Code == error_code::AnswerMalformed);
      RC_ASSERT(!showsKey(Config.error().Detail));
    }
  });
  CHECK(Holds);
}

TEST_CASE("a backend server's object is decoded") {
  const auto Backend = decodeBackend(parse(BackendText));
  REQUIRE(Backend);
  CHECK(Backend->Name == "i-1");
  CHECK((Backend->Address == socket_address{"10.0.0.1", 80}));
  CHECK(Backend->StartedAtUnixMs == 1700000000000);
  CHECK(Backend->WarmUpRemaining == milliseconds(500));
  CHECK_FALSE(Backend->Draining);
}

TEST_CASE("invalid entries of backend servers are errors") {
  for (const char *Key : {"service", "address", "zone", "slots", "state"}) {
    json::value Entry = parse(BackendText);
    Entry.at("specification").get_object().erase(Key);
    CHECK_MESSAGE(!decodeBackend(Entry), Key);
    Entry.at("specification").get_object()[Key] = json::array{};
    CHECK_MESSAGE(!decodeBackend(Entry), Key);
  }
  json::value Unknown = parse(BackendText);
  Unknown.at("specification").at("state") = "sleeping";
  CHECK_FALSE(decodeBackend(Unknown));
  CHECK_FALSE(decodeBackend(json::value("bytes")));
}

TEST_CASE("corrupted documents never crash the decoders") {
  const bool Holds =
      rc::check("decoding returns a value or AnswerMalformed", [] {
        json::value Config = parse(ConfigText);
        json::value Backend = parse(BackendText);
        const auto Count = *rc::gen::inRange(1, 4);
        for (int Index = 0; Index < Count; ++Index) {
          corrupt(Config, *rc::gen::arbitrary<std::uint32_t>());
          corrupt(Backend, *rc::gen::arbitrary<std::uint32_t>());
        }
        const auto DecodedConfig = platform::decodeConfig(Config);
        const auto DecodedBackend = decodeBackend(Backend);
        if (!DecodedConfig)
          RC_ASSERT(DecodedConfig.error().Code == error_code::AnswerMalformed);
        if (!DecodedBackend)
          RC_ASSERT(DecodedBackend.error().Code == error_code::AnswerMalformed);
      });
  CHECK(Holds);
}

TEST_CASE("a host's object decodes to the member that was encoded") {
  const fleet_member Member = {"host-1", "a", {"10.0.0.7", 7540}, 200};
  CHECK(decodeMember(encodeMember(Member)) == Member);
}
