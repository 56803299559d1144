/** @file nested_answer_test.cpp Answers of workers and origins that are nested
 * deeply.
 */
// Labels: platform

#include "raw_server.h"

#include "platform/chunk_manifest.h"
#include "platform/store_engine.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jacinthpond;

namespace {

/** A list in a list, many times. */
std::string nestedLists() {
  constexpr size_t Depth = 200000;
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/** The report of a worker with a member of some value. */
std::string reportWith(const std::string &Member, const std::string &Value) {
  const std::string Body =
      R"({"born": 1, "sequence": 1, ")" + Member + "\": " + Value + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace

// Guards against a report whose copy overflows the stack of its agent.
BOOST_AUTO_TEST_CASE(ANestedReportEndsNoAgent) {
  for (const char *Member : {"models", "layers", "busy", "running", "other"}) {
    const RawServer Worker(
        {RawServer::sending(reportWith(Member, nestedLists()))});
    StoreEngine Engine(Worker.url());
    const auto Read = outcomeOf([&] { return Engine.state(); });
    if (!Read.Value)
      BOOST_CHECK(Read.Why.Kind == ErrorKind::Malformed);
  }
}

// Guards against a list of chunks whose copy does the same.
BOOST_AUTO_TEST_CASE(ANestedManifestEndsNoAgent) {
  for (const char *Member : {"digests", "chunk_bytes"}) {
    const std::string Text =
        std::string("{\"") + Member + "\": " + nestedLists() + "}";
    const auto Read = outcomeOf([&] { return parseChunkManifest(Text); });
    BOOST_TEST(!Read.Value.has_value());
    BOOST_CHECK(Read.Why.Kind == ErrorKind::Malformed);
  }
}
