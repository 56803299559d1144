/** @file store_document_test.cpp Documents built from the platform's store. */
// Labels: platform

#include "../standin/base64.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "platform/store_document.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace jacinthpond;
using standin::base64;
using Json = nlohmann::json;

namespace {

/** An item as the store's HTTP interface returns it. */
Json itemJson(const std::string &Key, const std::string &Value,
              uint64_t Revision) {
  return {{"key", Key},
          {"value", base64(Value)},
          {"revision", Revision},
          {"created", Revision},
          {"lease", 0}};
}

/** A configuration with two routes, three services and one workspace. */
Json configJson() {
  return Json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "r1", "host": "h.example", "prefix": "/a/", "kind": "streaming",
       "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1,
       "service": "llm", "max_attempts": 2, "allow_anonymous": false,
       "sticky_sessions": true, "resume_streams": true, "gap_target_ms": 300,
       "allowed_regions": []},
      {"name": "r2", "host": "h.example", "prefix": "/b/",
       "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 100,
       "priority": 2, "traffic_split": [{"service": "plain", "weight": 90},
       {"service": "llm", "weight": 10}], "max_attempts": 1,
       "allowed_regions": ["r"]}],
    "services": [
      {"name": "llm", "health_check_path": "/health", "max_connections": 434,
       "cold_per_s": 36.0, "engine": {"slots": 16, "read_per_s": 31900.0,
       "models": [{"name": "m", "pace": 1.0}]}},
      {"name": "plain", "max_connections": 110},
      {"name": "weights", "origin": "10.0.0.9:80"}],
    "limits": {"max_header_bytes": 8192, "max_body_bytes": 1000,
      "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1,
      "allowed_regions": []}]})");
}

/** Value of the store item of a server that has model m loaded. */
std::string serverItem(const std::string &At,
                       const std::string &State = "ready") {
  return Json{{"service", "llm"},
              {"address", At},
              {"zone", "z1"},
              {"version", "v1"},
              {"slots", 16},
              {"state", State},
              {"cold_remaining_ms", 0},
              {"models", {{{"name", "m"}, {"version", 1}}}}}
      .dump();
}

/** A store that holds configJson() and the items put into it. */
struct Store {
  Store() { put("op/config", configJson().dump()); }
  /** Sets an item at a new revision. */
  void put(const std::string &Key, const std::string &Value) {
    ++Items.Revision;
    Items.Items[Key] = {Value, Items.Revision, Items.Revision};
  }
  /** Builds the document and parses it; the test fails when it is invalid. */
  DocumentPtr document() const {
    const PlatformFacts Facts{{"z1=r", "z2=r"}, 7700};
    LeftOut = {};
    const auto Doc = outcomeOf([&] {
      return parseDocument(
          withVersion(buildDocument(Items, Facts, &LeftOut), 5));
    });
    BOOST_REQUIRE_MESSAGE(Doc.Value.has_value(), Doc.Why.Detail);
    return *Doc.Value;
  }
  /** Says why an item was left out of the last document; empty: it wasn't. */
  std::string whyLeftOut(const std::string &Where) const {
    const auto it =
        std::ranges::find(LeftOut.First, Where, &LeftOutPart::Where);
    return it == LeftOut.First.end() ? "" : it->Why;
  }
  StoreItems Items;
  mutable LeftOutParts LeftOut; ///< What the last document left out.
};

/** Changes a member of a server's item. */
std::string serverWith(const char *Key, const Json &Value,
                       const std::string &At = "10.0.0.9:80") {
  Json Item = Json::parse(serverItem(At));
  Item[Key] = Value;
  return Item.dump();
}

/** Members of a configuration that are changed, as a merge patch. */
DocumentPtr documentWith(Store &TestStore, const Json &Patch) {
  Json Config = configJson();
  Config.merge_patch(Patch);
  TestStore.put("op/config", Config.dump());
  return TestStore.document();
}

