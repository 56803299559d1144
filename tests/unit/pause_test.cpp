/** @file pause_test.cpp Tests pauses, loss of contact and departures. */
// Labels: promise-3 promise-7

#include "one_entry.h"

#include "membership/departure_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** An entry that has joined, and whose worker serves. */
struct Joined : OneEntry {
  Joined() {
    receiveConfig(document(5));
    connectAllPeers(5);
    receiveMessage("w", nextHeartbeat("w"));
    BOOST_REQUIRE(!sendCall());
  }

  /** Advances time while the named peers send heartbeats. */
  void advanceWithHeartbeats(Millis Time,
                             const std::vector<std::string> &Peers) {
    for (Millis n{0}; n < Time; n += Millis{500}) {
      for (const std::string &Name : Peers)
        receiveMessage(Name, nextHeartbeat(Name));
      advanceClock(Millis{500});
    }
  }
};

/** Counts the links that were closed. */
size_t countClosedLinks(const Effects &Out) {
  return static_cast<size_t>(std::ranges::count_if(Out, [](const Effect &e) {
    return std::holds_alternative<CloseLink>(e);
  }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Pause, Joined)

// An entry that was paused for 20 s must not act on its outdated view: it would
// send requests to a domain that was taken out meanwhile. The first event after
// the pause may be a request that waited in a socket, before any tick.
BOOST_AUTO_TEST_CASE(ARequestRightAfterAPauseIsRefused) {
  const Incarnation Before = State.Fleet.Self.Run;
  const LinkId Old = linkOf("w");
  Now += std::chrono::seconds{20};
  BOOST_TEST((sendCall() == ErrorKind::StaleView));
  BOOST_TEST(countClosedLinks(Out) == 4U);
  BOOST_TEST((State.Fleet.Self.Run != Before));
  handleEntryMessage(State, Old, nextHeartbeat("w"), Now,
                     Out); // Sent before the pause.
  BOOST_TEST(State.Fleet.Links.empty());
  handleEntryConfigRead(State, {std::string(), {}},
                        Now - std::chrono::seconds{20}, Now,
                        Out); // Read that began before the pause.
  BOOST_TEST(!State.Fleet.Joining.ServiceAnswered);
  // Counted as contact, that answer would let this entry report to all others
  // that the service answers, which may have gone down meanwhile. Servers whose
  // registration expired in the outage would then count as gone.
  BOOST_TEST(!State.Fleet.Joining.LastServiceAnswerAt);
  connectAllPeers(5);
  receiveMessage("w", nextHeartbeat("w"));
  BOOST_TEST(!sendCall());
}

BOOST_AUTO_TEST_CASE(AShortGapIsNoPause) {
  Now += Millis{1900};
  BOOST_TEST(!sendCall());
}

BOOST_AUTO_TEST_CASE(ACutOffEntryRefusesWorkUntilItHasContact) {
  advanceWithHeartbeats(Millis{2000}, {"b", "c", "e", "w"});
  BOOST_TEST(fresh());
  advanceWithHeartbeats(Millis{7000},
                        {"w"}); // One of four wanted peers is left.
  BOOST_TEST((sendCall() == ErrorKind::StaleView));
  receiveConfig("");
  advanceClock(Millis{2000}); // The service answers again.
  BOOST_TEST(fresh());
}

// While the configuration service is down for an hour, a healthy fleet has to
// go on working: nothing can have been published.
BOOST_AUTO_TEST_CASE(ContactWithMostPeersSufficesWithoutTheService) {
  advanceWithHeartbeats(Millis{60000}, {"b", "c", "w"});
  BOOST_TEST(!sendCall());
}

// Two entries that are cut off together must not count as each other's contact:
// both would go on with an outdated view for ever.
BOOST_AUTO_TEST_CASE(ACutOffEntryDoesNotCountAsContact) {
  advanceWithHeartbeats(Millis{8000}, {"b"});
  BOOST_TEST(!fresh());
  receiveDocument(linkOf("b"), "", true);
  advanceWithHeartbeats(Millis{3000}, {"b"});
  BOOST_TEST(!fresh());
}

// An agent that gets SIGTERM while its peers are restarted one after the other
// must not run into the time limit of its shutdown. Only links that were asked
// to acknowledge its leaving can answer; peers that reconnect must not count.
BOOST_AUTO_TEST_CASE(APeerThatReconnectsDoesNotDelayAShutdown) {
  announceLeaving(State.Fleet, State.View, Now, Out);
  BOOST_TEST(!isLeavingAcknowledged(State.Fleet));
  for (auto &[Link, Peer] : State.Fleet.Links)
    Peer.Answered = true;
  BOOST_TEST(isLeavingAcknowledged(State.Fleet));
  handleEntryLinkOpened(State, LinkId{FirstAcceptedLink + 9}, Now, Out);
  Hello Back;
  Back.Name.Value = "w";
  handleEntryMessage(State, LinkId{FirstAcceptedLink + 9}, Back, Now, Out);
  BOOST_TEST(isLeavingAcknowledged(State.Fleet));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Departures, Joined)

// A worker must get no more work when only another entry knows that it is
// leaving.
BOOST_AUTO_TEST_CASE(ADepartureReportedByAPeerExpires) {
  receiveMessage("b", LeavingNotice{HostName{"w"}, Incarnation{11}, 4000});
  BOOST_TEST((sendCall() == ErrorKind::NoWorker));
  advanceWithHeartbeats(Millis{6500}, {"b", "c", "e", "w"});
  BOOST_TEST(!sendCall());
}

BOOST_AUTO_TEST_CASE(ANewIncarnationOfALeavingHostGetsWork) {
  receiveMessage("b", LeavingNotice{HostName{"w"}, Incarnation{10}, 0});
  BOOST_TEST(!sendCall());
  receiveMessage("b", LeavingNotice{HostName{"w"}, Incarnation{0}, 0});
  BOOST_TEST((sendCall() == ErrorKind::NoWorker));
}

BOOST_AUTO_TEST_SUITE_END()
