#include "manifest/manifest_reader.h"

#include "manifest/manifest_split.h"

#include <algorithm>
#include <set>

namespace coriandertray {

namespace {

using manifest_errors = std::vector<manifest_error>;

/// Escapes \p Key for use in a JSON pointer (RFC 6901).
std::string escapePointer(std::string_view Key) {
  std::string Escaped;
  for (const char Character : Key) {
    if (Character == '~')
      Escaped += "~0";
    else if (Character == '/')
      Escaped += "~1";
    else
      Escaped += Character;
  }
  return Escaped;
}

/// Reads the fields of one JSON object and records the errors in them.
class object_reader {
public:
  object_reader(const json::value &Value, std::string Pointer,
                manifest_errors &Errors)
      : Object(Value.if_object()), Pointer(std::move(Pointer)), Errors(Errors) {
    if (!Object)
      addError("", error_code::FieldOfWrongType, "expected an object");
  }

  /// Records an error at \p Key, a JSON pointer relative to this object.
  void addError(std::string_view Key, error_code Code, std::string Message) {
    Errors.push_back({pointerTo(Key), Code, std::move(Message)});
  }

  [[nodiscard]] std::string pointerTo(std::string_view Key) const {
    return Key.empty() ? Pointer : Pointer + "/" + std::string(Key);
  }

  /// \returns the field \p Key, or null, and marks the field as known.
  const json::value *take(std::string_view Key) {
    KnownKeys.emplace(Key);
    return Object ? Object->if_contains({Key.data(), Key.size()}) : nullptr;
  }

  /// \returns the field \p Key, or records an error if it is missing.
  const json::value *require(std::string_view Key) {
    const json::value *Value = take(Key);
    if (!Value && Object)
      addError(Key, error_code::FieldMissing,
               "the field \"" + std::string(Key) +
                   "\" is required but missing");
    return Value;
  }

  std::string name(std::string_view Key) {
    constexpr std::size_t MaxNameLength = 100;
    const std::string Text = text(Key, require(Key));
    const bool IsValid = std::ranges::all_of(Text, [](unsigned char Character) {
      return std::isalnum(Character) || Character == '-' || Character == '_' ||
             Character == '.';
    });
    if (!IsValid || Text.size() > MaxNameLength)
      addError(Key, error_code::ValueOutOfRange,
               "a name must have 1 to 100 characters out of A-Z a-z 0-9 - _ .");
    return Text;
  }

  std::string text(std::string_view Key, const json::value *Value) {
    if (!Value)
      return {};
    if (!Value->is_string()) {
      addError(Key, error_code::FieldOfWrongType, "expected a string");
      return {};
    }
    return std::string(Value->get_string());
  }

  std::int64_t number(std::string_view Key, const json::value *Value,
                      std::int64_t Min, std::int64_t Max,
                      std::int64_t Default) {
    if (!Value)
      return Default;
    if (!Value->is_int64() && !Value->is_uint64()) {
      addError(Key, error_code::FieldOfWrongType, "expected an integer");
      return Default;
    }
    boost::system::error_code OutOfRange;
    const auto Number = Value->to_number<std::int64_t>(OutOfRange);
    if (!OutOfRange && Number >= Min && Number <= Max)
      return Number;
    addError(Key, error_code::ValueOutOfRange,
             "the value must be in the range [" + std::to_string(Min) + ", " +
                 std::to_string(Max) + "]");
    return Default;
  }

  std::uint32_t optionalNumber(std::string_view Key, std::int64_t Min,
                               std::int64_t Max, std::int64_t Default) {
    return static_cast<std::uint32_t>(
        number(Key, take(Key), Min, Max, Default));
  }

  std::uint32_t requiredNumber(std::string_view Key, std::int64_t Min,
                               std::int64_t Max) {
    return static_cast<std::uint32_t>(number(Key, require(Key), Min, Max, Min));
  }

