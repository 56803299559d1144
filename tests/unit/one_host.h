/** @file one_host.h Test fixture: one host in the exchange of chunks, with a
 * manual clock. */

#ifndef JACINTHPOND_TESTS_ONE_HOST_H
#define JACINTHPOND_TESTS_ONE_HOST_H

#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "weights/transfer_func.h"
#include "weights/weights_func.h"

#include <algorithm>

namespace jacinthpond {

constexpr LinkId PeerA{1};
constexpr LinkId PeerB{2};

/** Makes the bytes of a chunk. */
inline ChunkBytes makeChunkBytes(const std::string &Text) {
  return std::make_shared<const std::string>(Text);
}

/** Makes a version of model "m" with one chunk for each text. */
inline ModelVersion makeModelVersion(const std::vector<std::string> &Texts) {
  ModelVersion Model;
  Model.Name.Value = "m";
  for (const std::string &Text : Texts)
    Model.Chunks.push_back(sha256(Text));
  Model.Set = weightsSetDigest(Model.Chunks);
  return Model;
}

/** A host with links to two peers of its domain; Now changes only in asked().
 */
struct TransferHost {
  explicit TransferHost(const std::string &Name = "w0",
                        double LinkMegabits = 0) {
    for (const char *One : {"w0", "w1", "w2", "w3"}) {
      Worker Row;
      Row.Name.Value = One;
      Row.Domain.Value = "d";
      Row.Agent.Value = "127.0.0.1:1";
      Row.Model.Value = "m";
      Doc.Workers.push_back(Row);
    }
    Self.Value = Name;
    Settings Config;
    Config.Name = Name;
    Config.ChunkTakeoverMillis = 1000;
    Config.LinkMegabits = LinkMegabits;
    Transfer = makeTransfer(Config);
    addChunkPeer(Transfer, PeerA, {"w1"}, true);
    addChunkPeer(Transfer, PeerB, {"w2"}, true);
  }

  /** Selects a version for loading and plans its transfer. */
  void setWantedVersion(const ModelVersion &Model) {
    setWantedWeights(Weights, Model);
    updateTransferPlan(Transfer, Weights, Doc, Self, Now);
  }
  /** Handles a peer's notice of its chunks; each argument is a bit mask. */
  void receiveHeldChunks(LinkId Link, uint8_t Held, uint8_t Coming = 0) {
    recordAnnouncement(Transfer, Link, {Weights.Wanted.Set, {Held}, {Coming}},
                       Now);
  }
  /** Handles a peer's answer to the request for chunk Asked. */
  void receiveChunk(LinkId Link, const std::string &Asked,
                    const std::string &Came) {
    receiveChunkFromPeer(Transfer, Weights, Link, sha256(Asked),
                         digestChunk(makeChunkBytes(Came)), Now, Out);
  }
  /** Advances the clock, lets chunks be requested, and gives the links to the
   * peers that were asked. */
  std::vector<LinkId> advanceAndListAskedPeers(Millis Passed = Millis(0)) {
    Now += Passed;
    Out.clear();
    advanceTransfer(Transfer, Weights, Now, Out);
    std::vector<LinkId> Links;
    for (const Effect &One : Out)
      if (const auto *Send = std::get_if<SendMessage>(&One);
          Send != nullptr && std::get_if<ChunkRequest>(&Send->Content))
        Links.push_back(Send->Link);
    return Links;
  }
  /** Counts the chunks requested from the origin in the latest effects. */
  size_t originFetchCount() const {
    return static_cast<size_t>(
        std::ranges::count_if(Out, [](const Effect &One) {
          return std::holds_alternative<FetchFromOrigin>(One);
        }));
  }

  Document Doc;
  HostName Self;
  WeightsState Weights;
  TransferState Transfer;
  TimePoint Now{Millis(100000)};
  Effects Out;
};

/** Expected result of Host::asked() when no peer was asked. */
inline const std::vector<LinkId> NoLinks;

} // namespace jacinthpond

#endif
