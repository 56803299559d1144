/** @file settings_test.cpp Validation of settings and documents; the generated
 * page. */
// Labels: product

#include "base/json_reader.h"
#include "configuration/document_func.h"
#include "settings/settings_func.h"
#include "table/settings_table.h"
#include "threads/process.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>

using namespace jacinthpond;

namespace {

/** Returns the errors of agent settings with the given members; empty: valid.
 */
std::string agentSettingsErrors(const std::string &Members) {
  const std::string Text = R"({"name": "a", "domain": "d")" + Members + "}";
  const auto Read = outcomeOf(
      [&] { return parseSettings(Text, "f.json", SettingOwner::Agent); });
  return Read.Value ? "" : Read.Why.Detail;
}

/** Returns the errors of a document with the given members; empty: valid. */
std::string documentErrors(const std::string &Members) {
  const std::string Text = R"({"version": 1)" + Members + "}";
  const auto Read = outcomeOf([&] { return parseDocument(Text); });
  return Read.Value ? "" : Read.Why.Detail;
}

/** Members of a text, and the error that they must cause. */
struct Case {
  std::string Members;
  std::string ExpectedError; ///< Part of the errors; empty: valid.
};

/** Checks that each case causes its expected error. */
void checkCases(const std::vector<Case> &Cases,
                std::string (*ErrorsFor)(const std::string &)) {
  for (const Case &One : Cases) {
    const std::string Errors = ErrorsFor(One.Members);
    BOOST_TEST(Errors.empty() == One.ExpectedError.empty(),
               One.Members + Errors);
    BOOST_TEST(Errors.find(One.ExpectedError) != std::string::npos, Errors);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(SettingsPageMatchesTheTable) {
  std::ifstream File(JACINTHPOND_SOURCE_FOLDER "/docs/SETTINGS.md");
  const std::string Page(std::istreambuf_iterator<char>(File), {});
  BOOST_TEST(Page == settingsPage());
}

BOOST_AUTO_TEST_CASE(DefaultsAreWithinTheirRanges) {
  for (const SettingSpec &Spec : SettingsTable) {
    if (!std::holds_alternative<int64_t Settings::*>(Spec.Field))
      continue;
    const int64_t Default = std::strtoll(Spec.Default, nullptr, 10);
    BOOST_TEST((Default >= Spec.Min && Default <= Spec.Max), Spec.Key);
  }
}

BOOST_AUTO_TEST_CASE(SettingsAreValidated) {
  const std::string Engine = R"(, "engine_url": "http://127.0.0.1:80")";
  checkCases(
      {{Engine, ""},
       {"", "engine_url: found both or none"},
       {R"(, "engine_url": "127.0.0.1:80")", "f.json: engine_url: found"},
       {R"(, "engine_url": "http://host:80")", "http://IP:port"},
       {R"(, "engine_url": "http://127.0.0.1:80/x")", "http://IP:port"},
       {Engine + R"(, "peer_listen": "127.0.0.1:0")", ""},
       {Engine + R"(, "peer_listen": "127.0.0.1")", "IP:port"},
       {Engine + R"(, "peer_listen": "127.0.0.1:65536")", "IP:port"},
       {Engine + R"(, "cold_limit": 9, "warm_limit": 8)",
        "cold_limit: found 9, allowed: at most warm_limit (8)"},
       {Engine + R"(, "cold_limit": 8, "warm_limit": 8)", ""},
       {Engine + R"(, "heartbeat_ms": 3000)",
        "heartbeat_ms: found 3000, allowed: below link_silence_ms (2500)"},
       {Engine + R"(, "heartbeat_ms": 3000)", "at most pause_gap_ms (2000)"},
       {Engine + R"(, "log_level": "loud")", "one of debug"},
       {Engine + R"(, "warm_limt": 8)", "did you mean \"warm_limit\""},
       {Engine + R"(, "origin_url": "a\nb")", "control characters"},
       {", oops", "line 1"}},
      agentSettingsErrors);
}

BOOST_AUTO_TEST_CASE(DocumentsAreValidated) {
  const std::string Worker =
      R"(, "workers": [{"name": "w", "domain": "d", "service": "s", "agent": )";
  checkCases(
      {{Worker + R"("10.0.0.1:9"}])", ""},
       {Worker + R"("10.0.0.1:0"}])", "workers[0].agent: found"},
       {Worker + R"("somewhere:9"}])", "IP:port with an IPv4 number"},
       {R"(, "tenants": [{"name": ")" + std::string(300, 'x') + R"("}])",
        "at most 256 bytes"},
       {R"(, "tenants": [{"name": "a\u001b[2J"}])", "control characters"},
       {R"(, "teams": [{"name": "t", "token_sha256": "secret"}])",
        "token_sha256: found something else"},
       {R"(, "teams": [{"name": "t", "token_sha256": ["secret"]}])",
        "token_sha256: found something else"},
       {R"(, "classes": [)" +
            [] {
              std::string All = "{}";
              for (int n = 0; n < 256; ++n)
                All += ",{}";
              return All;
            }() +
            "]",
        "classes: found 257 elements, allowed: at most 256"}},
      documentErrors);
  BOOST_TEST(documentErrors(
                 R"(, "teams": [{"name": "t", "token_sha256": ["secret"]}])")
                 .find("\"secret\"") == std::string::npos);
}

// Guards against keys in the errors of a document, which are logged.
BOOST_AUTO_TEST_CASE(ErrorsQuoteNoKeys) {
  for (const char *Members :
       {R"(, "tenants": [{"name": "t", "keys": ["secret\u0001"]}])",
        R"(, "tenants": [{"name": "t", "keys": "secret"}])",
        R"(, "tenants": ["secret"])", R"(, "tenants": "secret")",
        R"(, "tenants": [{"name": "t", "keys": ["secret)"}) {
    const std::string Errors = documentErrors(Members);
    BOOST_TEST(!Errors.empty());
    BOOST_TEST(Errors.find("secret") == std::string::npos, Errors);
  }
}

// An operator adds a setting to a long file that already contains it. JSON
// parsers silently keep one of the two, so the process could run with the value
// that the operator meant to replace.
BOOST_AUTO_TEST_CASE(DuplicateKeysAreReportedByName) {
  const std::string Engine = R"(, "engine_url": "http://127.0.0.1:80")";
  checkCases(
      {{Engine + R"(, "warm_limit": 8, "warm_limit": 9)",
        "f.json: warm_limit: found the key twice"},
       {Engine + R"(, "warm_limit": 8, "warm_limit": 8)",
        "f.json: warm_limit: found the key twice"},
       {Engine + R"(, "warm_limit": 8, "warm_limit": 9, "warm_limit": 7)",
        "f.json: warm_limit: found the key twice"},
       {Engine + R"(, "warm_limit": 8, "cold_limit": 2)", ""},
       {R"(, "name": "b")", "f.json: name: found the key twice"}},
      agentSettingsErrors);
  // Duplicates are reported together with all other errors.
  const std::string All = agentSettingsErrors(
      Engine + R"(, "name": "b", "domain": "e", "heartbeat_ms": 1)");
  BOOST_TEST(All.find("name: found the key twice") != std::string::npos, All);
  BOOST_TEST(All.find("domain: found the key twice") != std::string::npos, All);
  BOOST_TEST(All.find("heartbeat_ms: found 1") != std::string::npos, All);
  // The same key in sibling objects is allowed.
  BOOST_TEST(
      documentErrors(R"(, "tenants": [{"name": "a"}, {"name": "b"}])").empty());
}

// A folder given as the settings file opens like a file; only the first read
// fails.
BOOST_AUTO_TEST_CASE(AFolderIsRejectedAsSettingsFile) {
  const auto Read =
      outcomeOf([&] { return readFile(JACINTHPOND_SOURCE_FOLDER "/docs"); });
  BOOST_TEST(!Read.Value);
  BOOST_TEST((Read.Why.Kind == ErrorKind::NotFound));
  BOOST_TEST(Read.Why.Detail == JACINTHPOND_SOURCE_FOLDER
             "/docs: cannot be read: Is a directory");
  const auto Missing = outcomeOf([&] { return readFile("/nothing/here"); });
  BOOST_TEST(Missing.Why.Detail ==
             "/nothing/here: cannot be read: No such file or directory");
  const auto Page = outcomeOf(
      [&] { return readFile(JACINTHPOND_SOURCE_FOLDER "/docs/SETTINGS.md"); });
  BOOST_TEST(Page.Value.value_or("") == settingsPage());
}

BOOST_AUTO_TEST_CASE(ShutdownEndsBeforeTheHostKillsTheProcess) {
  Settings Config;
  Config.ShutdownMillis = 30000;
  const Millis ToEnd{600};
  BOOST_TEST(maxShutdownTime(Config, ToEnd).count() == 30000);
  Config.StopGraceSeconds = 5;
  BOOST_TEST(maxShutdownTime(Config, ToEnd).count() == 4400);
  Config.ShutdownMillis = 300;
  BOOST_TEST(maxShutdownTime(Config, ToEnd).count() == 300);
  Config.ShutdownMillis = 30000;
  Config.StopGraceSeconds = 1;
  BOOST_TEST(maxShutdownTime(Config, Millis(1600)).count() == 250);
}

// A published document, or one sent to /v1/check, consists of deeply nested
// brackets. It is valid JSON, but printing it in the error message recurses
// once for each bracket; all processes would overflow their stacks at the same
// time.
BOOST_AUTO_TEST_CASE(DeepNestingIsRejectedWithoutPrintingIt) {
  const size_t Depth = 400000;
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  BOOST_TEST(
      documentErrors(", \"tenants\": " + Nested).find("deeper nesting") !=
      std::string::npos);
  const auto Read = outcomeOf(
      [&] { return parseSettings(Nested, "f.json", SettingOwner::Entry); });
  BOOST_TEST(Read.Why.Detail.find("deeper nesting") != std::string::npos);
}
