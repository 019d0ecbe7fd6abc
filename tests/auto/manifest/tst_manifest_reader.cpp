#include "manifest/manifest_reader.h"

#include "auto/manifest/example_manifest.h"
#include "manifest/manifest_diff.h"
#include "manifest/manifest_split.h"
#include "manifest/manifest_writer.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace coriandertray;

namespace {

json::object &firstService(json::object &Manifest) {
  return Manifest["services"].as_array()[0].as_object();
}

json::object &firstServer(json::object &Manifest) {
  return firstService(Manifest)["backend_servers"].as_array()[0].as_object();
}

std::vector<manifest_error> errorsOf(const json::object &Manifest) {
  const manifest_result Result = readManifest(json::value(Manifest));
  return Result ? std::vector<manifest_error>{} : Result.error();
}

bool hasError(const std::vector<manifest_error> &Errors,
              std::string_view Pointer, error_code Code) {
  return std::ranges::any_of(Errors, [&](const manifest_error &Error) {
    return Error.Pointer == Pointer && Error.Code == Code;
  });
}

} // namespace

TEST_CASE("a valid manifest is read and written back unchanged") {
  const manifest_result Manifest = readManifest(json::value(exampleManifest()));
  REQUIRE(Manifest.has_value());
  CHECK(Manifest->Services.front().BackendServers.size() == 2);
  CHECK(totalSlots(Manifest->Services.front()) == 6);
  const manifest_result Again = readManifest(json::value(toJson(*Manifest)));
  REQUIRE(Again.has_value());
  CHECK(*Again == *Manifest);
}

TEST_CASE(
    "five different errors are all reported, each with its JSON pointer") {
  json::object Manifest = exampleManifest();
  Manifest["surprise"] = 1;
  firstService(Manifest)["floor_slots"] = 7;
  firstServer(Manifest)["zone"] = "nowhere";
  firstServer(Manifest)["name"] = "o2";
  firstServer(Manifest)["slots"] = "three";
  const std::vector<manifest_error> Errors = errorsOf(Manifest);
  CHECK(hasError(Errors, "/surprise", error_code::FieldUnknown));
  CHECK(hasError(Errors, "/services/0/floor_slots",
                 error_code::FloorAboveCapacity));
  CHECK(hasError(Errors, "/services/0/backend_servers/0/zone",
                 error_code::ReferenceDangling));
  CHECK(hasError(Errors, "/services/0/backend_servers/1/name",
                 error_code::NameDuplicated));
  CHECK(hasError(Errors, "/services/0/backend_servers/0/slots",
                 error_code::FieldOfWrongType));
}

TEST_CASE("routes that match the same requests are refused") {
  json::object Manifest = exampleManifest();
  json::array &Routes = firstService(Manifest)["routes"].as_array();
  Routes[1].as_object()["path_prefix"] = "/orders";
  CHECK(hasError(errorsOf(Manifest), "/services/0/routes/1/path_prefix",
                 error_code::NameDuplicated));
}

TEST_CASE("an idempotent method must be a method of its route") {
  json::object Manifest = exampleManifest();
  json::array &Routes = firstService(Manifest)["routes"].as_array();
  Routes[1].as_object()["idempotent_methods"] = json::array{"PUT"};
  CHECK(hasError(errorsOf(Manifest),
                 "/services/0/routes/1/idempotent_methods/0",
                 error_code::ReferenceDangling));
}

TEST_CASE("a service above the platform's maximum value size is refused") {
  json::object Manifest = exampleManifest();
  json::array &Servers = firstService(Manifest)["backend_servers"].as_array();
  const json::object Template = Servers[0].as_object();
  for (int Index = 0; Index < 12'000; ++Index) {
    json::object Server = Template;
    Server["name"] = "extra-" + std::to_string(Index);
    Servers.push_back(Server);
  }
  CHECK(hasError(errorsOf(Manifest), "/services/0", error_code::ValueTooLarge));
}

TEST_CASE("text that is not JSON gives one JsonMalformed error") {
  const manifest_result Result = readManifest(std::string_view("{"));
  REQUIRE_FALSE(Result.has_value());
  CHECK(Result.error().front().Code == error_code::JsonMalformed);
}

TEST_CASE("a manifest split into parts joins to the same manifest") {
  const manifest Manifest = *readManifest(json::value(exampleManifest()));
  config_root Root = makeConfigRoot(Manifest);
  Root.Version = 7;
  const result<config_root> Read = parseConfigRoot(serializeConfigRoot(Root));
  REQUIRE(Read.has_value());
  CHECK(*Read == Root);
  std::map<std::string, std::string> Objects;
  CHECK(joinManifest(Root, Objects).error().Code == error_code::ObjectMissing);
  for (const config_part &Object : splitManifest(Manifest))
    Objects.emplace(Object.Key, Object.Value);
  const result<manifest> Joined = joinManifest(Root, Objects);
  REQUIRE(Joined.has_value());
  CHECK(*Joined == Manifest);
}

TEST_CASE("changing one backend server gives one difference") {
  const manifest Before = *readManifest(json::value(exampleManifest()));
  manifest After = Before;
  After.Services.front().BackendServers.front().Slots = 2;
  const std::vector<manifest_change> Changes = compareManifests(Before, After);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes.front() == manifest_change{change_kind::Changed,
                                           "service/orders/backend_server/o1"});
}

TEST_CASE("22000 accounts, the target size, are split into storable objects") {
  json::object Text = exampleManifest();
  json::array Accounts;
  for (int Index = 0; Index < 22'000; ++Index)
    Accounts.push_back(
        {{"name", "account-" + std::to_string(Index)}, {"max_in_flight", 64}});
  Text["accounts"] = std::move(Accounts);
  const manifest_result Manifest = readManifest(json::value(Text));
  REQUIRE(Manifest.has_value());
  CHECK(configRootBytes(*Manifest) < MaxPlatformValueBytes);
  std::map<std::string, std::string> Objects;
  for (const config_part &Object : splitManifest(*Manifest)) {
    CHECK(Object.Value.size() < MaxPlatformValueBytes);
    Objects.emplace(Object.Key, Object.Value);
  }
  CHECK(*joinManifest(makeConfigRoot(*Manifest), Objects) == *Manifest);
}
