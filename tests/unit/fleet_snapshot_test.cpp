/** @file fleet_snapshot_test.cpp What the traffic thread is told of the fleet.
 */
// Labels: routes membership

#include "one_entry.h"

#include "attempts/entry_func.h"
#include "forwarding/fleet_snapshot_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(AnEntryThatLostItsLinksStillSharesWithTheOthers) {
  // An entry stood still while a worker started anew. It had dropped its links
  // on waking and took itself for the only one: it sent the cold worker the
  // rate of the whole fleet, beside what the others sent.
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

BOOST_AUTO_TEST_CASE(APauseIsNoOutageOfTheList) {
  // An entry stood still while a server vanished from the list. It woke with no
  // links, took the list for away, and went on using the server for two
  // seconds, as it does after an outage.
  OneEntry One;
  One.read(document(5));
  One.joinAll(5);
  BOOST_REQUIRE(One.fresh());
  BOOST_TEST(!fleetSnapshot(One.State, One.Now).ListingAway);
  One.Now += Millis(5000);
  entryTick(One.State, One.Now, One.Out);
  BOOST_TEST(!fleetSnapshot(One.State, One.Now).ListingAway);
}

BOOST_AUTO_TEST_CASE(AStartingEntrySaysUntilWhenItMayBecomeReady) {
  // All entries were killed and started again. Their callers came back while
  // they joined the fleet, were refused for want of a view, and had no try left
  // 0.2 s later, when every back end was idle. A request is held until then,
  // and not for an entry that finds nobody.
  OneEntry One;
  const FleetSnapshot Starting = fleetSnapshot(One.State, One.Now);
  BOOST_TEST(!Starting.Ready);
  BOOST_TEST((Starting.ReadyBy > One.Now));
  One.pass(Millis(3000));
  const FleetSnapshot Alone = fleetSnapshot(One.State, One.Now);
  BOOST_TEST(!Alone.Ready);
  BOOST_TEST((Alone.ReadyBy < One.Now));
}

BOOST_AUTO_TEST_CASE(AServiceThatAnswersNobodyIsAnOutageOfTheList) {
  OneEntry One;
  One.read(document(5));
  One.joinAll(5);
  for (int n = 0; n < 10; ++n) {
    for (const char *Name : {"b", "c", "e", "w"})
      One.hear(Name, One.beat(Name));
    One.pass(Millis(500));
  }
  BOOST_REQUIRE(One.fresh());
  BOOST_TEST(fleetSnapshot(One.State, One.Now).ListingAway);
}