  std::vector<std::string> texts(std::string_view Key,
                                 const json::value *Value) {
    std::vector<std::string> Texts;
    forEach(Key, Value, [&](const json::value &Element, std::size_t Index) {
      Texts.push_back(
          text(std::string(Key) + "/" + std::to_string(Index), &Element));
    });
    return Texts;
  }

  /// Calls \p Visit with each element of the array \p Value and its index.
  template <typename Visitor>
  void forEach(std::string_view Key, const json::value *Value,
               const Visitor &Visit) {
    if (!Value)
      return;
    if (!Value->is_array()) {
      addError(Key, error_code::FieldOfWrongType, "expected an array");
      return;
    }
    std::size_t Index = 0;
    for (const json::value &Element : Value->get_array())
      Visit(Element, Index++);
  }

  /// Records an error for every field that was not read.
  void reportUnknownFields() {
    if (!Object)
      return;
    for (const auto &[Key, Value] : *Object)
      if (!KnownKeys.contains(std::string(Key)))
        addError(escapePointer(Key), error_code::FieldUnknown,
                 "unknown field \"" + std::string(Key) + "\"");
  }

  [[nodiscard]] manifest_errors &allErrors() { return Errors; }

private:
  const json::object *Object;
  std::string Pointer;
  manifest_errors &Errors;
  std::set<std::string, std::less<>> KnownKeys;
};

std::string elementPointer(std::string_view Base, std::string_view Key,
                           std::size_t Index) {
  return std::string(Base) + "/" + std::string(Key) + "/" +
         std::to_string(Index);
}

template <typename Value>
void reportDuplicateNames(const std::vector<Value> &Values,
                          std::string_view Key, std::string_view Base,
                          manifest_errors &Errors) {
  std::set<std::string> Seen;
  for (std::size_t Index = 0; Index < Values.size(); ++Index)
    if (!Seen.insert(Values[Index].Name).second)
      Errors.push_back({elementPointer(Base, Key, Index) + "/name",
                        error_code::NameDuplicated,
                        "the name \"" + Values[Index].Name +
                            "\" is already used in this list"});
}

backend_server readBackendServer(const json::value &Value, std::string Pointer,
                                 const std::vector<std::string> &Zones,
                                 manifest_errors &Errors) {
  constexpr std::int64_t MaxSlots = 1000;
  constexpr std::int64_t MaxConnections = 100'000;
  object_reader Reader(Value, std::move(Pointer), Errors);
  backend_server Server;
  Server.Name = Reader.name("name");
  const json::value *Address = Reader.require("address");
  const std::string AddressText = Reader.text("address", Address);
  if (!AddressText.empty()) {
    const result<socket_address> Parsed = parseAddress(AddressText);
    if (Parsed)
      Server.Address = *Parsed;
    else
      Reader.addError("address", Parsed.error().Code, Parsed.error().Detail);
  }
  Server.Zone = Reader.name("zone");
  if (!Server.Zone.empty() &&
      std::ranges::find(Zones, Server.Zone) == Zones.end())
    Reader.addError("zone", error_code::ReferenceDangling,
                    "the availability zone \"" + Server.Zone +
                        "\" is not listed under /zones");
  Server.Slots = Reader.requiredNumber("slots", 1, MaxSlots);
  Server.ConnectionLimit =
      Reader.requiredNumber("connection_limit", 1, MaxConnections);
  Reader.reportUnknownFields();
  return Server;
}

route readRoute(const json::value &Value, std::string Pointer,
                manifest_errors &Errors) {
  constexpr std::int64_t MaxDeadlineMs = 600'000;
  object_reader Reader(Value, std::move(Pointer), Errors);
  route Route;
  Route.Name = Reader.name("name");
  Route.Host = Reader.text("host", Reader.take("host"));
  Route.PathPrefix = Reader.text("path_prefix", Reader.require("path_prefix"));
  if (!Route.PathPrefix.empty() && Route.PathPrefix.front() != '/')
    Reader.addError("path_prefix", error_code::ValueOutOfRange,
                    "a path prefix must begin with \"/\"");
  Route.Methods = Reader.texts("methods", Reader.require("methods"));
  Route.IdempotentMethods =
      Reader.texts("idempotent_methods", Reader.take("idempotent_methods"));
  for (std::size_t Index = 0; Index < Route.IdempotentMethods.size(); ++Index)
    if (std::ranges::find(Route.Methods, Route.IdempotentMethods[Index]) ==
        Route.Methods.end())
      Reader.addError("idempotent_methods/" + std::to_string(Index),
                      error_code::ReferenceDangling,
                      "the method is not listed in the route's methods");
  Route.Deadline =
      milliseconds(Reader.requiredNumber("deadline_ms", 1, MaxDeadlineMs));
  Reader.reportUnknownFields();
  return Route;
}

store_unavailable_policy readStoreUnavailablePolicy(object_reader &Reader) {
  constexpr std::string_view Key = "keyed_requests_while_store_away";
  const std::string Text = Reader.text(Key, Reader.take(Key));
  if (Text == "run-once")
    return store_unavailable_policy::RunWithoutClaim;
  if (!Text.empty() && Text != "refuse")
    Reader.addError(Key, error_code::ValueOutOfRange,
                    "the value must be \"refuse\" or \"run-once\"");
  return store_unavailable_policy::Refuse;
}

service readService(const json::value &Value, const std::string &Pointer,
                    const std::vector<std::string> &Zones,
                    manifest_errors &Errors) {
  constexpr std::int64_t MaxPercent = 100;
  constexpr std::int64_t MaxQueueLimit = 100'000;
  constexpr std::int64_t MaxRetentionSeconds = 86'400;
  constexpr std::int64_t MaxFloorSlots = 1'000'000;
  object_reader Reader(Value, Pointer, Errors);
  service Service;
  Service.Name = Reader.name("name");
  Service.FloorSlots = Reader.requiredNumber("floor_slots", 0, MaxFloorSlots);
  Reader.forEach("backend_servers", Reader.require("backend_servers"),
                 [&](const json::value &Element, std::size_t Index) {
                   Service.BackendServers.push_back(readBackendServer(
                       Element,
                       elementPointer(Pointer, "backend_servers", Index), Zones,
                       Errors));
                 });
  Reader.forEach(
      "routes", Reader.require("routes"),
      [&](const json::value &Element, std::size_t Index) {
        Service.Routes.push_back(readRoute(
            Element, elementPointer(Pointer, "routes", Index), Errors));
      });
  reportDuplicateNames(Service.BackendServers, "backend_servers", Pointer,
                       Errors);
  reportDuplicateNames(Service.Routes, "routes", Pointer, Errors);
  Service.RetryBudgetPercent =
      Reader.optionalNumber("retry_budget_percent", 0, MaxPercent, 10);
  Service.HedgeBudgetPercent =
      Reader.optionalNumber("hedge_budget_percent", 0, MaxPercent, 5);
  Service.QueueLimit =
      Reader.optionalNumber("queue_limit", 0, MaxQueueLimit, 200);
  Service.KeyedRequestsWhileStoreUnavailable =
      readStoreUnavailablePolicy(Reader);
  Service.KeyRetention = seconds(
      Reader.optionalNumber("key_retention_s", 1, MaxRetentionSeconds, 600));
  if (Service.FloorSlots > totalSlots(Service))
    Reader.addError("floor_slots", error_code::FloorAboveCapacity,
                    "the floor of " + std::to_string(Service.FloorSlots) +
                        " slots exceeds the service's capacity of " +
                        std::to_string(totalSlots(Service)));
  Reader.reportUnknownFields();
  const std::size_t SizeBytes = json::serialize(Value).size();
  if (SizeBytes > MaxPlatformValueBytes)
    Reader.addError(
        "", error_code::ValueTooLarge,
        "the service needs " + std::to_string(SizeBytes) +
            " bytes as JSON; the platform stores at most 1000000 per object");
  return Service;
}

account_limits readLimits(object_reader &Reader,
                          const account_limits &Default) {
  constexpr std::int64_t MaxLimit = 1'000'000;
  account_limits Limits;
  Limits.MaxInFlight =
      Reader.optionalNumber("max_in_flight", 1, MaxLimit, Default.MaxInFlight);
  Limits.RequestsPerSecond = Reader.optionalNumber(
      "requests_per_second", 0, MaxLimit, Default.RequestsPerSecond);
  return Limits;
}

void readAccounts(object_reader &Reader, manifest &Manifest,
                  manifest_errors &Errors) {
  Reader.forEach("accounts", Reader.take("accounts"),
                 [&](const json::value &Element, std::size_t Index) {
                   object_reader AccountReader(
                       Element, elementPointer("", "accounts", Index), Errors);
                   account Account;
                   Account.Name = AccountReader.name("name");
                   Account.Limits =
                       readLimits(AccountReader, Manifest.DefaultLimits);
                   AccountReader.reportUnknownFields();
                   Manifest.Accounts.push_back(std::move(Account));
                 });
  reportDuplicateNames(Manifest.Accounts, "accounts", "", Errors);
}

// Two routes with the same host and path prefix match the same requests, so the
// choice between them would be arbitrary.
void reportDuplicateRoutes(const manifest &Manifest, manifest_errors &Errors) {
  std::set<std::pair<std::string, std::string>> Seen;
  for (std::size_t Service = 0; Service < Manifest.Services.size(); ++Service) {
    const std::vector<route> &Routes = Manifest.Services[Service].Routes;
    const std::string Base = elementPointer("", "services", Service);
    for (std::size_t Index = 0; Index < Routes.size(); ++Index)
      if (!Seen.emplace(Routes[Index].Host, Routes[Index].PathPrefix).second)
        Errors.push_back(
            {elementPointer(Base, "routes", Index) + "/path_prefix",
             error_code::NameDuplicated,
             "another route has the same host and path prefix"});
  }
}

} // namespace

manifest_result readManifest(const json::value &Value) {
  manifest_errors Errors;
  manifest Manifest;
  object_reader Reader(Value, "", Errors);
  Reader.number("format", Reader.require("format"), ManifestFormatVersion,
                ManifestFormatVersion, ManifestFormatVersion);
  Manifest.Fleet = Reader.name("fleet");
  Manifest.Zones = Reader.texts("zones", Reader.require("zones"));
  if (const json::value *Limits = Reader.take("caller_limits")) {
    object_reader LimitsReader(*Limits, "/caller_limits", Errors);
    Manifest.DefaultLimits = readLimits(LimitsReader, {});
    LimitsReader.reportUnknownFields();
  }
  readAccounts(Reader, Manifest, Errors);
  Reader.forEach("services", Reader.require("services"),
                 [&](const json::value &Element, std::size_t Index) {
                   Manifest.Services.push_back(readService(
                       Element, elementPointer("", "services", Index),
                       Manifest.Zones, Errors));
                 });
  reportDuplicateNames(Manifest.Services, "services", "", Errors);
  reportDuplicateRoutes(Manifest, Errors);
  Reader.reportUnknownFields();
  if (Errors.empty() && configRootBytes(Manifest) > MaxPlatformValueBytes)
    Reader.addError(
        "", error_code::ValueTooLarge,
        "the list of services and account batches exceeds 1000000 bytes");
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Manifest;
}

manifest_result readManifest(std::string_view Text) {
  const result<json::value> Value = parseJson(Text);
  if (!Value)
    return tl::unexpected(
        manifest_errors{{"", Value.error().Code, Value.error().Detail}});
  return readManifest(*Value);
}

} // namespace coriandertray