/** The first route of the configuration with some members changed. */
Json routeWith(const Json &Changes) {
  Json Route = configJson()["routes"][0];
  Route.merge_patch(Changes);
  return Route;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheConfigurationBecomesAValidDocument) {
  Store TestStore;
  TestStore.put("servers/i-1", serverItem("10.0.0.1:80"));
  TestStore.put("op/version/m", R"({"model": "m", "version": 3})");
  const DocumentPtr Doc = TestStore.document();
  BOOST_REQUIRE(Doc->Routes.size() == 2U);
  BOOST_CHECK(Doc->Routes[0].Kind == RouteKind::Stream);
  BOOST_TEST(Doc->Routes[0].Resumable);
  BOOST_TEST(Doc->Routes[0].MaxAttempts == 2U);
  BOOST_TEST((Doc->Routes[0].LongestSilence == Millis(2400)));
  BOOST_TEST((Doc->Routes[1].LongestSilence == Millis(0)));
  BOOST_CHECK(Doc->Routes[1].Kind == RouteKind::AtMostOnce);
  BOOST_TEST(Doc->Routes[1].Targets.size() == 2U);
  BOOST_TEST(Doc->Routes[1].Regions.contains({"r"}));
  BOOST_TEST(Doc->Limits.MaxHeadBytes == 8192U);
  BOOST_TEST(Doc->Workspaces[0].Keys[0] == "k");
  BOOST_TEST(Doc->Models[0].Set.Value == "m@3");
  BOOST_TEST(Doc->Models[0].Origin.Value == "10.0.0.9:80");
  BOOST_REQUIRE(Doc->Servers.size() == 1U);
  BOOST_TEST(Doc->Servers[0].Weights.Value == "m@1");
  BOOST_TEST(Doc->Workers[0].Agent.Value == "10.0.0.1:7700");
}

BOOST_AUTO_TEST_CASE(EntriesOfOtherWritersNameNoServer) {
  // Another client wrote items below servers/ that lack members, have members
  // of other types or are not JSON. One such item made all servers be
  // dropped.
  Store TestStore;
  TestStore.put("servers/i-1", serverItem("10.0.0.1:80"));
  TestStore.put("servers/i-2", "\x01\x02");
  TestStore.put("servers/i-3", R"({"service": 5, "address": []})");
  TestStore.put("servers/i-4", R"(["x"])");
  TestStore.put("servers/i-5", serverItem("10.0.0.5:80", "resting"));
  TestStore.put("servers/i-6", R"({"service": "llm", "address": "10.0.0.6:80",
    "zone": "z1", "state": "ready", "models": [{"name": 5, "version": 1}]})");
  TestStore.put("servers/i-7",
                R"({"service": "unknown", "address": "10.0.0.7:80",
    "zone": "z1", "state": "ready"})");
  BOOST_TEST(TestStore.document()->Servers.size() == 1U);
}

// Guards against one bad item of another writer that makes every process reject
// the whole document.
BOOST_AUTO_TEST_CASE(AnItemThatIsNoServerIsLeftOutAlone) {
  const std::vector<std::pair<const char *, Json>> Changes = {
      {"address", "shelf-17"},
      {"address", "10.0.0.9:70000"},
      {"address", "10.0.0.9:0"},
      {"address", 7},
      {"zone", ""},
      {"zone", "\x01\x02"},
      {"zone", nullptr},
      {"zone", std::string(70000, 'z')},
      {"slots", 9481623004},
      {"slots", "six"},
      {"slots", -1},
      {"slots", 1.5},
      {"cold_remaining_ms", "0"},
      {"cold_remaining_ms", 1e300},
      {"born", 1.5},
      {"models", "m"},
      {"models", {5}},
      {"service", "unknown"},
      {"service", nullptr},
      {"state", "resting"}};
  for (const auto &[Key, Value] : Changes) {
    Store TestStore;
    TestStore.put("servers/i-1", serverItem("10.0.0.1:80"));
    TestStore.put("servers/other", serverWith(Key, Value));
    const DocumentPtr Doc = TestStore.document();
    BOOST_TEST_CONTEXT(Key << " " << Value.dump().substr(0, 40)) {
      const bool OnlyModels = Key == std::string("models") && Value.is_array();
      BOOST_TEST(Doc->Servers.size() == (OnlyModels ? 2U : 1U));
      BOOST_TEST(TestStore.LeftOut.Count == (OnlyModels ? 0U : 1U));
      BOOST_TEST(TestStore.whyLeftOut("servers/other").empty() == OnlyModels);
    }
  }
  Store TestStore;
  TestStore.put("servers/i-\x01", serverItem("10.0.0.1:80"));
  std::string Nested = serverWith("slots", "NESTED");
  Nested.replace(Nested.find("\"NESTED\""), 8,
                 std::string(200000, '[') + std::string(200000, ']'));
  TestStore.put("servers/nested", Nested);
  BOOST_TEST(TestStore.document()->Servers.empty());
  BOOST_TEST(TestStore.LeftOut.Count == 2U);
}

