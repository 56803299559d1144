/** @file store_document_test.cpp The platform's items as a document. */
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

Json item(const std::string &Key, const std::string &Value, uint64_t Revision) {
  return {{"key", Key},
          {"value", base64(Value)},
          {"revision", Revision},
          {"created", Revision},
          {"lease", 0}};
}

Json config() {
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

std::string server(const std::string &At, const std::string &State = "ready") {
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

/** A store with a configuration and what else is put into it. */
struct Store {
  Store() { put("op/config", config().dump()); }
  void put(const std::string &Key, const std::string &Value) {
    Items.Items[Key] = {Value, ++Items.Revision};
  }
  DocumentPtr document() const {
    const PlatformFacts Facts{{"z1=r", "z2=r"}, 7700};
    const auto Doc = outcomeOf([&] {
      return parseDocument(withVersion(documentOf(Items, Facts), 5));
    });
    BOOST_REQUIRE_MESSAGE(Doc.Value.has_value(), Doc.Why.Detail);
    return *Doc.Value;
  }
  StoreItems Items;
};

} // namespace

BOOST_AUTO_TEST_CASE(TheConfigurationBecomesAValidDocument) {
  Store One;
  One.put("servers/i-1", server("10.0.0.1:80"));
  One.put("op/version/m", R"({"model": "m", "version": 3})");
  const DocumentPtr Doc = One.document();
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
  BOOST_TEST(Doc->Tenants[0].Keys[0] == "k");
  BOOST_TEST(Doc->Models[0].Set.Value == "m@3");
  BOOST_TEST(Doc->Models[0].Origin.Value == "10.0.0.9:80");
  BOOST_REQUIRE(Doc->Servers.size() == 1U);
  BOOST_TEST(Doc->Servers[0].Weights.Value == "m@1");
  BOOST_TEST(Doc->Workers[0].Agent.Value == "10.0.0.1:7700");
}

BOOST_AUTO_TEST_CASE(EntriesOfOtherWritersNameNoServer) {
  // Something else wrote below servers/: fields missing, of other types, or
  // bytes that are no JSON. All workers were dropped together with it.
  Store One;
  One.put("servers/i-1", server("10.0.0.1:80"));
  One.put("servers/i-2", "\x01\x02");
  One.put("servers/i-3", R"({"service": 5, "address": []})");
  One.put("servers/i-4", R"(["x"])");
  One.put("servers/i-5", server("10.0.0.5:80", "resting"));
  One.put("servers/i-6", R"({"service": "llm", "address": "10.0.0.6:80",
    "zone": "z1", "state": "ready", "models": [{"name": 5, "version": 1}]})");
  One.put("servers/i-7", R"({"service": "unknown", "address": "10.0.0.7:80",
    "zone": "z1", "state": "ready"})");
  BOOST_TEST(One.document()->Servers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TheNewestServerHoldsAnAddress) {
  // A worker was started again under a new id before the entry of its former
  // run had lapsed; half of the requests expected the run that was gone.
  Store One;
  Json Old = Json::parse(server("10.0.0.1:80"));
  Old["born"] = 1000;
  Json New = Old;
  New["born"] = 2000;
  One.put("servers/i-a", New.dump());
  One.put("servers/i-b", Old.dump());
  const DocumentPtr Doc = One.document();
  BOOST_REQUIRE(Doc->Servers.size() == 1U);
  BOOST_TEST(Doc->Servers[0].Id.Value == "i-a");
}

BOOST_AUTO_TEST_CASE(ZonesAreTakenOutAndBack) {
  Store One;
  One.put("op/evacuate/z2", "{}");
  One.put("op/evacuate/elsewhere", "{}");
  BOOST_TEST(One.document()->DomainsOut.size() == 1U);
  One.Items.Items.erase("op/evacuate/z2");
  BOOST_TEST(One.document()->DomainsOut.empty());
}

BOOST_AUTO_TEST_CASE(NothingIsPublishedBeforeAConfiguration) {
  BOOST_TEST(documentOf(StoreItems{}, {}).empty());
}

BOOST_AUTO_TEST_CASE(PagesAndChangesMakeACopy) {
  StoreItems Copy;
  const Json First = {{"items", {item("a", "1", 4), item("b", "2", 5)}},
                      {"truncated", true},
                      {"store_revision", 10}};
  const auto Page = outcomeOf([&] { return takePage(Copy, First.dump()); });
  BOOST_REQUIRE(Page.Value.has_value());
  BOOST_TEST(Page.Value->More);
  BOOST_TEST(Page.Value->LastKey == "b");
  // A change between the pages: the second page is newer than the first.
  const Json Second = {{"items", {item("c", "3", 12)}},
                       {"truncated", false},
                       {"store_revision", 12}};
  BOOST_REQUIRE(outcomeOf([&] { return takePage(Copy, Second.dump()); }).Value);
  BOOST_TEST(Copy.Revision == 10U);
  const Json Changes = {
      {"events",
       {item("c", "old", 11),
        Json{{"key", "a"}, {"revision", 13}, {"removed", true}}}},
      {"store_revision", 13}};
  const auto Changed =
      outcomeOf([&] { return takeChanges(Copy, Changes.dump()); });
  BOOST_REQUIRE(Changed.Value.has_value());
  BOOST_TEST(*Changed.Value);
  BOOST_TEST(Copy.Items.size() == 2U);
  BOOST_TEST(Copy.Items.at("c").Value == "3");
  BOOST_TEST(Copy.Revision == 13U);
}

BOOST_AUTO_TEST_CASE(AnswersThatAreCutChangeNothing) {
  StoreItems Copy;
  BOOST_TEST(!outcomeOf([&] { return takePage(Copy, "{\"ite"); }).Value);
  BOOST_TEST(!outcomeOf([&] { return takeChanges(Copy, "{}"); }).Value);
  BOOST_TEST(Copy.Items.empty());
}

BOOST_AUTO_TEST_CASE(AStateThatHoldsAgainIsOfferedAgain) {
  // The store came back without the entries of servers that had lapsed, and had
  // them again a second later. One reader told the fleet of the list without
  // servers; the other one had passed that over, took the whole list for the
  // old one that it had brought before, and offered nothing: no server was used
  // until something else changed.
  Store One;
  One.put("servers/a", server("10.0.0.1:80"));
  const std::string Whole = documentOf(One.Items, {});
  LastPublished Last;
  BOOST_TEST(documentToOffer(Last, Whole, 7, {}, {}) == withVersion(Whole, 7));
  const std::string Empty = documentOf(Store().Items, {});
  const Digest InForce = sha256(withVersion(Empty, 8));
  BOOST_TEST(documentToOffer(Last, Whole, 7, {8}, InForce).empty());
  BOOST_TEST(documentToOffer(Last, Whole, 9, {8}, InForce) ==
             withVersion(Whole, 9));
  BOOST_TEST(documentToOffer(Last, Whole, 9, {9}, sha256(withVersion(Whole, 9)))
                 .empty());
}

BOOST_AUTO_TEST_CASE(TheSameDocumentIsNotOfferedTwice) {
  // Changes that make no other document are read at different revisions; two
  // readers that each took the other's version for news would spread the same
  // document for ever.
  const std::string Doc = documentOf(Store().Items, {});
  LastPublished Last;
  documentToOffer(Last, Doc, 7, {}, {});
  const Digest InForce = sha256(withVersion(Doc, 8));
  BOOST_TEST(documentToOffer(Last, Doc, 9, {8}, InForce).empty());
  BOOST_TEST(documentToOffer(Last, Doc, 10, {8}, InForce).empty());
}
