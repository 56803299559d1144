/** @file response_head_test.cpp Tests for the checks of response heads. */
// Labels: product routes

#include "http/response_head.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

// Guards against folded lines that are overlooked where a head comes in pieces,
// or seen in a body.
BOOST_AUTO_TEST_CASE(FoldedLinesAreFoundInHeadsOnly) {
  BOOST_TEST(hasFoldedLine("A: b\r\n c\r\n\r\n"));
  BOOST_TEST(hasFoldedLine("A: b\r\n\tc\r\n"));
  BOOST_TEST(hasFoldedLine("A: b\r\nC: d\r\n \r\n\r\n"));
  BOOST_TEST(hasFoldedLine(" c\r\n"));
  BOOST_TEST(!hasFoldedLine(""));
  BOOST_TEST(!hasFoldedLine("A: b\r\nC:  d \r\n\r\n e\r\n"));
  BOOST_TEST(!hasFoldedLine("\r\n e\r\n"));
  BOOST_TEST(!hasFoldedLine("A: b"));
}