// Guards against a bad item with the address of a running server and a later
// start, which must not take the server's place.
BOOST_AUTO_TEST_CASE(AnItemThatIsNoServerHoldsNoAddress) {
  for (const char *Key : {"zone", "slots"}) {
    Store TestStore;
    TestStore.put("servers/i-1", serverWith("born", 1000, "10.0.0.1:80"));
    Json Other = Json::parse(serverWith("born", 2000, "10.0.0.1:80"));
    Other[Key] = Key == std::string("zone") ? Json("") : Json(9481623004);
    TestStore.put("servers/other", Other.dump());
    const DocumentPtr Doc = TestStore.document();
    BOOST_REQUIRE(Doc->Servers.size() == 1U);
    BOOST_TEST(Doc->Servers[0].Id.Value == "i-1");
  }
}

// Guards against another writer's items that fill the list of servers: those
// that ran before stay, and a later one of a known domain is added.
BOOST_AUTO_TEST_CASE(MoreServersThanADocumentHoldsLeaveRunningOnes) {
  Store TestStore;
  TestStore.put("servers/z", serverItem("10.0.0.1:80"));
  const auto Flood = [&](const char *Zone, size_t Items) {
    for (size_t n = 0; n < Items; ++n)
      TestStore.put(std::string("servers/a-") + Zone + std::to_string(n),
                    serverWith("zone", Zone,
                               "10.1." + std::to_string(n / 200) + "." +
                                   std::to_string(n % 200) + ":80"));
  };
  const auto Has = [](const DocumentPtr &Doc, const char *Id) {
    return std::ranges::find(Doc->Servers, InstanceId{Id},
                             &BackEndServer::Id) != Doc->Servers.end();
  };
  Flood("elsewhere", 9000);
  TestStore.put("servers/zz", serverItem("10.0.0.2:80"));
  const DocumentPtr Unknown = TestStore.document();
  BOOST_TEST(Unknown->Servers.size() == MaxDocumentServers);
  BOOST_TEST((Has(Unknown, "z") && Has(Unknown, "zz")));
  Flood("z1", 9000);
  const DocumentPtr Known = TestStore.document();
  BOOST_TEST((Has(Known, "z") && Has(Known, "zz")));
  BOOST_TEST(TestStore.LeftOut.Count > 0U);
  BOOST_TEST(TestStore.LeftOut.First.size() == MaxListedLeftOut);
}

