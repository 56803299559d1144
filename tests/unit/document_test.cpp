/** @file document_test.cpp Tests the validation of documents and settings. */

#include "configuration/document_func.h"
#include "settings/settings_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(AllFaultsAreReportedAtOnce) {
  const auto Read = outcomeOf([] {
    return parseDocument(R"({"version": 0, "clases": [],
      "tenants": [{"name": "a"}, {"name": "a"}], // a comment
      "workers": [{"name": "w", "domain": "d"}]})");
  });
  BOOST_REQUIRE(!Read.Value);
  BOOST_TEST(static_cast<int>(Read.Why.Kind) ==
             static_cast<int>(ErrorKind::InvalidDocument));
  const std::string &Text = Read.Why.Detail;
  BOOST_TEST(Text.find("version: found 0") != std::string::npos);
  BOOST_TEST(Text.find("did you mean \"classes\"") != std::string::npos);
  BOOST_TEST(Text.find("workers[0].agent: found nothing") != std::string::npos);
  BOOST_TEST(Text.find("\"a\" twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AnEmptyDocumentIsValid) {
  const auto Read = outcomeOf([] { return parseDocument("{\"version\": 3}"); });
  BOOST_REQUIRE(Read.Value);
  BOOST_TEST((*Read.Value)->Version.Value == 3U);
}

BOOST_AUTO_TEST_CASE(WrongSettingsNameFilePathAndRange) {
  const auto Read = outcomeOf([] {
    return parseSettings(R"({"name": "a", "domain": "d", "config_url": "u",
                             "heartbeat_ms": 1, "warm_limit": 3})",
                         "entry.json", SettingOwner::Entry);
  });
  BOOST_REQUIRE(!Read.Value);
  const std::string &Text = Read.Why.Detail;
  BOOST_TEST(Text.find("entry.json: heartbeat_ms: found 1, allowed: a whole "
                       "number from 10") != std::string::npos);
  BOOST_TEST(Text.find("warm_limit: found an unknown key") !=
             std::string::npos);
}
