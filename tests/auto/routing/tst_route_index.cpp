#include "routing/route_index.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace coriandertray;

namespace {

route_rule makeRoute(const std::string &Name, const std::string &Host,
                     const std::string &Prefix,
                     std::vector<weighted_service> Services = {{"one", 1}}) {
  route_rule Route;
  Route.Name = Name;
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  Route.Services = std::move(Services);
  return Route;
}

std::string matchedName(const route_index &Index, std::string_view Host,
                        std::string_view Target) {
  const route_rule *Route = Index.match(Host, Target);
  return Route ? Route->Name : "none";
}

} // namespace

TEST_CASE("the longest matching path prefix of the virtual host wins") {
  routing_config Config;
  Config.Routes = {makeRoute("root", "a.example", "/"),
                   makeRoute("short", "a.example", "/x/"),
                   makeRoute("long", "a.example", "/x/y/"),
                   makeRoute("other", "b.example", "/x/")};
  const route_index Index(Config, 1);
  CHECK(matchedName(Index, "a.example", "/x/y/z") == "long");
  CHECK(matchedName(Index, "a.example", "/x/y") == "short");
  CHECK(matchedName(Index, "a.example", "/x") == "root");
  CHECK(matchedName(Index, "A.example:80", "/x/1?q=/x/y/") == "short");
  CHECK(matchedName(Index, "b.example", "/x/y/z") == "other");
  CHECK(matchedName(Index, "b.example", "/") == "none");
  CHECK(matchedName(Index, "c.example", "/x/") == "none");
  CHECK(matchedName(Index, "a.example", "no-slash") == "none");
}

TEST_CASE("a traffic split keeps its weights over all hosts together") {
  const bool Holds =
      rc::check("shares lie within two percentage points of the weights", [] {
        const auto First = *rc::gen::inRange<std::uint32_t>(1, 100);
        const auto Second = *rc::gen::inRange<std::uint32_t>(1, 100);
        routing_config Config;
        Config.Routes = {makeRoute("split", "a.example", "/",
                                   {{"one", First}, {"two", Second}})};
        std::map<std::string, int> Count;
        constexpr int Hosts = 30;
        constexpr int RequestsEach = 40;
        for (int Host = 0; Host < Hosts; ++Host) {
          route_index Index(Config, static_cast<std::uint64_t>(Host));
          const route_rule *Route = Index.match("a.example", "/x");
          for (int Request = 0; Request < RequestsEach; ++Request)
            ++Count[Index.nextService(*Route)];
        }
        const double Share = Count["one"] / double(Hosts * RequestsEach);
        const double Weight = First / double(First + Second);
        RC_ASSERT(std::abs(Share - Weight) < 0.02);
      });
  CHECK(Holds);
}
