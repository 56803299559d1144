/** @file route_match_test.cpp Matching requests to routes by host and prefix,
 * and to workspaces by API key. */
// Labels: routes

#include "forwarding/route_match_func.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace jacinthpond;

namespace {

/** Makes a route. */
Route makeRoute(const std::string &Name, const std::string &Host,
                const std::string &Prefix) {
  Route One;
  One.Name = Name;
  One.Host = Host;
  One.Prefix = Prefix;
  return One;
}

/** Gives the name of the matching route; empty: none. */
std::string matchedName(const Document &Doc, std::string_view Host,
                        std::string_view Target) {
  const Route *Found = matchRoute(makeRouteIndex(Doc), Host, Target);
  return Found == nullptr ? "" : Found->Name;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins) {
  Document Doc;
  Doc.Routes = {makeRoute("short", "a.example", "/x/"),
                makeRoute("long", "a.example", "/x/y/"),
                makeRoute("other", "b.example", "/x/y/z/")};
  BOOST_TEST(matchedName(Doc, "a.example", "/x/y/z/1") == "long");
  BOOST_TEST(matchedName(Doc, "a.example", "/x/1") == "short");
  BOOST_TEST(matchedName(Doc, "a.example", "/x").empty());
  BOOST_TEST(matchedName(Doc, "c.example", "/x/y/").empty());
}

BOOST_AUTO_TEST_CASE(HostsMatchInAnyCaseAndWithAPort) {
  Document Doc;
  Doc.Routes = {makeRoute("r", "A.example", "/x/")};
  BOOST_TEST(matchedName(Doc, " a.EXAMPLE:8080 ", "/x/") == "r");
}

BOOST_AUTO_TEST_CASE(TheQueryIsIgnored) {
  Document Doc;
  Doc.Routes = {makeRoute("r", "a", "/x/")};
  BOOST_TEST(matchedName(Doc, "a", "/y?next=/x/").empty());
  BOOST_TEST(matchedName(Doc, "a", "/x/?q=1") == "r");
}

BOOST_AUTO_TEST_CASE(KeysNameTheirWorkspace) {
  Document Doc;
  Workspace One;
  One.Name.Value = "t";
  One.Keys = {"k1", "k2"};
  Doc.Workspaces = {One};
  const RouteIndex Index = makeRouteIndex(Doc);
  BOOST_REQUIRE(matchWorkspace(Index, "Bearer k2") != nullptr);
  BOOST_TEST(matchWorkspace(Index, "bearer  k1 ")->Name.Value == "t");
  BOOST_TEST(matchWorkspace(Index, "Bearer k3") == nullptr);
  BOOST_TEST(matchWorkspace(Index, "k1") == nullptr);
  BOOST_TEST(matchWorkspace(Index, "") == nullptr);
}

// Guards against splits whose shares lose their fractions.
BOOST_AUTO_TEST_CASE(ARouteIsSplitInProportionToItsWeights) {
  Route Split;
  Split.Targets = {
      {{"none"}, 0}, {{"half"}, 0.5}, {{"rest"}, 1.5}, {{"no"}, 0}};
  constexpr uint64_t Steps = 1000;
  std::map<std::string, size_t> Chosen;
  for (uint64_t n = 0; n < Steps; ++n)
    ++Chosen[chooseTarget(Split, (2 * n + 1) * (UINT64_MAX / Steps / 2)).Value];
  BOOST_TEST(Chosen.size() == 2U);
  BOOST_TEST(Chosen["half"] == 250U);
  BOOST_TEST(Chosen["rest"] == 750U);
  Split.Targets = {{{"first"}, 0}, {{"second"}, 0}};
  BOOST_TEST(chooseTarget(Split, 7).Value == "first");
}
