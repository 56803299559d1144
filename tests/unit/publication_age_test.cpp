/** @file publication_age_test.cpp Tests how long ago a document may have been
 * published.
 */
// Labels: promise-7 weights

#include "one_entry.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace jacinthpond;

namespace {

/** An entry that has joined, and whose peers the service answers. */
struct Joined : OneEntry {
  Joined() {
    receiveConfig(document(5));
    connectAllPeers(5);
    advanceWithHeartbeats(Millis{1000});
    BOOST_REQUIRE(fresh());
  }

  /**
   * Advances time while all peers send heartbeats.
   * @param Service Whether they report that the service answers them.
   */
  void advanceWithHeartbeats(Millis Time, bool Service = true) {
    for (Millis n{0}; n < Time; n += Millis{500}) {
      for (const char *Name : {"b", "c", "e"}) {
        Heartbeat Beat = nextHeartbeat(Name);
        Beat.ReachesConfigService = Service;
        receiveMessage(Name, Beat);
      }
      advanceClock(Millis{500});
    }
  }

  /** Gives the greatest possible age of the document in force. */
  Millis maxAge() const {
    BOOST_REQUIRE(State.View.PublishedAfter);
    return toMillis(Now - *State.View.PublishedAfter);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PublicationAge, Joined)

BOOST_AUTO_TEST_CASE(ADocumentIsRecentWhileInContact) {
  advanceWithHeartbeats(Millis{3000});
  receiveConfig(document(6));
  BOOST_TEST(maxAge().count() <= 500); // One heartbeat period.
}

BOOST_AUTO_TEST_CASE(APauseCountsAsAge) {
  // New weights are published while an entry is paused for five seconds. If it
  // took them for just published when it resumes, it would let requests begin
  // on the old weights for five seconds longer than the others.
  Now += Millis{5000};
  advanceClock(Millis{50});
  receiveConfig(document(6));
  BOOST_TEST(maxAge().count() >= 5000);
  BOOST_TEST(maxAge().count() <= 5600);
}

BOOST_AUTO_TEST_CASE(APauseCountsForEachDocumentReadAfterIt) {
  Now += Millis{5000};
  advanceClock(Millis{50});
  receiveConfig(document(6)); // The service does not have the newest one yet.
  advanceClock(Millis{200});
  receiveConfig(document(7));
  BOOST_TEST(maxAge().count() >= 5200);
}

BOOST_AUTO_TEST_CASE(ADocumentIsRecentAfterRejoining) {
  Now += Millis{5000};
  connectAllPeers(5);
  advanceWithHeartbeats(Millis{2000});
  BOOST_REQUIRE(fresh());
  receiveConfig(document(6));
  BOOST_TEST(maxAge().count() <= 500);
}

BOOST_AUTO_TEST_CASE(MessagesFromBeforeAStallDoNotCount) {
  // An entry stalls for less than a pause. The heartbeats that it reads first
  // may have been sent before new weights were published. Counted as proof that
  // nothing was missed, they would make the weights look just published.
  Now += Millis{1800};
  advanceClock(Millis{50});
  advanceWithHeartbeats(Millis{500});
  receiveConfig(document(6));
  BOOST_TEST(maxAge().count() >= 1800);
}

BOOST_AUTO_TEST_CASE(AgeCountsFromBeforeAPeerWasAhead) {
  Heartbeat Ahead = nextHeartbeat("b");
  Ahead.ReachesConfigService = true;
  Ahead.Version.Value = 6;
  receiveMessage("b", Ahead);
  advanceClock(Millis{800}); // Its document is slow to arrive.
  Heartbeat Behind = nextHeartbeat("c");
  Behind.ReachesConfigService = true;
  receiveMessage("c", Behind);
  advanceClock(Millis{100});
  receiveDocument(linkOf("b"), document(6), true);
  BOOST_TEST(maxAge().count() >= 900);
}

BOOST_AUTO_TEST_CASE(ServiceDowntimeDoesNotCountAsAge) {
  // The service is down for ten seconds. Counted towards the age of the
  // document published after it, they would end the time of the old weights at
  // once.
  advanceWithHeartbeats(Millis{10000}, false);
  receiveConfig(document(6));
  BOOST_TEST(maxAge().count() <= 600);
}

BOOST_AUTO_TEST_CASE(PublicationTimeIsUnknownAfterAStart) {
  OneEntry New;
  New.receiveConfig(document(5));
  BOOST_TEST(!New.State.View.PublishedAfter.has_value());
  New.receiveConfig(
      document(6)); // The first one may be from a peer that was behind.
  BOOST_TEST(!New.State.View.PublishedAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
