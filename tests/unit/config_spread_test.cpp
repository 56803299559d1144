/** @file config_spread_test.cpp Tests how documents spread, and joining. */
// Labels: promise-9

#include "configuration/reader_rank_func.h"
#include "one_entry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond;

BOOST_FIXTURE_TEST_SUITE(ConfigSpread, OneEntry)

// A new entry that reads version 3 from a stale service while its peers have
// version 4 must not serve before it has asked them: it would send requests to
// a domain that was taken out.
BOOST_AUTO_TEST_CASE(ANewEntryServesNoOlderVersionThanItsPeers) {
  receiveConfig(document(3));
  advanceClock(Millis{100});
  BOOST_TEST(!fresh());
  const LinkId Peer = connectPeer("b", 4, true);
  receiveDocument(Peer, "", true);
  advanceClock(Millis{2000});
  BOOST_TEST(!fresh());
  receiveDocument(Peer, document(4), true);
  advanceClock(Millis{100});
  BOOST_TEST(version() == 4U);
  BOOST_TEST(fresh());
}

BOOST_AUTO_TEST_CASE(WithoutPeersTheServiceIsEnoughAfterTheWait) {
  receiveConfig(document(3));
  advanceClock(Millis{1400});
  BOOST_TEST(!fresh());
  advanceClock(Millis{200});
  BOOST_TEST(fresh());
}

BOOST_AUTO_TEST_CASE(TheVersionInForceNeverGoesBack) {
  receiveConfig(document(5));
  connectAllPeers(5);
  receiveConfig(document(4));
  receiveDocument(linkOf("b"), document(3), true);
  receiveConfig(document(5, "other"));
  receiveConfig("{\"version\": 9, \"nonsense\": 1}");
  receiveConfig("\xff garbage");
  BOOST_TEST(version() == 5U);
  BOOST_TEST(State.View.Conflicts == 1U);
  BOOST_TEST(State.View.Refused == 2U);
  receiveConfig(document(6));
  BOOST_TEST(version() == 6U);
}

// A document of up to 1 MB must not be pulled from each peer that reports it:
// the copies would fill every entry's links whenever a version is published.
BOOST_AUTO_TEST_CASE(ADocumentIsPulledFromOnePeerAtATime) {
  receiveConfig(document(5));
  connectAllPeers(5);
  Out.clear();
  Heartbeat Beat;
  Beat.Version.Value = 6;
  for (const char *Name : {"b", "c", "e"}) {
    ++Beat.Sequence;
    receiveMessage(Name, Beat);
  }
  BOOST_TEST(pullsSent() == 1U);
  advanceClock(Millis{900});
  BOOST_TEST(pullsSent() == 1U);
  advanceClock(Millis{200}); // The peer is silent: pulls from another one.
  BOOST_TEST(pullsSent() == 2U);
}

BOOST_AUTO_TEST_CASE(ADocumentIsPulledFromTheOwnDomainFirst) {
  // When each process pulls from the first peer that reports a version, often
  // one of another region, documents are most of the traffic between regions.
  receiveConfig(document(5));
  connectAllPeers(5);
  BOOST_REQUIRE(fresh());
  State.Fleet.Links.at(linkOf("b")).Peer.Domain.Value = "far";
  Out.clear();
  Heartbeat Beat = nextHeartbeat("b");
  Beat.Version.Value = 6;
  receiveMessage("b", Beat);
  BOOST_TEST(pullsSent() == 0U);
  advanceClock(Millis{50});
  Heartbeat Near = nextHeartbeat("c");
  Near.Version.Value = 6;
  receiveMessage("c", Near);
  BOOST_TEST(pullsSent() == 1U);
  BOOST_TEST((State.Fleet.Pull.Link == linkOf("c")));
}

BOOST_AUTO_TEST_CASE(ADocumentIsPulledFromAnotherDomainAfterAWait) {
  receiveConfig(document(5));
  connectAllPeers(5);
  State.Fleet.Links.at(linkOf("b")).Peer.Domain.Value = "far";
  Out.clear();
  Heartbeat Beat = nextHeartbeat("b");
  Beat.Version.Value = 6;
  receiveMessage("b", Beat);
  advanceClock(Millis{150});
  BOOST_TEST(pullsSent() == 1U);
  BOOST_TEST((State.Fleet.Pull.Link == linkOf("b")));
}

// On a hundred hosts, heartbeats of all entries to all processes at each change
// were most of the traffic between regions.
BOOST_AUTO_TEST_CASE(OnlyReadersTellOtherDomainsOfADocumentAtOnce) {
  receiveConfig(document(5));
  connectAllPeers(5);
  State.Fleet.Links.at(linkOf("b")).Peer.Domain.Value = "far";
  Out.clear();
  receiveConfig(document(6));
  BOOST_TEST(heartbeatsSentTo("b") == 1U);
  BOOST_TEST(heartbeatsSentTo("c") == 1U);
  Out.clear();
  receiveDocument(linkOf("c"), document(7), true);
  BOOST_TEST(version() == 7U);
  BOOST_TEST(heartbeatsSentTo("b") == 0U);
  BOOST_TEST(heartbeatsSentTo("e") == 1U);
}

BOOST_AUTO_TEST_CASE(ASilentReaderIsReplacedByTheNextRank) {
  // After an outage of the service its readers may still be backing off. An
  // entry that reads in their place must go on until they are answered; if it
  // stopped at its own first answer, nobody would read for seconds.
  receiveConfig(document(5));
  connectAllPeers(5);
  BOOST_TEST(isReader(State.View, State.Fleet));
  for (const char *Name : {"b", "c", "e"}) {
    Heartbeat Beat = nextHeartbeat(Name);
    Beat.ReachesConfigService = true;
    receiveMessage(Name, Beat);
  }
  const std::vector<HostName> Order =
      readerOrder(State.View.InForce->Entries, DomainName{"d"});
  const auto Self = std::ranges::find(Order, HostName{"a"});
  const size_t Rank = static_cast<size_t>(Self - Order.begin());
  BOOST_TEST(isReader(State.View, State.Fleet) == (Rank < ReadersPerDomain));
  advanceClock(Millis{2600}); // All peers are silent: their links are closed.
  BOOST_TEST(isReader(State.View, State.Fleet));
}

// A service that has gone back to an older version answers every read at once.
// Without back-off it would get thousands of reads per second.
BOOST_AUTO_TEST_CASE(ReadsBackOffAfterUnusableAnswers) {
  receiveConfig(document(5));
  connectAllPeers(5);
  Millis Before{-1};
  for (int n = 0; n < 4; ++n) {
    State.Fleet.Joining.Fresh = false; // Makes it a reader of any rank.
    const Millis Delay = nextRead(State.View, State.Fleet, 1).Delay;
    BOOST_TEST(Delay.count() > Before.count());
    Before = Delay;
    receiveConfig(document(4));
  }
}

BOOST_AUTO_TEST_SUITE_END()