// Guards against a valid configuration that is rejected as a whole for a value
// beyond what people usually write.
BOOST_AUTO_TEST_CASE(UnusualConfigurationsAreTakenOver) {
  const std::string Long(400, 'x');
  Store TestStore;
  const DocumentPtr Doc = documentWith(
      TestStore,
      {{"routes",
        {routeWith({{"name", Long},
                    {"prefix", "/" + Long + "/"},
                    {"max_attempts", 17},
                    {"priority", 101},
                    {"timeout_ms", 25 * 3600 * 1000},
                    {"target_latency_ms", 100.5},
                    {"gap_target_ms", 1500.0},
                    {"service", Long},
                    {"allowed_regions", {Long}}}),
         routeWith({{"name", "split"},
                    {"prefix", "/s/"},
                    {"timeout_ms", 1e300},
                    {"traffic_split",
                     {{{"service", Long}, {"weight", 0.5}},
                      {{"service", "plain"}, {"weight", 1.5}},
                      {{"service", "llm"}}}}})}},
       {"services", {{{"name", Long}, {"max_connections", 1e12}}}},
       {"tenants",
        {{{"name", Long}, {"api_keys", {Long, "k"}}, {"priority", 200}}}},
       {"limits",
        {{"max_header_bytes", 100},
         {"max_body_bytes", int64_t{2} << 30},
         {"header_timeout_ms", 2000.5},
         {"idle_timeout_ms", 1e300}}}});
  BOOST_TEST(TestStore.LeftOut.Count == 0U);
  BOOST_REQUIRE(Doc->Routes.size() == 2U);
  const Route &First = Doc->Routes[0];
  BOOST_TEST(First.Prefix == "/" + Long + "/");
  BOOST_TEST(First.MaxAttempts == 17U);
  BOOST_TEST(First.Rank == 101U);
  BOOST_TEST((First.Timeout == std::chrono::hours(25)));
  BOOST_TEST((First.Target == Millis(100)));
  BOOST_TEST((First.GapTarget == Millis(1500)));
  BOOST_TEST(First.Targets[0].Service.Value == Long);
  const Route &Split = Doc->Routes[1];
  BOOST_TEST((Split.Timeout == Millis(MaxGeneratedNumber)));
  BOOST_REQUIRE(Split.Targets.size() == 3U);
  BOOST_TEST(Split.Targets[0].Weight == 0.5);
  BOOST_TEST(Split.Targets[1].Weight == 1.5);
  BOOST_TEST(Split.Targets[2].Weight == 1.0);
  BOOST_TEST(Doc->Workspaces[0].Name.Value == Long);
  BOOST_TEST(Doc->Workspaces[0].Keys[0] == Long);
  BOOST_TEST(Doc->Limits.MaxHeadBytes == 100U);
  BOOST_TEST(Doc->Limits.MaxBodyBytes == uint32_t{1} << 31U);
  BOOST_TEST((Doc->Limits.HeadTimeout == Millis(2000)));
}

// Guards against a valid configuration that is rejected as a whole for a list
// that is longer than people usually write.
BOOST_AUTO_TEST_CASE(LongListsAreTakenOver) {
  Json Services = Json::array({{{"name", "w"}, {"origin", "10.0.0.9:80"}}});
  for (int n = 0; n < 1100; ++n) {
    const std::string Name = "s" + std::to_string(n);
    Services.push_back(
        {{"name", Name}, {"engine", {{"models", {{{"name", Name}}}}}}});
  }
  Json Tenants = Json::array();
  for (int n = 0; n < 10100; ++n)
    Tenants.push_back({{"name", "t" + std::to_string(n)}});
  Json Split = Json::array();
  for (int n = 0; n < 70; ++n)
    Split.push_back({{"service", "s" + std::to_string(n)}});
  Store TestStore;
  const DocumentPtr Doc = documentWith(
      TestStore, {{"services", Services},
                  {"tenants", Tenants},
                  {"routes", {routeWith({{"traffic_split", Split}})}}});
  BOOST_TEST(TestStore.LeftOut.Count == 0U);
  BOOST_TEST(Doc->Services.size() == 1101U);
  BOOST_TEST(Doc->Models.size() == 1100U);
  BOOST_TEST(Doc->Workspaces.size() == 10100U);
  BOOST_TEST(Doc->Routes[0].Targets.size() == 70U);
}

