/// \file
/// coriandertray-ctl: the command line tool for operators of a fleet.

#include "fleet_commands.h"
#include "manifest_commands.h"

#include <gflags/gflags.h>

#include <functional>
#include <iostream>
#include <map>
#include <ranges>

DEFINE_string(platform, "127.0.0.1:7000",
              "IP:PORT of the platform's object API");
DEFINE_string(author, "operator", "name recorded as the author of the change");
DEFINE_int64(expect_version, -1,
             "apply only if this version is in force; -1 for any");
DEFINE_string(token, "", "admin token of the process to drain");

using namespace coriandertray;

namespace {

constexpr const char *Usage =
    "Manages a fleet.\n"
    "  validate FILE            print every fault of a manifest\n"
    "  apply FILE               put a manifest in force\n"
    "  diff FILE                print what a manifest would change\n"
    "  history                  print the accepted versions\n"
    "  dump ADMIN               print the state of a process as JSON\n"
    "  status ADMIN[,ADMIN...]  print a summary of each process and service\n"
    "  explain ADMIN [SERVICE]  print the history of verdicts at an agent\n"
    "  drain ADMIN              make a process leave the fleet gracefully\n"
    "ADMIN is the IP:PORT of a process's admin endpoint.\n"
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 input invalid, 4 platform\n"
    "unreachable, 5 conflict with another operator.";

using arguments = std::vector<std::string>;
using command = std::function<exit_code(const arguments &)>;

exit_code wrongUsage(const std::string &What) {
  std::cerr << "usage-wrong: " << What << "; see --help\n";
  return exit_code::UsageWrong;
}

exit_code withAddress(const std::string &Text,
                      const std::function<exit_code(socket_address)> &Run) {
  const result<socket_address> Address = parseAddress(Text);
  return Address ? Run(*Address) : wrongUsage(Address.error().Detail);
}

exit_code withPlatform(const std::function<exit_code(socket_address)> &Run) {
  return withAddress(FLAGS_platform, Run);
}

exit_code runStatus(const arguments &Arguments) {
  std::vector<socket_address> Admins;
  for (const auto Part : std::views::split(Arguments[1], ',')) {
    const auto Address =
        parseAddress(std::string_view(Part.begin(), Part.end()));
    if (!Address)
      return wrongUsage(Address.error().Detail);
    Admins.push_back(*Address);
  }
  return printStatus(Admins);
}

const std::map<std::string, std::pair<std::size_t, command>> &commands() {
  static const std::map<std::string, std::pair<std::size_t, command>> Commands =
      {{"validate",
        {2, [](const arguments &All) { return validateManifest(All[1]); }}},
       {"apply",
        {2,
         [](const arguments &All) {
           return withPlatform([&All](const socket_address &Platform) {
             return applyManifest(
                 {All[1], Platform, FLAGS_author, FLAGS_expect_version});
           });
         }}},
       {"diff",
        {2,
         [](const arguments &All) {
           return withPlatform([&All](const socket_address &Platform) {
             return diffManifest(All[1], Platform);
           });
         }}},
       {"history",
        {1, [](const arguments &) { return withPlatform(printHistory); }}},
       {"dump",
        {2,
         [](const arguments &All) {
           return withAddress(All[1], dumpProcess);
         }}},
       {"status", {2, runStatus}},
       {"explain",
        {2,
         [](const arguments &All) {
           const std::string Service = All.size() > 2 ? All[2] : "";
           return withAddress(All[1], [&](const socket_address &Admin) {
             return explainService(Admin, Service);
           });
         }}},
       {"drain", {2, [](const arguments &All) {
                    return withAddress(All[1], [](const socket_address &Admin) {
                      return leaveProcess(Admin, FLAGS_token);
                    });
                  }}}};
  return Commands;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  parseCommandLine(ArgumentCount, Arguments, Usage);
  const arguments All(Arguments + 1, Arguments + ArgumentCount);
  const auto Found =
      All.empty() ? commands().end() : commands().find(All.front());
  if (Found == commands().end())
    return static_cast<int>(wrongUsage("a command is needed"));
  if (All.size() < Found->second.first)
    return static_cast<int>(wrongUsage("an argument is missing"));
  return static_cast<int>(Found->second.second(All));
}
