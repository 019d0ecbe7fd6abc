#include "manifest/manifest_split.h"

#include "manifest/manifest_writer.h"
#include "utils/hash.h"
#include "utils/json.h"

#include <algorithm>
#include <iterator>
#include <span>

namespace coriandertray {

namespace {

config_part makePart(const std::string &Name, std::string Value) {
  constexpr std::uint64_t SecondSeed = 1;
  std::string Key = std::string(ConfigPartPrefix) + Name + "/" +
                    toHex(stableHash(Value)) +
                    toHex(stableHash(Value, SecondSeed));
  return {std::move(Key), std::move(Value)};
}

config_part makeServicePart(const service &Service) {
  return makePart("service-" + Service.Name, json::serialize(toJson(Service)));
}

std::vector<config_part> makeAccountParts(const manifest &Manifest) {
  std::vector<config_part> Parts;
  std::span<const account> Remaining = Manifest.Accounts;
  while (!Remaining.empty()) {
    const auto Batch =
        Remaining.first(std::min(MaxAccountsPerPart, Remaining.size()));
    Parts.push_back(
        makePart("accounts", json::serialize(accountsToJson(Batch))));
    Remaining = Remaining.subspan(Batch.size());
  }
  return Parts;
}

std::vector<std::string> keysOf(const std::vector<config_part> &Parts) {
  std::vector<std::string> Keys;
  std::ranges::transform(Parts, std::back_inserter(Keys), &config_part::Key);
  return Keys;
}

std::vector<config_part> makeServiceParts(const manifest &Manifest) {
  std::vector<config_part> Parts;
  std::ranges::transform(Manifest.Services, std::back_inserter(Parts),
                         makeServicePart);
  return Parts;
}

std::vector<std::string> textsAt(const json::object &Object,
                                 std::string_view Key) {
  std::vector<std::string> Texts;
  const json::value *Array = Object.if_contains({Key.data(), Key.size()});
  if (!Array || !Array->is_array())
    return Texts;
  for (const json::value &Text : Array->get_array())
    if (Text.is_string())
      Texts.emplace_back(Text.get_string());
  return Texts;
}

result<json::value>
parsePart(const std::map<std::string, std::string> &PartsByKey,
          const std::string &Key) {
  const auto Found = PartsByKey.find(Key);
  if (Found == PartsByKey.end())
    return fail(error_code::ObjectMissing, Key);
  result<json::value> Part = parseJson(Found->second);
  if (!Part)
    return fail(error_code::AnswerMalformed, Key);
  return Part;
}

} // namespace

std::vector<config_part> splitManifest(const manifest &Manifest) {
  std::vector<config_part> Parts = makeServiceParts(Manifest);
  std::ranges::move(makeAccountParts(Manifest), std::back_inserter(Parts));
  return Parts;
}

std::vector<std::string> configPartKeys(const config_root &Root) {
  std::vector<std::string> Keys = Root.ServiceKeys;
  std::ranges::copy(Root.AccountKeys, std::back_inserter(Keys));
  return Keys;
}

config_root makeConfigRoot(const manifest &Manifest) {
  config_root Root;
  Root.ServiceKeys = keysOf(makeServiceParts(Manifest));
  Root.AccountKeys = keysOf(makeAccountParts(Manifest));
  Root.CommonFieldsJson = json::serialize(commonFieldsToJson(Manifest));
  return Root;
}

std::string serializeConfigRoot(const config_root &Root) {
  json::object Object;
  Object["version"] = Root.Version;
  Object["apply_id"] = Root.ApplyId;
  Object["author"] = Root.Author;
  Object["applied_at"] = Root.AppliedAtSeconds;
  Object["services"] = json::value_from(Root.ServiceKeys);
  Object["accounts"] = json::value_from(Root.AccountKeys);
  Object["common"] = Root.CommonFieldsJson;
  return json::serialize(Object);
}

result<config_root> parseConfigRoot(std::string_view Text) {
  const result<json::value> Value = parseJson(Text);
  if (!Value || !Value->is_object())
    return fail(error_code::AnswerMalformed,
                "configuration root is not a JSON object");
  const json::object &Object = Value->get_object();
  if (!Object.contains("services"))
    return fail(error_code::AnswerMalformed,
                "configuration root has no field \"services\"");
  config_root Root;
  Root.Version = static_cast<std::uint64_t>(numberAt(Object, "version"));
  Root.ApplyId = stringAt(Object, "apply_id");
  Root.Author = stringAt(Object, "author");
  Root.AppliedAtSeconds =
      static_cast<std::int64_t>(numberAt(Object, "applied_at"));
  Root.CommonFieldsJson = stringAt(Object, "common");
  Root.ServiceKeys = textsAt(Object, "services");
  Root.AccountKeys = textsAt(Object, "accounts");
  return Root;
}

result<manifest>
joinManifest(const config_root &Root,
             const std::map<std::string, std::string> &PartsByKey) {
  result<json::value> Common = parseJson(Root.CommonFieldsJson);
  if (!Common || !Common->is_object())
    return fail(
        error_code::AnswerMalformed,
        "field \"common\" of the configuration root is not a JSON object");
  json::array Services;
  for (const std::string &Key : Root.ServiceKeys) {
    result<json::value> Service = parsePart(PartsByKey, Key);
    if (!Service)
      return tl::unexpected(Service.error());
    Services.push_back(std::move(*Service));
  }
  json::array Accounts;
  for (const std::string &Key : Root.AccountKeys) {
    const result<json::value> Part = parsePart(PartsByKey, Key);
    if (!Part)
      return tl::unexpected(Part.error());
    if (const json::array *Array = Part->if_array())
      Accounts.insert(Accounts.end(), Array->begin(), Array->end());
  }
  Common->get_object()["services"] = std::move(Services);
  Common->get_object()["accounts"] = std::move(Accounts);
  manifest_result Manifest = readManifest(*Common);
  if (!Manifest)
    return fail(error_code::AnswerMalformed,
                Manifest.error().front().Pointer + " " +
                    Manifest.error().front().Message);
  return std::move(*Manifest);
}

std::size_t configRootBytes(const manifest &Manifest) {
  return serializeConfigRoot(makeConfigRoot(Manifest)).size();
}

} // namespace coriandertray
