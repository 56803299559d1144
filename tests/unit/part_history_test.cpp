/** @file part_history_test.cpp Parts of prompts with which answers were begun.
 */
// Labels: quarantine

#include "admission/part_history_func.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jacinthpond;

namespace {

struct Fixture {
  /** Lets answers begin, so many a second. */
  void begin(const Digest &Part, int PerSecond, std::chrono::seconds Time) {
    for (int n = 0; n < PerSecond * Time.count(); ++n) {
      Now += Millis(1000) / PerSecond;
      recordBegun(Seen, Part, Now - AnswerBegunAfter, Now);
    }
  }
  bool isUsual(const Digest &Part, Millis Silence, size_t Crashes = 1) const {
    return isSilenceUsual(Seen, Part, Now, Crashes, Now + Silence);
  }
  const Digest Hot{"hot"};
  const Digest Rare{"rare"};
  TimePoint Now{Millis{1000000}};
  PartHistory Seen;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Parts, Fixture)

// Guards against a part of many requests that is suspected of each crash, since
// it is under way at all of them.
BOOST_AUTO_TEST_CASE(ThePauseAfterACrashIsUsualForAHotPart) {
  begin(Hot, 20, std::chrono::seconds(12));
  BOOST_TEST(isUsual(Hot, Millis(300)));
  BOOST_TEST(isUsual(Hot, Millis(300), 9));
}

// Guards against a part that was sound, crashes back ends, and is excused by
// what was before.
BOOST_AUTO_TEST_CASE(ALongSilenceIsNotUsual) {
  begin(Hot, 20, std::chrono::seconds(12));
  BOOST_TEST(!isUsual(Hot, Millis(700)));
  const Digest Medium{"medium"};
  begin(Medium, 1, std::chrono::seconds(12));
  BOOST_TEST(isUsual(Medium, Millis(2000)));
  BOOST_TEST(!isUsual(Medium, Millis(2300)));
  BOOST_TEST(!isUsual(Medium, Millis(800), 3));
}

BOOST_AUTO_TEST_CASE(ARarePartHasNoUsualSilence) {
  BOOST_TEST(!isUsual(Rare, Millis(0)));
  recordBegun(Seen, Rare, Now, Now);
  recordBegun(Seen, Rare, Now, Now + Millis(100));
  BOOST_TEST(!isUsual(Rare, Millis(100)));
}

// Guards against an answer that began before a crash and clears the part of it.
BOOST_AUTO_TEST_CASE(OnlyALaterBeginCounts) {
  recordBegun(Seen, Rare, Now, Now + Millis(900));
  BOOST_TEST(hasBegunSince(Seen, Rare, Now - Millis(1)));
  BOOST_TEST(!hasBegunSince(Seen, Rare, Now));
  BOOST_TEST(!hasBegunSince(Seen, Hot, Now));
}

// Guards against a record that grows with every request.
BOOST_AUTO_TEST_CASE(TheRecordIsBoundedAndKeepsHotParts) {
  begin(Hot, 20, std::chrono::seconds(2));
  for (int n = 0; n < 50000; ++n)
    recordBegun(Seen, Digest{std::to_string(n)}, Now, Now);
  BOOST_TEST(Seen.Parts.size() <= 8192U);
  BOOST_TEST(isUsual(Hot, Millis(300)));
  dropIdleParts(Seen, std::map<Digest, int>{{Hot, 0}}, Now + PartLifetime);
  BOOST_TEST(Seen.Parts.size() == 1U);
  dropIdleParts(Seen, std::map<Digest, int>{}, Now + PartLifetime);
  BOOST_TEST(Seen.Parts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