// Guards against a part that can't be used and takes others with it: a route's
// requests would go to another route, callers would need no key.
BOOST_AUTO_TEST_CASE(APartThatCantBeUsedConcernsNoOther) {
  Store TestStore;
  const DocumentPtr Doc = documentWith(
      TestStore,
      {{"routes",
        {routeWith({{"prefix", "/a/"}}),
         routeWith({{"prefix", "/a/b/"}, {"allowed_regions", {5}}}),
         routeWith({{"prefix", "/a/c/"}, {"service", ""}}), 7}},
       {"services", {{{"name", "plain"}}, {{"name", "a\nb"}}, {{"origin", 5}}}},
       {"tenants",
        {{{"name", "a\nb"}, {"api_keys", {"secret-1"}}},
         {{"name", "t"}, {"api_keys", {"secret-2\n"}}},
         "secret-3",
         {{"name", 5}, {"api_keys", {"secret-5"}}},
         {{"name", "u"}, {"api_keys", "secret-4"}}}}});
  BOOST_REQUIRE(Doc->Routes.size() == 3U);
  BOOST_TEST(Doc->Routes[1].Prefix == "/a/b/");
  BOOST_TEST(Doc->Routes[1].Targets[0].Service.Value == "(unusable)");
  BOOST_TEST(Doc->Routes[2].Targets[0].Service.Value == "(unusable)");
  BOOST_TEST(Doc->Services.size() == 1U);
  BOOST_REQUIRE(Doc->Workspaces.size() == 1U);
  BOOST_TEST(Doc->Workspaces[0].Keys.empty());
  BOOST_TEST(TestStore.LeftOut.Count == 10U);
  for (const LeftOutPart &One : TestStore.LeftOut.First)
    BOOST_TEST(One.Why.find("secret") == std::string::npos, One.Why);
}

// Guards against documents of an ordinary configuration that processes of an
// earlier version reject.
BOOST_AUTO_TEST_CASE(OnlyUnusualDocumentsAreMarkedAsGenerated) {
  Store TestStore;
  TestStore.put("servers/i-1", serverItem("10.0.0.1:80"));
  const PlatformFacts Facts{{"z1=r"}, 7700};
  BOOST_TEST(buildDocument(TestStore.Items, Facts).find("generated") ==
             std::string::npos);
  documentWith(TestStore, {{"routes", {routeWith({{"max_attempts", 17}})}}});
  BOOST_TEST(buildDocument(TestStore.Items, Facts).find("generated") !=
             std::string::npos);
}

// Guards against a configuration that can't be read and is passed over in
// silence.
BOOST_AUTO_TEST_CASE(AConfigurationThatCantBeReadIsReported) {
  for (const char *Text : {"{", "7", R"({"routes": 5})"}) {
    Store TestStore;
    TestStore.put("op/config", Text);
    LeftOutParts LeftOut;
    BOOST_TEST(buildDocument(TestStore.Items, {}, &LeftOut).empty());
    BOOST_TEST(LeftOut.Count == 1U);
  }
}

BOOST_AUTO_TEST_CASE(TheNewestServerHoldsAnAddress) {
  // A worker restarted under a new id before the item of its former incarnation
  // had expired. Half of the requests expected the former incarnation.
  Store TestStore;
  Json Old = Json::parse(serverItem("10.0.0.1:80"));
  Old["born"] = 1000;
  Json New = Old;
  New["born"] = 2000;
  TestStore.put("servers/i-a", New.dump());
  TestStore.put("servers/i-b", Old.dump());
  const DocumentPtr Doc = TestStore.document();
  BOOST_REQUIRE(Doc->Servers.size() == 1U);
  BOOST_TEST(Doc->Servers[0].Id.Value == "i-a");
}

BOOST_AUTO_TEST_CASE(ZonesAreTakenOutAndBack) {
  Store TestStore;
  TestStore.put("op/evacuate/z2", "{}");
  TestStore.put("op/evacuate/elsewhere", "{}");
  BOOST_TEST(TestStore.document()->DomainsOut.size() == 1U);
  TestStore.Items.Items.erase("op/evacuate/z2");
  BOOST_TEST(TestStore.document()->DomainsOut.empty());
}

