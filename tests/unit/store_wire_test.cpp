/** @file store_wire_test.cpp The platform's HTTP formats. */
// Labels: platform quarantine

#include "platform/store_wire.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace jacinthpond;

namespace {

std::vector<std::string> partsOf(std::string_view Value) {
  std::vector<std::string> Ids;
  for (const PartId &One : StoreWire().parseSharedParts(Value))
    Ids.push_back(One.Value);
  return Ids;
}

using Ids = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_CASE(TheLastPartIsNotShared) {
  BOOST_TEST(partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
             (Ids{"5c1e07a2", "91bd3f06"}));
  BOOST_TEST(partsOf("5c1e07a2:800").empty());
  BOOST_TEST(partsOf("").empty());
}

// Guards against a part that passes as another one when it is spelled
// differently.
BOOST_AUTO_TEST_CASE(APartIsOneNumberHoweverItIsSpelled) {
  BOOST_TEST(partsOf("005C1E07A2:8 , 0:1,00:1,\t1:1") ==
             (Ids{"5c1e07a2", "0", "0"}));
}

// Guards against parts that are taken from a malformed list.
BOOST_AUTO_TEST_CASE(AMalformedListHasNoParts) {
  for (const char *Text :
       {"5c:8,", ",5c:8,a:1", "5c:8;91:4,a:1", "5c,91:4", "x1:8,a:1", ":8,a:1",
        "5c:,a:1", "5c:-8,a:1", "5c:8:9,a:1", "5c:8,,a:1"})
    BOOST_TEST(partsOf(Text).empty(), Text);
}
