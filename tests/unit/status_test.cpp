/** @file status_test.cpp Status of the fleet, and the list of changes between
 * documents.
 */
// Labels: product

#include "configuration/document_change_func.h"
#include "configuration/document_func.h"
#include "status/status_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** Access of an operator. */
const TeamAccess Everything{"ops", true, {}, {}};

/** An entry that has a ready link to every other worker. Domain d0 is out. */
EntryState entryWithHalfTheWorkersLinked(size_t Workers, size_t Classes) {
  auto Doc = std::make_shared<Document>();
  EntryState Entry;
  Doc->Version.Value = 5;
  for (size_t n = 0; n < Classes; ++n) {
    const std::string Name = "c" + std::to_string(n);
    ModelVersion Model;
    Model.Name.Value = Name;
    Model.Set.Value = "set";
    Model.Chunks.resize(4);
    Doc->Models.push_back(Model);
    WorkClass Class;
    Class.Name.Value = Name;
    Class.Model.Value = Name;
    Doc->Classes.push_back(Class);
  }
  for (size_t n = 0; n < Workers; ++n) {
    Worker Host;
    Host.Name.Value = "w" + std::to_string(n);
    Host.Domain.Value = "d" + std::to_string(n % 10);
    Host.Model = Doc->Models[n % Classes].Name;
    Doc->Workers.push_back(Host);
    if (n % 2 == 1)
      continue;
    const LinkId Link{n + 1};
    PeerLink &Peer = Entry.Fleet.Links[Link];
    Peer.State = LinkState::Ready;
    Peer.Version = Doc->Version;
    Peer.Load.State = WorkerState::Serving;
    Peer.Load.Running = 3;
    Peer.Load.Limit = 8;
    Peer.Load.Weights.Value = n % 4 == 0 ? "set" : "old";
    Peer.Load.ChunksHeld = 1;
    Entry.Fleet.Wanted[Host.Name].Link = Link;
  }
  Doc->DomainsOut = {DomainName{"d0"}};
  Entry.View.InForce = Doc;
  return Entry;
}

} // namespace

BOOST_AUTO_TEST_CASE(TotalsMatchTheWorkers) {
  const FleetStatus All = fleetStatus(entryWithHalfTheWorkersLinked(40, 2),
                                      Everything, TimePoint{});
  BOOST_TEST(All.Workers.size() == 40U);
  BOOST_TEST(All.Processes.size() == 41U);
  BOOST_TEST(All.Domains.size() == 10U);
  BOOST_TEST(All.Domains[0].Out);
  BOOST_TEST(All.Domains[0].Serving == 4U);
  BOOST_TEST(All.Domains[0].Running == 12U);
  BOOST_TEST(All.Domains[1].Unseen == 4U);
  // Class c0 has the 20 even workers; 4 of them are in the domain that is out
  // and do not count as serving.
  BOOST_TEST(All.Classes[0].Workers == 20U);
  BOOST_TEST(All.Classes[0].Serving == 16U);
  BOOST_TEST(All.Classes[0].Limit == 128U);
  BOOST_TEST(All.Models[0].Loaded == 10U);
  BOOST_TEST(All.Models[0].ChunksHeld == 10U * 4 + 10);
  BOOST_TEST(All.Models[0].ChunksWanted == 80U);
}

BOOST_AUTO_TEST_CASE(ATeamSeesOnlyItsClasses) {
  const TeamAccess Own{"one", false, {ClassName{"c1"}}, {}};
  const FleetStatus Seen =
      fleetStatus(entryWithHalfTheWorkersLinked(40, 2), Own, TimePoint{});
  BOOST_TEST(Seen.Workers.size() == 20U);
  BOOST_TEST(Seen.Classes.size() == 1U);
  BOOST_TEST(Seen.Models.size() == 1U);
  BOOST_TEST(Seen.Processes.empty());
}

BOOST_AUTO_TEST_CASE(StatusOfALargeFleetIsComputedQuickly) {
  const EntryState Entry = entryWithHalfTheWorkersLinked(1800, 20);
  const auto Begin = std::chrono::steady_clock::now();
  const FleetStatus All = fleetStatus(Entry, Everything, TimePoint{});
  const std::chrono::duration<double, std::milli> Took =
      std::chrono::steady_clock::now() - Begin;
  BOOST_TEST_MESSAGE("1800 workers, 20 classes: " << Took.count() << " ms");
  BOOST_TEST(All.Workers.size() == 1800U);
  // The control thread builds the status, and heartbeats wait for it.
  BOOST_TEST(Took.count() < 200);
}

BOOST_AUTO_TEST_CASE(ChangesAreListedByName) {
  const EntryState Entry = entryWithHalfTheWorkersLinked(4, 2);
  Document Next = *Entry.View.InForce;
  Next.Version.Value = 6;
  Next.Models[0].Set.Value = "new";
  Next.Workers.erase(Next.Workers.begin() + 1);
  Next.DomainsOut.clear();
  const DocumentChange Change =
      compareDocuments(Entry.View.InForce.get(), Next);
  BOOST_TEST(Change.WouldApply);
  BOOST_TEST(Change.WorkersToLoad == 2U);
  for (const ListChange &One : Change.Lists) {
    BOOST_TEST(One.Added.empty());
    BOOST_TEST(One.Removed.size() ==
               (One.List == "workers" || One.List == "domains_out" ? 1U : 0U));
    BOOST_TEST(One.Changed.size() == (One.List == "models" ? 1U : 0U));
  }
  BOOST_TEST(!compareDocuments(&Next, *Entry.View.InForce).WouldApply);
}
