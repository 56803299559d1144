/** @file config_spread_test.cpp Versions from service and peers; joining. */
// Labels: promise-9

#include "configuration/reader_rank_func.h"
#include "one_entry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond;

BOOST_FIXTURE_TEST_SUITE(ConfigSpread, OneEntry)

// A caller's request for a domain that was taken out is served by a new entry.
// The service is stale, the new entry reads version 3 from it while its peers
// have 4. Cause: it served before it had asked them.
BOOST_AUTO_TEST_CASE(ANewEntryServesNoOlderVersionThanItsPeers) {
  read(document(3));
  pass(Millis{100});
  BOOST_TEST(!fresh());
  const LinkId Peer = greet("b", 4, true);
  push(Peer, "", true);
  pass(Millis{2000});
  BOOST_TEST(!fresh());
  push(Peer, document(4), true);
  pass(Millis{100});
  BOOST_TEST(version() == 4U);
  BOOST_TEST(fresh());
}

BOOST_AUTO_TEST_CASE(WithoutPeersTheServiceIsEnoughAfterTheWait) {
  read(document(3));
  pass(Millis{1400});
  BOOST_TEST(!fresh());
  pass(Millis{200});
  BOOST_TEST(fresh());
}

BOOST_AUTO_TEST_CASE(NoVersionIsEverTakenBack) {
  read(document(5));
  joinAll(5);
  read(document(4));
  push(linkOf("b"), document(3), true);
  read(document(5, "other"));
  read("{\"version\": 9, \"nonsense\": 1}");
  read("\xff garbage");
  BOOST_TEST(version() == 5U);
  BOOST_TEST(State.View.Conflicts == 1U);
  BOOST_TEST(State.View.Refused == 2U);
  read(document(6));
  BOOST_TEST(version() == 6U);
}

// Every entry's link is filled with copies of a document of 1 MB whenever a
// version is published. Cause: it was pulled from each peer that told it.
BOOST_AUTO_TEST_CASE(ADocumentIsPulledFromOnePeerAtATime) {
  read(document(5));
  joinAll(5);
  Out.clear();
  Heartbeat Beat;
  Beat.Version.Value = 6;
  for (const char *Name : {"b", "c", "e"}) {
    ++Beat.Sequence;
    hear(Name, Beat);
  }
  BOOST_TEST(pullsSent() == 1U);
  pass(Millis{900});
  BOOST_TEST(pullsSent() == 1U);
  pass(Millis{200}); // The peer is silent: another one is asked.
  BOOST_TEST(pullsSent() == 2U);
}

BOOST_AUTO_TEST_CASE(ADocumentIsPulledFromTheOwnDomainFirst) {
  // Documents were most of the bytes between regions: each process pulled from
  // whoever told it first, and that was as often a peer of another region.
  read(document(5));
  joinAll(5);
  BOOST_REQUIRE(fresh());
  State.Fleet.Links.at(linkOf("b")).Peer.Domain.Value = "far";
  Out.clear();
  Heartbeat Beat = beat("b");
  Beat.Version.Value = 6;
  hear("b", Beat);
  BOOST_TEST(pullsSent() == 0U);
  pass(Millis{50});
  Heartbeat Near = beat("c");
  Near.Version.Value = 6;
  hear("c", Near);
  BOOST_TEST(pullsSent() == 1U);
  BOOST_TEST((State.Fleet.Pull.Link == linkOf("c")));
}

BOOST_AUTO_TEST_CASE(WithoutANearPeerADocumentComesFromFar) {
  read(document(5));
  joinAll(5);
  State.Fleet.Links.at(linkOf("b")).Peer.Domain.Value = "far";
  Out.clear();
  Heartbeat Beat = beat("b");
  Beat.Version.Value = 6;
  hear("b", Beat);
  pass(Millis{150});
  BOOST_TEST(pullsSent() == 1U);
  BOOST_TEST((State.Fleet.Pull.Link == linkOf("b")));
}

BOOST_AUTO_TEST_CASE(ASilentReaderIsReplacedByTheNextRank) {
  // The service was away. Those that read were still waiting after failures
  // when it was back; one that had read in their stead stopped as soon as it
  // was answered, and for seconds nobody read at all.
  read(document(5));
  joinAll(5);
  BOOST_TEST(isReader(State.View, State.Fleet));
  for (const char *Name : {"b", "c", "e"}) {
    Heartbeat Beat = beat(Name);
    Beat.Service = true;
    hear(Name, Beat);
  }
  const std::vector<HostName> Order =
      readerOrder(State.View.InForce->Entries, DomainName{"d"});
  const auto Self = std::ranges::find(Order, HostName{"a"});
  const size_t Rank = static_cast<size_t>(Self - Order.begin());
  BOOST_TEST(isReader(State.View, State.Fleet) == (Rank < ReadersPerDomain));
  pass(Millis{2600}); // All peers are silent, so their links are closed.
  BOOST_TEST(isReader(State.View, State.Fleet));
}

// Calls on the service rise to thousands a second when it has gone back to an
// older version: it answers every watch at once.
BOOST_AUTO_TEST_CASE(AUselessAnswerIsFollowedByALongerWait) {
  read(document(5));
  joinAll(5);
  Millis Before{-1};
  for (int n = 0; n < 4; ++n) {
    State.Fleet.Joining.Fresh = false; // Makes it a reader whatever its rank.
    const Millis Delay = nextRead(State.View, State.Fleet, 1).Delay;
    BOOST_TEST(Delay.count() > Before.count());
    Before = Delay;
    read(document(4));
  }
}

BOOST_AUTO_TEST_SUITE_END()
