/** @file publication_age_test.cpp Since when a document may have been
 * published.
 */
// Labels: promise-7 weights

#include "one_entry.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace jacinthpond;

namespace {

/** An entry that has joined, and whose peers are answered by the service. */
struct Joined : OneEntry {
  Joined() {
    read(document(5));
    joinAll(5);
    passWith(Millis{1000});
    BOOST_REQUIRE(fresh());
  }

  /** Ticks while all entries send heartbeats. */
  void passWith(Millis Time, bool Service = true) {
    for (Millis n{0}; n < Time; n += Millis{500}) {
      for (const char *Name : {"b", "c", "e"}) {
        Heartbeat Beat = beat(Name);
        Beat.Service = Service;
        hear(Name, Beat);
      }
      pass(Millis{500});
    }
  }

  /** How long ago the document in force was published at the most. */
  Millis atMost() const {
    BOOST_REQUIRE(State.View.PublishedAfter);
    return toMillis(Now - *State.View.PublishedAfter);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PublicationAge, Joined)

BOOST_AUTO_TEST_CASE(NewsIsNewWhileInTouch) {
  passWith(Millis{3000});
  read(document(6));
  BOOST_TEST(atMost().count() <= 500); // A heartbeat of the peers.
}

BOOST_AUTO_TEST_CASE(APauseCountsAsAge) {
  // New weights were published while an entry stood still for five seconds. It
  // read of them on waking, took them for news, and let requests begin on the
  // old ones five seconds longer than the others.
  Now += Millis{5000};
  pass(Millis{50});
  read(document(6));
  BOOST_TEST(atMost().count() >= 5000);
  BOOST_TEST(atMost().count() <= 5600);
}

BOOST_AUTO_TEST_CASE(SeveralDocumentsAfterAPauseAreAllThatOld) {
  Now += Millis{5000};
  pass(Millis{50});
  read(document(6)); // As the service still had it.
  pass(Millis{200});
  read(document(7));
  BOOST_TEST(atMost().count() >= 5200);
}

BOOST_AUTO_TEST_CASE(AfterJoiningAnewNewsIsNew) {
  Now += Millis{5000};
  joinAll(5);
  passWith(Millis{2000});
  BOOST_REQUIRE(fresh());
  read(document(6));
  BOOST_TEST(atMost().count() <= 500);
}

BOOST_AUTO_TEST_CASE(WordsFromBeforeAStallDoNotCount) {
  // An entry stood still for less than a pause. The heartbeats that it read
  // first had been sent before new weights were published; taken as a sign
  // that nothing was missed, they made the weights look new.
  Now += Millis{1800};
  pass(Millis{50});
  passWith(Millis{500});
  read(document(6));
  BOOST_TEST(atMost().count() >= 1800);
}

BOOST_AUTO_TEST_CASE(APeerThatIsAheadShowsThatSomethingWasMissed) {
  Heartbeat Ahead = beat("b");
  Ahead.Service = true;
  Ahead.Version.Value = 6;
  hear("b", Ahead);
  pass(Millis{800}); // Its document is slow to come.
  Heartbeat Behind = beat("c");
  Behind.Service = true;
  hear("c", Behind);
  pass(Millis{100});
  push(linkOf("b"), document(6), true);
  BOOST_TEST(atMost().count() >= 900);
}

BOOST_AUTO_TEST_CASE(AServiceThatAnswersNobodyPublishesNothing) {
  // The store was away for ten seconds. Counted as age of what was published
  // after it, they would have ended the time of the old weights at once.
  passWith(Millis{10000}, false);
  read(document(6));
  BOOST_TEST(atMost().count() <= 600);
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsDoesNotKnow) {
  OneEntry New;
  New.read(document(5));
  BOOST_TEST(!New.State.View.PublishedAfter.has_value());
  New.read(document(6)); // The first one came from a peer that was behind.
  BOOST_TEST(!New.State.View.PublishedAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
