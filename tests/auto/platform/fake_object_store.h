/// \file
/// An in-memory fake of the platform's object store that serves its HTTP
/// protocol and injects faults.
#pragma once

#include "http/http_server.h"
#include "utils/json.h"
#include "utils/query.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace coriandertray::testing {

/// The faults to inject; all are off by default.
struct store_faults {
  /// Connections are closed without a response.
  bool Down = false;
  /// Every request gets status 503.
  bool RespondsUnavailable = false;
  /// Writes take effect, but the connection is closed without a response.
  bool DropsWriteResponses = false;
  /// Watches get status 410.
  bool HistoryExpired = false;
  /// Watches return a new revision, but no events.
  bool WatchesMissEvents = false;
};

/// \returns the specification of a backend server's entry.
inline json::value backendEntry(std::string_view State = "ready",
                                std::uint64_t Sequence = 1) {
  return json::object{{"service", "one"}, {"address", "10.0.0.1:80"},
                      {"zone", "a"},      {"slots", 3},
                      {"state", State},   {"warmup_remaining", "0ms"},
                      {"born", 1000},     {"sequence", Sequence}};
}

/// \returns the specification of a configuration without routes.
inline json::value configEntry(std::uint64_t Version) {
  return json::object{{"version", Version},
                      {"services", json::array{}},
                      {"limits", json::object{{"max_header_bytes", 1000},
                                              {"max_body_bytes", 1000},
                                              {"header_timeout", "1s"},
                                              {"idle_timeout", "1s"}}},
                      {"virtual_hosts", json::array{}}};
}

/// The stored objects and their revision at one moment.
struct store_copy {
  std::map<std::string, std::map<std::string, json::object>> Objects;
  std::uint64_t Revision = 0;
};

class fake_object_store {
public:
  explicit fake_object_store(asio::io_context &Context)
      : Context(Context),
        Server(Context, {},
               [this](http_request Request, std::shared_ptr<peer_connection>) {
                 return serveWithEpoch(std::move(Request));
               }) {}

  result<void> listen(const socket_address &Address) {
    return Server.listen(Address);
  }
  void abort() { Server.abort(); }

  /// Writes an object, as the operator or a backend server does.
  void put(const std::string &Kind, const std::string &Name,
           json::value Specification) {
    ++Revision;
    const json::object Object = {
        {"metadata", json::object{{"name", Name}, {"revision", Revision}}},
        {"specification", std::move(Specification)},
        {"status", nullptr}};
    Objects[Kind][Name] = Object;
    Events.push_back({Revision, Kind, Object, false});
  }

  /// Removes an object, as a backend server does when it leaves.
  void remove(const std::string &Kind, const std::string &Name) {
    ++Revision;
    Events.push_back({Revision, Kind, Objects[Kind][Name], true});
    Objects[Kind].erase(Name);
  }

  [[nodiscard]] bool hasObject(const std::string &Kind,
                               const std::string &Name) {
    return Objects[Kind].contains(Name);
  }

  [[nodiscard]] store_copy copy() const { return {Objects, Revision}; }

  /// Replaces all objects and the revision by an older copy, as when the store
  /// is restored after a loss of data.
  void restore(const store_copy &Copy) {
    Objects = Copy.Objects;
    Revision = Copy.Revision;
    Events.clear();
    ++Epoch;
  }

  /// Writes an object whose specification is served as \p Text, which need not
  /// be valid JSON.
  void putRaw(const std::string &Kind, const std::string &Name,
              std::string Text) {
    const std::string Placeholder = "raw:" + Kind + "/" + Name;
    RawTexts['"' + Placeholder + '"'] = std::move(Text);
    put(Kind, Name, json::string(Placeholder));
  }

  store_faults Faults;
  /// Objects in one page of a list.
  std::size_t PageSize = 500;
  /// Requests received, including those that fail by an injected fault.
  int Calls = 0;

private:
  struct event {
    std::uint64_t Revision;
    std::string Kind;
    json::object Object;
    bool Deleted;
  };

  static http_response closedConnection() {
    http_response Response;
    Response.RawBytes = "";
    return Response;
  }

  asio::awaitable<http_response> serveWithEpoch(http_request Request) {
    const std::uint64_t EpochAtStart = Epoch;
    http_response Response = co_await serve(std::move(Request));
    // The restore cuts the calls that are waiting.
    if (Epoch != EpochAtStart)
      co_return closedConnection();
    if (!Response.RawBytes)
      setHeader(Response.Headers, "Store-Era", std::to_string(Epoch));
    co_return Response;
  }

