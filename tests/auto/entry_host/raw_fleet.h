/// \file
/// An entry host in front of servers that reply with given bytes.
#pragma once

#include "../http/raw_server.h"
#include "fleet_fixture.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace coriandertray::testing {

/// \returns the value of the header \p Name in \p Head; empty if there is none.
inline std::string headerIn(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find(Name + ": ");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 2;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

inline std::string idOf(const raw_request &Request) {
  return headerIn(Request.Head, TestNames.RequestId);
}

/// \returns a response that proves that the request \p Id was not run. An empty
/// id is left out.
inline std::string refusal(const std::string &Id, unsigned Status = 503) {
  const std::string IdLine =
      Id.empty() ? "" : TestNames.RequestId + ": " + Id + "\r\n";
  return "HTTP/1.1 " + std::to_string(Status) + " Refused\r\n" + IdLine +
         TestNames.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n";
}

inline std::string success(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\n" + TestNames.RequestId + ": " + Id + "\r\n" +
         TestNames.Signature + ": s\r\nContent-Length: 5\r\n\r\nwhole";
}

/// The names under which the server at one address is listed.
using server_names = std::vector<std::string>;

/// A fleet of one host, and of servers that reply with raw bytes.
class raw_fleet {
public:
  explicit raw_fleet(raw_server::script Script,
                     const std::vector<server_names> &Listed = {{"server-0"},
                                                                {"server-1"}})
      : Script(std::move(Script)) {
    for (const server_names &Names : Listed)
      addServer(Names);
  }

  /// Sends requests one after the other that may not be repeated. \returns the
  /// response to each.
  std::vector<std::string> book(int Count) {
    std::vector<std::string> Responses;
    Fleet.run([&]() -> asio::awaitable<void> {
      for (int Number = 0; Number < Count; ++Number) {
        const std::string Id = "r" + std::to_string(Number);
        std::string Response = co_await Fleet.sendAndReceive(
            fleet_fixture::requestText("GET", "/book/x", Id));
        Responses.push_back(std::move(Response));
      }
    });
    return Responses;
  }

  /// How often the servers got each request, by its id.
  std::map<std::string, int> Arrivals;
  fleet_fixture Fleet;

private:
  void addServer(const server_names &Names) {
    const socket_address Address = {
        "127.97.4." + std::to_string(1 + Servers.size()), 18'400};
    Servers.push_back(std::make_unique<raw_server>(
        Fleet.Context, Address, [this](const raw_request &Request) {
          ++Arrivals[idOf(Request)];
          return Script(Request);
        }));
    for (const std::string &Name : Names)
      Fleet.Platform.Backends.push_back(
          {Name, "one", Address, "a", 2, false, milliseconds(0), 1});
  }

  raw_server::script Script;
  std::vector<std::unique_ptr<raw_server>> Servers;
};

} // namespace coriandertray::testing
