/** @file weights_health.cpp Distribution of weights as an entry sees it. */

#include "weights_health.h"

#include <map>
#include <string>

namespace jacinthpond {

nlohmann::json weightsHealth(const EntryState &Entry) {
  std::map<std::string, size_t> Replicas;
  WorkerLoad Sum;
  for (const auto &[Id, Link] : Entry.Fleet.Links) {
    if (Link.State != LinkState::Ready || Link.Peer.Sender != Role::Agent)
      continue;
    const WorkerLoad &Load = Link.Load;
    if (!Load.Weights.Value.empty() && (Load.State == WorkerState::Warming ||
                                        Load.State == WorkerState::Serving))
      ++Replicas[Load.Weights.Value];
    Sum.ChunksHeld += Load.ChunksHeld;
    Sum.ChunksWanted += Load.ChunksWanted;
    Sum.BytesPerSecond += Load.BytesPerSecond;
    Sum.BytesFromOrigin += Load.BytesFromOrigin;
    Sum.BytesFromPeers += Load.BytesFromPeers;
    Sum.BytesFromOtherDomains += Load.BytesFromOtherDomains;
  }
  return {{"replicas", Replicas},
          {"chunks_held", Sum.ChunksHeld},
          {"chunks_wanted", Sum.ChunksWanted},
          {"bytes_per_second", Sum.BytesPerSecond},
          {"bytes_from_origin", Sum.BytesFromOrigin},
          {"bytes_from_peers", Sum.BytesFromPeers},
          {"bytes_across", Sum.BytesFromOtherDomains}};
}

} // namespace jacinthpond