  asio::awaitable<http_response> serve(http_request Request) {
    ++Calls;
    if (Faults.Down)
      co_return closedConnection();
    if (Faults.RespondsUnavailable)
      co_return jsonResponse(503, "{}");
    const parsed_target Target = parseTarget(Request.Target);
    constexpr std::string_view Prefix = "/objects/";
    if (!Target.Path.starts_with(Prefix))
      co_return jsonResponse(404, "{}");
    const std::string Path = Target.Path.substr(Prefix.size());
    const std::size_t Slash = Path.find('/');
    const std::string Kind = Path.substr(0, Slash);
    const std::string Name =
        Slash == std::string::npos ? "" : Path.substr(Slash + 1);
    if (Request.Method == "GET" && Target.Query.contains("watch"))
      co_return co_await watch(Kind, Target);
    if (Request.Method == "GET")
      co_return list(Kind, Target);
    http_response Response = write(Request, Kind, Name);
    co_return Faults.DropsWriteResponses ? closedConnection() : Response;
  }

  http_response jsonResponseWithRawTexts(const json::object &Body) const {
    std::string Text = json::serialize(Body);
    for (const auto &[Placeholder, Raw] : RawTexts)
      for (std::size_t At = Text.find(Placeholder); At != std::string::npos;
           At = Text.find(Placeholder, At + Raw.size()))
        Text.replace(At, Placeholder.size(), Raw);
    return jsonResponse(200, std::move(Text));
  }

  http_response list(const std::string &Kind, const parsed_target &Target) {
    const auto After = Target.Query.find("after");
    json::array Items;
    bool More = false;
    for (const auto &[Name, Object] : Objects[Kind]) {
      if (After != Target.Query.end() && Name <= After->second)
        continue;
      if (Items.size() == PageSize) {
        More = true;
        break;
      }
      Items.push_back(Object);
    }
    return jsonResponseWithRawTexts(json::object{
        {"items", std::move(Items)}, {"more", More}, {"as_of", Revision}});
  }

  asio::awaitable<http_response> watch(std::string Kind, parsed_target Target) {
    if (Faults.HistoryExpired)
      co_return jsonResponse(410, "{}");
    const auto SinceRevision =
        static_cast<std::uint64_t>(queryNumber(Target, "watch", 0));
    if (SinceRevision > Revision)
      co_return jsonResponse(410, "{}");
    auto RemainingMs = queryNumber(Target, "wait_ms", 0);
    constexpr int StepMs = 2;
    for (; RemainingMs > 0; RemainingMs -= StepMs) {
      json::array Matches;
      for (const event &Event : Events)
        if (Event.Kind == Kind && Event.Revision > SinceRevision)
          Matches.push_back(json::object{{"deleted", Event.Deleted},
                                         {"object", Event.Object}});
      if (!Matches.empty() && !Faults.WatchesMissEvents)
        co_return jsonResponseWithRawTexts(
            json::object{{"events", std::move(Matches)}, {"as_of", Revision}});
      asio::steady_timer Timer(Context, milliseconds(StepMs));
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return jsonResponse(
        200, json::serialize(
                 json::object{{"events", json::array{}}, {"as_of", Revision}}));
  }

  http_response write(const http_request &Request, const std::string &Kind,
                      const std::string &Name) {
    if (Request.Method == "DELETE")
      return Objects[Kind].erase(Name) > 0 ? jsonResponse(200, "{}")
                                           : jsonResponse(404, "{}");
    const json::object Body = json::parse(Request.Body).get_object();
    const bool IsCreate = Request.Method == "POST";
    const std::string ObjectName =
        IsCreate ? std::string(Body.at("metadata").at("name").as_string())
                 : Name;
    const bool Exists = Objects[Kind].contains(ObjectName);
    if (IsCreate && Exists)
      return jsonResponse(409, json::serialize(Objects[Kind][ObjectName]));
    if (!IsCreate && !Exists)
      return jsonResponse(404, "{}");
    put(Kind, ObjectName, Body.at("specification"));
    return jsonResponse(200, json::serialize(Objects[Kind][ObjectName]));
  }

  asio::io_context &Context;
  std::map<std::string, std::map<std::string, json::object>> Objects;
  std::deque<event> Events;
  /// Texts to serve, by the quoted placeholder that stands for them.
  std::map<std::string, std::string> RawTexts;
  std::uint64_t Revision = 100;
  std::uint64_t Epoch = 1;
  http_server Server;
};

} // namespace coriandertray::testing
