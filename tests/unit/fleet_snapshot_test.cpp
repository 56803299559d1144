/** @file fleet_snapshot_test.cpp State of the fleet for the traffic thread. */
// Labels: routes membership

#include "one_entry.h"

#include "attempts/entry_func.h"
#include "forwarding/fleet_snapshot_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(AnEntryWithoutLinksStillSharesWithTheOthers) {
  // Guards against an entry that was paused, has dropped its links on resuming,
  // and takes itself for the only entry: it sent a cold worker the rate of the
  // whole fleet, in addition to what the others sent.
  const TimePoint Now{std::chrono::hours(1)};
  Settings Config;
  Config.Name = "e0";
  Config.Domain = "d";
  Config.PeerListen = "10.0.0.1:5";
  Config.RouteListen = "10.0.0.1:80";
  EntryState Entry = makeEntry(Config, Incarnation{1}, Now);
  BOOST_TEST(fleetSnapshot(Entry, Now).Sharers == 1U);
  for (const char *Name : {"e1", "e2"}) {
    EntryHost Host;
    Host.Name.Value = Name;
    Host.Domain.Value = "d";
    Entry.Fleet.Roster[Host.Name] = {Host, Now};
  }
  const FleetSnapshot Snapshot = fleetSnapshot(Entry, Now);
  BOOST_TEST(Snapshot.Alive.empty());
  BOOST_TEST(Snapshot.Sharers == 3U);
}

BOOST_AUTO_TEST_CASE(APauseIsNotAnOutageOfTheList) {
  // Guards against an entry that was paused while a server left the list, has
  // no links on resuming, takes that for an outage of the list, and uses the
  // server for two more seconds as it does after an outage.
  OneEntry Fixture;
  Fixture.receiveConfig(document(5));
  Fixture.connectAllPeers(5);
  BOOST_REQUIRE(Fixture.fresh());
  BOOST_TEST(!fleetSnapshot(Fixture.State, Fixture.Now).ListingUnavailable);
  Fixture.Now += Millis(5000);
  handleEntryTick(Fixture.State, Fixture.Now, Fixture.Out);
  BOOST_TEST(!fleetSnapshot(Fixture.State, Fixture.Now).ListingUnavailable);
}

BOOST_AUTO_TEST_CASE(AStartingEntryTellsWhenItIsExpectedToBeReady) {
  // Guards against refusing callers while all entries restart: callers retried
  // while the entries joined the fleet, were refused for lack of a fresh view,
  // and had no attempt left 0.2 s later, when all back ends were idle. Requests
  // are held until the entry is ready, but not if it finds no peers.
  OneEntry Fixture;
  const FleetSnapshot Starting = fleetSnapshot(Fixture.State, Fixture.Now);
  BOOST_TEST(!Starting.Ready);
  BOOST_TEST((Starting.ReadyBy > Fixture.Now));
  Fixture.advanceClock(Millis(3000));
  const FleetSnapshot Alone = fleetSnapshot(Fixture.State, Fixture.Now);
  BOOST_TEST(!Alone.Ready);
  BOOST_TEST((Alone.ReadyBy < Fixture.Now));
}

BOOST_AUTO_TEST_CASE(
    AConfigurationServiceThatAnswersNoEntryIsAnOutageOfTheList) {
  OneEntry Fixture;
  Fixture.receiveConfig(document(5));
  Fixture.connectAllPeers(5);
  for (int n = 0; n < 10; ++n) {
    for (const char *Name : {"b", "c", "e", "w"})
      Fixture.receiveMessage(Name, Fixture.nextHeartbeat(Name));
    Fixture.advanceClock(Millis(500));
  }
  BOOST_REQUIRE(Fixture.fresh());
  BOOST_TEST(fleetSnapshot(Fixture.State, Fixture.Now).ListingUnavailable);
}
