/** @file pause_test.cpp Waking up late, and being cut off. */
// Labels: promise-3 promise-7

#include "one_entry.h"

#include "membership/departure_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

struct Joined : OneEntry {
  Joined() {
    read(document(5));
    joinAll(5);
    hear("w", beat("w"));
    BOOST_REQUIRE(!ask());
  }

  /** Ticks while the named peers go on sending heartbeats. */
  void passWith(Millis Time, const std::vector<std::string> &Peers) {
    for (Millis n{0}; n < Time; n += Millis{500}) {
      for (const std::string &Name : Peers)
        hear(Name, beat(Name));
      pass(Millis{500});
    }
  }
};

size_t closedLinks(const Effects &Out) {
  return static_cast<size_t>(std::ranges::count_if(Out, [](const Effect &e) {
    return std::holds_alternative<CloseLink>(e);
  }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Pause, Joined)

// A domain was taken out while an entry stood still for 20 s; on waking it
// sends requests there. The first event after the pause may be a request that
// waited in a socket, before any tick. Cause: the old view was acted on.
BOOST_AUTO_TEST_CASE(ARequestRightAfterAPauseIsRefused) {
  const Incarnation Before = State.Fleet.Self.Run;
  const LinkId Old = linkOf("w");
  Now += std::chrono::seconds{20};
  BOOST_TEST((ask() == ErrorKind::StaleView));
  BOOST_TEST(closedLinks(Out) == 4U);
  BOOST_TEST((State.Fleet.Self.Run != Before));
  entryMessage(State, Old, beat("w"), Now, Out); // Sent before the pause.
  BOOST_TEST(State.Fleet.Links.empty());
  entryConfigRead(State, {std::string(), {}}, Now - std::chrono::seconds{20},
                  Now, Out); // Begun before the pause.
  BOOST_TEST(!State.Fleet.Joining.ServiceAnswered);
  // It told all others that the service was there, which had gone away
  // meanwhile; servers that lapsed then were taken for gone when it was back.
  BOOST_TEST(!State.Fleet.Joining.ServiceHeard);
  joinAll(5);
  hear("w", beat("w"));
  BOOST_TEST(!ask());
}

BOOST_AUTO_TEST_CASE(AShortGapIsNoPause) {
  Now += Millis{1900};
  BOOST_TEST(!ask());
}

BOOST_AUTO_TEST_CASE(CutOffRefusesAndContactReturns) {
  passWith(Millis{2000}, {"b", "c", "e", "w"});
  BOOST_TEST(fresh());
  passWith(Millis{7000}, {"w"}); // One of four wanted peers is left.
  BOOST_TEST((ask() == ErrorKind::StaleView));
  read("");
  pass(Millis{2000}); // The service answers again.
  BOOST_TEST(fresh());
}

// The service is down for an hour while the fleet is well: work goes on, for
// nothing can have been published.
BOOST_AUTO_TEST_CASE(WithoutTheServiceTheFleetIsEnough) {
  passWith(Millis{60000}, {"b", "c", "w"});
  BOOST_TEST(!ask());
}

// Two entries that are cut off together vouch for each other for ever.
BOOST_AUTO_TEST_CASE(AnotherEntryThatIsCutOffIsNoContact) {
  passWith(Millis{8000}, {"b"});
  BOOST_TEST(!fresh());
  push(linkOf("b"), "", true);
  passWith(Millis{3000}, {"b"});
  BOOST_TEST(!fresh());
}

// An agent gets SIGTERM while its peers are restarted one after the other. Its
// shutdown ran to the time limit, since every peer that came back counted as
// one that does not know yet, though only links that were asked can answer.
BOOST_AUTO_TEST_CASE(APeerThatComesBackDoesNotHoldUpAShutdown) {
  announceLeaving(State.Fleet, State.View, Now, Out);
  BOOST_TEST(!leavingIsKnown(State.Fleet));
  for (auto &[Link, Peer] : State.Fleet.Links)
    Peer.Answered = true;
  BOOST_TEST(leavingIsKnown(State.Fleet));
  entryLinkOpened(State, LinkId{FirstAcceptedLink + 9}, Now, Out);
  Hello Back;
  Back.Name.Value = "w";
  entryMessage(State, LinkId{FirstAcceptedLink + 9}, Back, Now, Out);
  BOOST_TEST(leavingIsKnown(State.Fleet));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Departures, Joined)

// A worker that only another entry saw leaving goes on getting work here.
BOOST_AUTO_TEST_CASE(ADepartureIsToldOnOnceAndForgottenInTheEnd) {
  hear("b", LeavingNotice{HostName{"w"}, Incarnation{11}, 4000});
  BOOST_TEST((ask() == ErrorKind::NoWorker));
  passWith(Millis{6500}, {"b", "c", "e", "w"});
  BOOST_TEST(!ask());
}

BOOST_AUTO_TEST_CASE(ANewRunOfALeavingHostGetsWorkAtOnce) {
  hear("b", LeavingNotice{HostName{"w"}, Incarnation{10}, 0});
  BOOST_TEST(!ask());
  hear("b", LeavingNotice{HostName{"w"}, Incarnation{0}, 0});
  BOOST_TEST((ask() == ErrorKind::NoWorker));
}

BOOST_AUTO_TEST_SUITE_END()
