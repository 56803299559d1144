/** @file route_match_test.cpp Routes by host and prefix, tenants by key. */
// Labels: routes

#include "forwarding/route_match_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

Route route(const std::string &Name, const std::string &Host,
            const std::string &Prefix) {
  Route One;
  One.Name = Name;
  One.Host = Host;
  One.Prefix = Prefix;
  return One;
}

/** Name of the matching route; empty for none. */
std::string matched(const Document &Doc, std::string_view Host,
                    std::string_view Target) {
  const Route *Found = matchRoute(makeRouteIndex(Doc), Host, Target);
  return Found == nullptr ? "" : Found->Name;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins) {
  Document Doc;
  Doc.Routes = {route("short", "a.example", "/x/"),
                route("long", "a.example", "/x/y/"),
                route("other", "b.example", "/x/y/z/")};
  BOOST_TEST(matched(Doc, "a.example", "/x/y/z/1") == "long");
  BOOST_TEST(matched(Doc, "a.example", "/x/1") == "short");
  BOOST_TEST(matched(Doc, "a.example", "/x").empty());
  BOOST_TEST(matched(Doc, "c.example", "/x/y/").empty());
}

BOOST_AUTO_TEST_CASE(HostsCountInAnyCaseAndWithAPort) {
  Document Doc;
  Doc.Routes = {route("r", "A.example", "/x/")};
  BOOST_TEST(matched(Doc, " a.EXAMPLE:8080 ", "/x/") == "r");
}

BOOST_AUTO_TEST_CASE(AQueryIsNoPartOfThePath) {
  Document Doc;
  Doc.Routes = {route("r", "a", "/x/")};
  BOOST_TEST(matched(Doc, "a", "/y?next=/x/").empty());
  BOOST_TEST(matched(Doc, "a", "/x/?q=1") == "r");
}

BOOST_AUTO_TEST_CASE(KeysNameTheirTenant) {
  Document Doc;
  Tenant One;
  One.Name.Value = "t";
  One.Keys = {"k1", "k2"};
  Doc.Tenants = {One};
  const RouteIndex Index = makeRouteIndex(Doc);
  BOOST_REQUIRE(matchTenant(Index, "Bearer k2") != nullptr);
  BOOST_TEST(matchTenant(Index, "bearer  k1 ")->Name.Value == "t");
  BOOST_TEST(matchTenant(Index, "Bearer k3") == nullptr);
  BOOST_TEST(matchTenant(Index, "k1") == nullptr);
  BOOST_TEST(matchTenant(Index, "") == nullptr);
}
