#include "manifest_commands.h"

#include "manifest/manifest_diff.h"
#include "manifest/manifest_reader.h"
#include "manifest/manifest_split.h"
#include "platform/platform_client.h"
#include "utils/hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <random>

namespace coriandertray {

namespace {

constexpr std::string_view HistoryPrefix = "config/history/";
constexpr int MaxConfirmTries = 10;

std::string historyKey(std::uint64_t Version) {
  constexpr std::size_t Digits = 12;
  std::string Number = std::to_string(Version);
  Number.insert(0, Digits - std::min(Digits, Number.size()), '0');
  return std::string(HistoryPrefix) + Number;
}

std::int64_t unixSeconds() {
  return std::chrono::duration_cast<seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string newApplyId() {
  std::random_device Device;
  const std::uint64_t High = Device();
  return toHex(High << 32U | Device());
}

void printFaults(const std::vector<manifest_error> &Faults) {
  for (const manifest_error &Fault : Faults)
    std::cout << (Fault.Pointer.empty() ? "/" : Fault.Pointer) << " "
              << errorName(Fault.Code) << ": " << Fault.Message << "\n";
  std::cout << Faults.size() << " fault" << (Faults.size() == 1 ? "" : "s")
            << "\n";
}

std::optional<manifest> loadManifest(const std::string &Path) {
  const result<std::string> Text = readFile(Path);
  if (!Text) {
    std::cout << toString(Text.error()) << "\n";
    return std::nullopt;
  }
  manifest_result Manifest = readManifest(*Text);
  if (Manifest)
    return std::move(*Manifest);
  printFaults(Manifest.error());
  return std::nullopt;
}

exit_code printError(const error &Error) {
  std::cout << toString(Error) << "\n";
  return Error.Code == error_code::PlatformUnreachable
             ? exit_code::PlatformUnreachable
             : exit_code::Failure;
}

// The root object as the platform stores it. ObjectVersion is zero if there is
// none.
struct held_root {
  std::uint64_t ObjectVersion = 0;
  config_root Root;
};

asio::awaitable<result<held_root>> readHeldRoot(platform_client &Platform) {
  const result<platform_object> Object =
      co_await Platform.get(std::string(ConfigRootKey));
  if (!Object && Object.error().Code == error_code::ObjectMissing)
    co_return held_root{};
  if (!Object)
    co_return tl::unexpected(Object.error());
  result<config_root> Root = parseConfigRoot(Object->Value);
  if (!Root)
    co_return tl::unexpected(Root.error());
  co_return held_root{Object->Version, std::move(*Root)};
}

// Stores a part unless its key exists already. An existing part needs no
// update, since parts are immutable.
asio::awaitable<result<void>> putIfAbsent(platform_client &Platform,
                                          config_part Part) {
  const result<platform_object> Held = co_await Platform.get(Part.Key);
  if (Held)
    co_return result<void>();
  const result<std::uint64_t> Version =
      co_await Platform.put(Part.Key, Part.Value, 0);
  if (Version || Version.error().Code == error_code::VersionConflict)
    co_return result<void>();
  const result<platform_object> Again = co_await Platform.get(Part.Key);
  if (Again)
    co_return result<void>();
  co_return tl::unexpected(Version.error());
}

exit_code printConflict(const config_root &Winner) {
  std::cout << "version-conflict: version " << Winner.Version << " by "
            << Winner.Author << " is in force; nothing was applied\n";
  return exit_code::Conflict;
}

// Reads the root back after its update failed, since the response may have been
// lost. The update was accepted if the stored root has the same apply id.
asio::awaitable<exit_code> confirmWrite(platform_client &Platform,
                                        std::uint64_t VersionBefore,
                                        const config_root &Wanted) {
  for (int Try = 0; Try < MaxConfirmTries; ++Try) {
    const result<held_root> Held = co_await readHeldRoot(Platform);
    if (!Held)
      continue;
    if (Held->Root.ApplyId == Wanted.ApplyId) {
      std::cout << "accepted: version " << Wanted.Version
                << " (settled by reading back)\n";
      co_return exit_code::Success;
    }
    if (Held->ObjectVersion > VersionBefore)
      co_return printConflict(Held->Root);
  }
  std::cout << "platform-unreachable: whether version " << Wanted.Version
            << " was accepted is not known; see \"history\"\n";
  co_return exit_code::PlatformUnreachable;
}

asio::awaitable<void> writeHistory(platform_client &Platform,
                                   const config_root &Root) {
  co_await Platform.put(historyKey(Root.Version), serializeConfigRoot(Root), 0);
}

asio::awaitable<exit_code> apply(platform_client &Platform,
                                 const apply_options &Options,
                                 manifest Manifest) {
  const result<held_root> Held = co_await readHeldRoot(Platform);
  if (!Held)
    co_return printError(Held.error());
  const bool Outdated =
      Options.ExpectedVersion >= 0 &&
      static_cast<std::uint64_t>(Options.ExpectedVersion) != Held->Root.Version;
  if (Outdated)
    co_return printConflict(Held->Root);
  for (config_part &Part : splitManifest(Manifest)) {
    const result<void> Stored = co_await putIfAbsent(Platform, std::move(Part));
    if (!Stored)
      co_return printError(Stored.error());
  }
  config_root Root = makeConfigRoot(Manifest);
  Root.Version = Held->Root.Version + 1;
  Root.ApplyId = newApplyId();
  Root.Author = Options.Author;
  Root.AppliedAtSeconds = unixSeconds();
  const result<std::uint64_t> Written =
      co_await Platform.put(std::string(ConfigRootKey),
                            serializeConfigRoot(Root), Held->ObjectVersion);
  exit_code Code = exit_code::Success;
  if (Written)
    std::cout << "accepted: version " << Root.Version << "\n";
  else
    Code = co_await confirmWrite(Platform, Held->ObjectVersion, Root);
  if (Code == exit_code::Success)
    co_await writeHistory(Platform, Root);
  co_return Code;
}

asio::awaitable<result<manifest>> readHeldManifest(platform_client &Platform) {
  const result<held_root> Held = co_await readHeldRoot(Platform);
  if (!Held)
    co_return tl::unexpected(Held.error());
  if (Held->ObjectVersion == 0)
    co_return manifest{};
  std::map<std::string, std::string> PartsByKey;
  for (const std::string &Key : configPartKeys(Held->Root)) {
    const result<platform_object> Object = co_await Platform.get(Key);
    if (!Object)
      co_return tl::unexpected(Object.error());
    PartsByKey.emplace(Key, Object->Value);
  }
  co_return joinManifest(Held->Root, PartsByKey);
}

asio::awaitable<exit_code> diff(platform_client &Platform, manifest Next) {
  const result<manifest> Held = co_await readHeldManifest(Platform);
  if (!Held)
    co_return printError(Held.error());
  const std::vector<manifest_change> Changes = compareManifests(*Held, Next);
  for (const manifest_change &Change : Changes)
    std::cout << changeSign(Change.Kind) << " " << Change.Path << "\n";
  std::cout << Changes.size() << " changes\n";
  co_return exit_code::Success;
}

asio::awaitable<exit_code> history(platform_client &Platform) {
  const auto Keys = co_await Platform.list(std::string(HistoryPrefix));
  if (!Keys)
    co_return printError(Keys.error());
  std::vector<std::string> Sorted = *Keys;
  std::ranges::sort(Sorted, std::ranges::greater{});
  for (const std::string &Key : Sorted) {
    const result<platform_object> Object = co_await Platform.get(Key);
    const auto Root = Object ? parseConfigRoot(Object->Value)
                             : fail(error_code::ObjectMissing, Key);
    if (Root)
      std::cout << "version " << Root->Version << "  unix time "
                << Root->AppliedAtSeconds << "  " << Root->Author << "  "
                << Root->ServiceKeys.size() << " services\n";
  }
  co_return exit_code::Success;
}

// Runs one command against the platform at \p Address until it completes.
exit_code
runCommand(const socket_address &Address,
           const std::function<asio::awaitable<exit_code>(platform_client &)>
               &Command) {
  asio::io_context Context;
  platform_client Platform(Context, Address, "ctl");
  exit_code Code = exit_code::Failure;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> { Code = co_await Command(Platform); },
      asio::detached);
  Context.run();
  return Code;
}

} // namespace

exit_code validateManifest(const std::string &Path) {
  const std::optional<manifest> Manifest = loadManifest(Path);
  if (!Manifest)
    return exit_code::InputInvalid;
  std::cout << "valid: " << Manifest->Services.size() << " services\n";
  return exit_code::Success;
}

exit_code applyManifest(const apply_options &Options) {
  const std::optional<manifest> Manifest = loadManifest(Options.Path);
  if (!Manifest)
    return exit_code::InputInvalid;
  return runCommand(Options.Platform, [&](platform_client &Platform) {
    return apply(Platform, Options, *Manifest);
  });
}

exit_code diffManifest(const std::string &Path,
                       const socket_address &Platform) {
  const std::optional<manifest> Manifest = loadManifest(Path);
  if (!Manifest)
    return exit_code::InputInvalid;
  return runCommand(Platform, [&](platform_client &Client) {
    return diff(Client, *Manifest);
  });
}

exit_code printHistory(const socket_address &Platform) {
  return runCommand(Platform,
                    [](platform_client &Client) { return history(Client); });
}

} // namespace coriandertray