BOOST_AUTO_TEST_CASE(NothingIsPublishedBeforeAConfiguration) {
  BOOST_TEST(buildDocument(StoreItems{}, {}).empty());
}

BOOST_AUTO_TEST_CASE(PagesAndChangesMakeACopy) {
  StoreItems Copy;
  const Json First = {{"items", {itemJson("a", "1", 4), itemJson("b", "2", 5)}},
                      {"truncated", true},
                      {"store_revision", 10}};
  const auto FirstPage =
      outcomeOf([&] { return applyPage(Copy, First.dump()); });
  BOOST_REQUIRE(FirstPage.Value.has_value());
  BOOST_TEST(FirstPage.Value->More);
  BOOST_TEST(FirstPage.Value->LastKey == "b");
  // The store changed between the pages: the second one has a newer revision.
  const Json Second = {{"items", {itemJson("c", "3", 12)}},
                       {"truncated", false},
                       {"store_revision", 12}};
  BOOST_REQUIRE(
      outcomeOf([&] { return applyPage(Copy, Second.dump()); }).Value);
  BOOST_TEST(Copy.Revision == 10U);
  const Json Changes = {
      {"events",
       {itemJson("c", "old", 11),
        Json{{"key", "a"}, {"revision", 13}, {"removed", true}}}},
      {"store_revision", 13}};
  const auto Changed =
      outcomeOf([&] { return applyChanges(Copy, Changes.dump()); });
  BOOST_REQUIRE(Changed.Value.has_value());
  BOOST_TEST(*Changed.Value);
  BOOST_TEST(Copy.Items.size() == 2U);
  BOOST_TEST(Copy.Items.at("c").Value == "3");
  BOOST_TEST(Copy.Revision == 13U);
}

BOOST_AUTO_TEST_CASE(AnswersThatAreCutChangeNothing) {
  StoreItems Copy;
  BOOST_TEST(!outcomeOf([&] { return applyPage(Copy, "{\"ite"); }).Value);
  BOOST_TEST(!outcomeOf([&] { return applyChanges(Copy, "{}"); }).Value);
  BOOST_TEST(Copy.Items.empty());
}

BOOST_AUTO_TEST_CASE(AStateThatHoldsAgainIsOfferedAgain) {
  // After a store outage the items of the servers had expired, and were written
  // again a second later. One entry published the document without
  // servers. Another one skipped that state, took the full list for the one it
  // had offered before and offered nothing, so no server was used until the
  // next change of the store.
  Store TestStore;
  TestStore.put("servers/a", serverItem("10.0.0.1:80"));
  const std::string Whole = buildDocument(TestStore.Items, {});
  LastPublished Last;
  BOOST_TEST(documentToOffer(Last, Whole, 7, {}, {}) == withVersion(Whole, 7));
  const std::string Empty = buildDocument(Store().Items, {});
  const Digest InForce = sha256(withVersion(Empty, 8));
  BOOST_TEST(documentToOffer(Last, Whole, 7, {8}, InForce).empty());
  BOOST_TEST(documentToOffer(Last, Whole, 9, {8}, InForce) ==
             withVersion(Whole, 9));
  BOOST_TEST(documentToOffer(Last, Whole, 9, {9}, sha256(withVersion(Whole, 9)))
                 .empty());
}

BOOST_AUTO_TEST_CASE(TheSameDocumentIsNotOfferedTwice) {
  // Two entries read changes that do not affect the document, at different
  // revisions. If each took the other's version for a newer document, they
  // would publish the same document for ever.
  const std::string Doc = buildDocument(Store().Items, {});
  LastPublished Last;
  documentToOffer(Last, Doc, 7, {}, {});
  const Digest InForce = sha256(withVersion(Doc, 8));
  BOOST_TEST(documentToOffer(Last, Doc, 9, {8}, InForce).empty());
  BOOST_TEST(documentToOffer(Last, Doc, 10, {8}, InForce).empty());
}
