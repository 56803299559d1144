/** @file server_listing.cpp What documents say of back ends and weights. */

#include "forwarding/server_pool_func.h"

#include <algorithm>
#include <set>

namespace jacinthpond {

namespace {

/** Former sets that are remembered. */
constexpr size_t MaxFormers = 8;

void noteServers(ServerPool &Pool, TimePoint Now) {
  std::set<InstanceId> Listed;
  for (const BackEndServer &One : Pool.Doc->Servers) {
    Listed.insert(One.Id);
    const auto [it, New] = Pool.Servers.try_emplace(One.Id);
    ServerView &View = it->second;
    if (New || View.Listed.ColdFor != One.ColdFor) {
      View.ColdUntil = Now + One.ColdFor;
      View.Cold = {};
    }
    // An agent's word is newer than the list while its back end is the same,
    // and it does not count what was loaded from other chunks.
    if (New || (View.Listed.Weights != One.Weights && !hasAgent(View)))
      View.Weights = One.Weights;
    View.Listed = One;
    View.Vanished.reset();
  }
  for (auto &[Id, View] : Pool.Servers)
    if (!Listed.contains(Id) && !View.Vanished)
      View.Vanished = Now;
  std::erase_if(Pool.Servers, [&](const auto &Row) {
    const ServerView &View = Row.second;
    return View.Vanished && View.Open == 0 && Now >= Pool.ListingDoubtUntil;
  });
}

void noteWanted(ServerPool &Pool, std::optional<TimePoint> PublishedAfter) {
  for (const ModelVersion &Model : Pool.Doc->Models) {
    WantedWeights &Wanted = Pool.Wanted[Model.Name];
    if (Wanted.Set == Model.Set)
      continue;
    // Each set has its own time from when the next one was named: a version
    // that is overtaken while it spreads must not take the one before with it.
    // A process that starts does not know how long a version was wanted: it
    // begins nothing on an older one. One that stood still counts from before
    // that; from when it heard, its requests would begin on the older one for
    // as much longer as it stood still.
    if (PublishedAfter && !Wanted.Set.Value.empty())
      Wanted.Formers.push_back(
          {Wanted.Set, Wanted.Version,
           *PublishedAfter + Pool.Options.FormerWeightsFor});
    std::erase_if(Wanted.Formers, [&](const FormerWeights &One) {
      return One.Set == Model.Set;
    });
    if (Wanted.Formers.size() > MaxFormers)
      Wanted.Formers.erase(Wanted.Formers.begin());
    Wanted.Set = Model.Set;
    Wanted.Version = Model.Version;
    Wanted.PublishedAfter = PublishedAfter;
  }
}

} // namespace

void poolFollows(ServerPool &Pool, const DocumentPtr &Doc,
                 std::optional<TimePoint> PublishedAfter, TimePoint Now) {
  Pool.Doc = Doc;
  noteServers(Pool, Now);
  noteWanted(Pool, PublishedAfter);
}

void listingAway(ServerPool &Pool, bool Away, TimePoint Now) {
  if (Away)
    Pool.ListingDoubtUntil = TimePoint::max();
  else if (Pool.ListingDoubtUntil == TimePoint::max())
    Pool.ListingDoubtUntil = Now + Pool.Options.LapseGrace;
}

} // namespace jacinthpond
