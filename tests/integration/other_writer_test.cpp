/** @file other_writer_test.cpp Items of another writer in the platform's store,
 * beside changes of the configuration.
 */
// Labels: routes platform

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Time in which a change must be in force everywhere. */
constexpr std::chrono::milliseconds ApplyTime{6000};

/** The item of a server that does not exist. */
Json serverItem(size_t n) {
  return {{"service", "plain"},
          {"address", "127.0." + std::to_string(3 + n / 200) + "." +
                          std::to_string(1 + n % 200) + ":9"},
          {"zone", "z9"},
          {"version", "v1"},
          {"slots", 6},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"sequence", 1}};
}

/** Says whether all entries apply a configuration without key-2 in time. */
bool dropsKey(RouteFleet &All) {
  RouteAsk Dropped;
  Dropped.Key = "key-2";
  All.Config["tenants"][0]["api_keys"] = {"key-1"};
  All.publish();
  return waitFor(ApplyTime, [&] {
    return All.ask(0, Dropped).status == 401 &&
           All.ask(1, Dropped).status == 401;
  });
}

} // namespace

// Guards against an item of another writer that stops every change, and that
// keeps processes that start from serving.
BOOST_AUTO_TEST_CASE(ABadItemStopsNoChange) {
  RouteFleet All(RoutePlan{});
  BOOST_REQUIRE(All.waitServing(30s));
  Json Item = serverItem(0);
  Item["address"] = "shelf-17";
  All.store({{"put", {{"servers/shelf-17", Item.dump()}}}});
  BOOST_TEST(dropsKey(All));
  for (const char *Name : {"entry-0", "entry-1"})
    All.process(Name).kill();
  for (const char *Name : {"entry-0", "entry-1"})
    All.restart(Name);
  BOOST_TEST(waitFor(10s, [&] {
    return All.ask(0, {}).status == 200 && All.ask(1, {}).status == 200;
  }));
}

// Guards against more items than a document holds, which stop every change.
BOOST_AUTO_TEST_CASE(ManyItemsStopNoChange) {
  RouteFleet All(RoutePlan{});
  BOOST_REQUIRE(All.waitServing(30s));
  Json Items = Json::object();
  constexpr size_t Count = 9000;
  for (size_t n = 0; n < Count; ++n)
    Items["servers/other-" + std::to_string(n)] = serverItem(n).dump();
  All.store({{"put", Items}});
  BOOST_TEST(dropsKey(All));
}

// Guards against one odd item that ends the processes that read it, again and
// again, or that keeps them from following the list.
BOOST_AUTO_TEST_CASE(OddItemsEndNoProcess) {
  RouteFleet All(RoutePlan{});
  BOOST_REQUIRE(All.waitServing(30s));
  const std::string Nested =
      std::string(100000, '[') + std::string(100000, ']');
  const std::vector<std::pair<const char *, std::string>> Members = {
      {"slots", Nested},
      {"models", Nested},
      {"models", "[{\"name\": " + Nested + ", \"version\": 1}]"},
      {"address", Nested},
      {"unknown", Nested},
      {"slots", "1e400"},
      {"slots", "-1e308"},
      {"slots", "18446744073709551616"},
      {"slots", std::string(5000, '9')},
      {"born", "1e308"},
      {"born", "18446744073709551615"},
      {"cold_remaining_ms", "1e400"},
      {"sequence", "-9223372036854775809"},
      {"address", "\"127.0.0.9:65536\""},
      {"address", "\"127.0.0.9:-1\""},
      {"address", "\"127.0.0.9:99999999999999999999\""},
      {"address", "\"127.0.0.9:\""},
      {"address", "\"127.0.0.9\""},
      {"address", "\"127.0.0.9:8x\""},
      {"address", "\"[::1]:80\""},
      {"address", "\"\""}};
  Json Items = {{"servers/odd-nested", Nested}, {"servers/odd-text", "{"}};
  for (size_t n = 0; n < Members.size(); ++n) {
    const auto &[Key, Value] = Members[n];
    Json Item = serverItem(n);
    Item[Key] = "ODD";
    std::string Text = Item.dump();
    Text.replace(Text.find("\"ODD\""), 5, Value);
    Items["servers/odd-" + std::to_string(n)] = Text;
  }
  All.store({{"put", Items}});
  BOOST_TEST(dropsKey(All));
  for (const char *Name : {"entry-0", "entry-1", "agent-0", "agent-1"}) {
    BOOST_TEST(!All.process(Name).waitExit(0ms).has_value(), Name);
    All.process(Name).kill();
    All.restart(Name);
  }
  BOOST_TEST(All.waitServing(10s));
  BOOST_TEST(waitFor(10s, [&] {
    return All.ask(0, {}).status == 200 && All.ask(1, {}).status == 200;
  }));
}
