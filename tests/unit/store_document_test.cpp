/** @file store_document_test.cpp Documents built from the platform's store. */
// Labels: platform

#include "../standin/base64.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "platform/store_document.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>

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
    Items.Items[Key] = {Value, ++Items.Revision};
  }
  /** Builds the document and parses it; the test fails when it is invalid. */
  DocumentPtr document() const {
    const PlatformFacts Facts{{"z1=r", "z2=r"}, 7700};
    const auto Doc = outcomeOf([&] {
      return parseDocument(withVersion(buildDocument(Items, Facts), 5));
    });
    BOOST_REQUIRE_MESSAGE(Doc.Value.has_value(), Doc.Why.Detail);
    return *Doc.Value;
  }
  StoreItems Items;
};

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
