/** @file chunk_manifest_test.cpp The list of chunks that an origin sends. */
// Labels: platform weights

#include "platform/chunk_manifest.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

const std::string Lower(32, 'a');
const std::string Digits(32, '9');

Outcome<ChunkList> parse(const std::string &Digests, const char *Size = "100") {
  return outcomeOf([&] {
    return parseChunkManifest(R"({"chunk_bytes": )" + std::string(Size) +
                              R"(, "digests": )" + Digests + "}");
  });
}

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

} // namespace

// Guards against versions that are never loaded: a digest in upper case is the
// same value, and no received chunk fitted it.
BOOST_AUTO_TEST_CASE(DigestsMayBeInEitherCase) {
  const std::string Upper(32, 'A');
  const auto Read =
      parse("[" + quoted(Upper + Digits) + "," + quoted(Lower + Digits) + "]");
  BOOST_REQUIRE(Read.Value.has_value());
  BOOST_TEST(Read.Value->Chunks.size() == 2U);
  BOOST_TEST(Read.Value->Chunks[0].Value == Lower + Digits);
  BOOST_CHECK(Read.Value->Chunks[0] == Read.Value->Chunks[1]);
  BOOST_TEST(Read.Value->ChunkBytes == 100U);
}

// Guards against lists whose chunks are fetched for ever, as none can fit.
BOOST_AUTO_TEST_CASE(AManifestThatIsNoListOfDigestsIsMalformed) {
  const std::string Good = quoted(Lower + Digits);
  for (const std::string &Digests :
       {std::string("[]"), std::string("null"), std::string("[7]"),
        "[" + Good + ",\"9f2c\"]", "[" + quoted(Lower + Digits + "0") + "]",
        "[" + quoted(Digits + std::string(32, 'g')) + "]"}) {
    const auto Read = parse(Digests);
    BOOST_TEST(!Read.Value.has_value());
    BOOST_CHECK(Read.Why.Kind == ErrorKind::Malformed);
  }
  BOOST_TEST(parse("[" + Good + "]").Value.has_value());
  BOOST_TEST(!parse("[" + Good + "]", "0").Value.has_value());
  BOOST_TEST(!parse("[" + Good + "]", "\"100\"").Value.has_value());
  for (const char *Text : {"", "[]", "{\"digests\": [", "{}"})
    BOOST_TEST(
        !outcomeOf([&] { return parseChunkManifest(Text); }).Value.has_value());
}
