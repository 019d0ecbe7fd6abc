#include "fleet_commands.h"

#include "http/http_client.h"
#include "utils/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iomanip>
#include <iostream>

namespace coriandertray {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnauthorized = 401;

result<std::string> requestAdmin(const socket_address &Admin,
                                 std::string Method, std::string Target,
                                 std::string Token = {}) {
  asio::io_context Context;
  http_client Client(Context, {});
  call_result Result;
  http_request Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  if (!Token.empty())
    setHeader(Request.Headers, header::Authorization, "Bearer " + Token);
  const call_options Options;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        Result = co_await Client.call(Admin, Request, Options);
      },
      asio::detached);
  Context.run();
  if (Result.Status != call_status::Answered)
    return fail(error_code::ConnectFailed,
                toString(Admin) + " " +
                    std::string(callStatusName(Result.Status)));
  if (Result.Response.Status == StatusUnauthorized)
    return fail(error_code::Unauthorized, toString(Admin));
  if (Result.Response.Status != StatusOk)
    return fail(error_code::PlatformRefused,
                toString(Admin) + " status " +
                    std::to_string(Result.Response.Status));
  return Result.Response.Body;
}

exit_code printError(const error &Error) {
  std::cout << toString(Error) << "\n";
  return exit_code::Failure;
}

void printServiceRow(const std::string &Name, const json::object &Service) {
  std::size_t Usable = 0;
  std::size_t Ejected = 0;
  const json::array &Backends = Service.at("backend_servers").as_array();
  for (const json::value &Backend : Backends) {
    Usable += boolAt(Backend.as_object(), "usable") ? 1 : 0;
    Ejected += stringAt(Backend.as_object(), "standing") == "ejected" ? 1 : 0;
  }
  std::cout << "    " << std::left << std::setw(16) << Name << std::right
            << "usable " << Usable << "/" << Backends.size() << "  ejected "
            << Ejected << "  slots " << numberAt(Service, "usable_slots")
            << " (floor " << numberAt(Service, "floor_slots") << ")  queued "
            << numberAt(Service, "queued") << "\n";
}

void printProcess(const json::object &Dump) {
  std::cout << std::left << std::setw(12) << stringAt(Dump, "host")
            << std::setw(10) << stringAt(Dump, "zone") << std::setw(22)
            << stringAt(Dump, "program") << "config "
            << numberAt(Dump, "config_version") << "  live hosts "
            << numberAt(Dump, "live_hosts") << "\n";
  const json::value *Services = Dump.if_contains("services");
  if (!Services || !Services->is_object())
    return;
  for (const auto &[Name, Service] : Services->get_object())
    printServiceRow(std::string(Name), Service.as_object());
}

} // namespace

exit_code dumpProcess(const socket_address &Admin) {
  const result<std::string> Dump = requestAdmin(Admin, "GET", "/dump");
  if (!Dump)
    return printError(Dump.error());
  std::cout << *Dump;
  return exit_code::Success;
}

exit_code printStatus(const std::vector<socket_address> &Admins) {
  exit_code Code = exit_code::Success;
  for (const socket_address &Admin : Admins) {
    const result<std::string> Text = requestAdmin(Admin, "GET", "/dump");
    const result<json::value> Dump =
        Text ? parseJson(*Text) : tl::unexpected(Text.error());
    if (Dump && Dump->is_object())
      printProcess(Dump->get_object());
    else
      Code =
          printError(Dump ? error{error_code::AnswerMalformed, toString(Admin)}
                          : Dump.error());
  }
  return Code;
}

exit_code explainService(const socket_address &Admin,
                         const std::string &Service) {
  const result<std::string> Text =
      requestAdmin(Admin, "GET", "/explain?service=" + Service);
  if (!Text)
    return printError(Text.error());
  const result<json::value> Changes = parseJson(*Text);
  if (!Changes || !Changes->is_array())
    return printError({error_code::AnswerMalformed, toString(Admin)});
  for (const json::value &Element : Changes->get_array()) {
    const json::object &Change = Element.as_object();
    std::cout << static_cast<std::int64_t>(numberAt(Change, "at_ms")) << "  "
              << stringAt(Change, "service") << "/"
              << stringAt(Change, "backend_server") << "  "
              << stringAt(Change, "standing") << ": "
              << stringAt(Change, "reason") << " (succeeded "
              << numberAt(Change, "succeeded") << ", failed "
              << numberAt(Change, "failed") << ", late "
              << numberAt(Change, "late") << ", reported bad by "
              << numberAt(Change, "reporters") << " hosts; judge "
              << stringAt(Change, "judge") << ")\n";
  }
  return exit_code::Success;
}

exit_code leaveProcess(const socket_address &Admin, const std::string &Token) {
  const result<std::string> Answer =
      requestAdmin(Admin, "POST", "/leave", Token);
  if (!Answer)
    return printError(Answer.error());
  std::cout << "leaving\n";
  return exit_code::Success;
}

} // namespace coriandertray
