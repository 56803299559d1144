/** @file left_out_test.cpp Reports of configurations that can't be used. */

#include "one_entry.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** Counts the log lines that contain a text. */
size_t countLines(const Effects &In, const std::string &Text) {
  return static_cast<size_t>(std::ranges::count_if(In, [&](const Effect &One) {
    const auto *Note = std::get_if<LogNote>(&One);
    return Note != nullptr && Note->Text.find(Text) != std::string::npos;
  }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeftOut, OneEntry)

// Guards against an item that fills the log, since it is read again and again.
BOOST_AUTO_TEST_CASE(APartThatIsLeftOutIsLoggedOnce) {
  const LeftOutParts Parts{2, {{"servers/a\n", "at: found \"x\""}}};
  for (int n = 0; n < 3; ++n)
    recordLeftOutParts(State, Parts, Out);
  recordLeftOutParts(State, {1, {{"servers/a\n", "at: found \"y\""}}}, Out);
  BOOST_TEST(countLines(Out, "event=config_part_left_out") == 1U);
  BOOST_TEST(
      countLines(Out, "part=\"servers/a \" why=\"at: found 'x'\" all=2") == 1U);
  BOOST_TEST(State.LeftOut.Count == 1U);
  recordLeftOutParts(State, {}, Out);
  recordLeftOutParts(State, Parts, Out);
  BOOST_TEST(countLines(Out, "event=config_part_left_out") == 2U);
}

// Guards against a document that is refused for long and is noticed by nobody,
// or whose refusals fill the log.
BOOST_AUTO_TEST_CASE(ARefusedDocumentIsLoggedOnceAndTimed) {
  receiveConfig(R"({"version": 1})");
  BOOST_TEST(!State.View.RefusedSince.has_value());
  for (int n = 0; n < 3; ++n) {
    receiveConfig(R"({"version": 2, "routes": 5})");
    advanceClock(Millis{1000});
  }
  BOOST_TEST(countLines(Out, "Document rejected: routes") == 1U);
  BOOST_REQUIRE(State.View.RefusedSince.has_value());
  BOOST_TEST((Now - *State.View.RefusedSince == Millis{3000}));
  receiveConfig(R"({"version": 2, "routes": [5]})");
  BOOST_TEST(countLines(Out, "Document rejected") == 2U);
  receiveConfig(R"({"version": 3})");
  BOOST_TEST(!State.View.RefusedSince.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
