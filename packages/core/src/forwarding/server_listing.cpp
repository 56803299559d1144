/** @file server_listing.cpp Updates the server pool from documents: listed
 * servers and wanted weights. */

#include "forwarding/server_notice_func.h"
#include "forwarding/server_pool_func.h"

#include <algorithm>
#include <set>

namespace jacinthpond {

namespace {

/** Replaced sets that are kept for each model. */
constexpr size_t MaxReplacedSets = 8;

/** Updates the back ends from the list of the document, and removes unlisted
 * ones. */
void updateServers(ServerPool &Pool, TimePoint Now) {
  std::set<InstanceId> Listed;
  for (const BackEndServer &One : Pool.Doc->Servers) {
    Listed.insert(One.Id);
    const auto [it, New] = Pool.Servers.try_emplace(One.Id);
    ServerView &View = it->second;
    if (New)
      View.ListedSince = Now;
    if (New || View.Listed.ColdFor != One.ColdFor) {
      View.ColdUntil = Now + One.ColdFor;
      View.ColdLimit = {};
    }
    // An agent's report is newer than the list as long as the instance is the
    // same, and it does not count weights that were loaded from other chunks.
    if (New || (View.Listed.Weights != One.Weights && !hasAgent(View)))
      View.Weights = One.Weights;
    View.Listed = One;
    View.UnlistedSince.reset();
    if (New)
      restoreNotices(Pool, View, Now);
  }
  for (auto &[Id, View] : Pool.Servers)
    if (!Listed.contains(Id) && !View.UnlistedSince)
      View.UnlistedSince = Now;
  std::erase_if(Pool.Servers, [&](const auto &Row) {
    const ServerView &View = Row.second;
    const bool Ends =
        View.UnlistedSince && View.Open == 0 && Now >= Pool.KeepUnlistedUntil;
    if (Ends)
      keepNotices(Pool, View);
    return Ends;
  });
}

/** Updates the wanted weights of each model, and keeps the replaced ones until
 * they expire. */
void updateWantedWeights(ServerPool &Pool,
                         std::optional<TimePoint> PublishedAfter) {
  for (const ModelVersion &Model : Pool.Doc->Models) {
    WantedWeights &Wanted = Pool.Wanted[Model.Name];
    if (Wanted.Set == Model.Set)
      continue;
    // Each set expires a fixed time after the next one was published: a version
    // that is replaced while it still spreads must not invalidate the version
    // before it. A process that starts does not know when the wanted version
    // was published, so it starts nothing on an older one. A process that was
    // paused counts from before the pause: counted from when it received the
    // document, its requests would start on the older set too late, by the
    // length of the pause.
    if (PublishedAfter && !Wanted.Set.Value.empty())
      Wanted.ReplacedSets.push_back(
          {Wanted.Set, Wanted.Version,
           *PublishedAfter + Pool.Options.ReplacedWeightsTime});
    std::erase_if(Wanted.ReplacedSets, [&](const ReplacedWeights &One) {
      return One.Set == Model.Set;
    });
    if (Wanted.ReplacedSets.size() > MaxReplacedSets)
      Wanted.ReplacedSets.erase(Wanted.ReplacedSets.begin());
    Wanted.Set = Model.Set;
    Wanted.Version = Model.Version;
    Wanted.PublishedAfter = PublishedAfter;
  }
}

} // namespace

void applyPoolDocument(ServerPool &Pool, const DocumentPtr &Doc,
                       std::optional<TimePoint> PublishedAfter, TimePoint Now) {
  Pool.Doc = Doc;
  updateServers(Pool, Now);
  dropOldNotices(Pool, Now);
  updateWantedWeights(Pool, PublishedAfter);
}

void setListingUnavailable(ServerPool &Pool, bool Unavailable, TimePoint Now) {
  if (Unavailable)
    Pool.KeepUnlistedUntil = TimePoint::max();
  else if (Pool.KeepUnlistedUntil == TimePoint::max())
    Pool.KeepUnlistedUntil = Now + Pool.Options.LapseGrace;
}

} // namespace jacinthpond
