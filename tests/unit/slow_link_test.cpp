/** @file slow_link_test.cpp Exchange of chunks when some links become slow. */
// Labels: promise-1 weights

#include "one_host.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** A chunk of 1000 bytes takes 8 ms on this link; 80 ms count as slow. */
constexpr double LinkMegabits = 1;

/** Builds a version with chunks of 1000 bytes. */
ModelVersion makeSmallChunks(const std::vector<std::string> &Texts) {
  ModelVersion Model = makeModelVersion(Texts);
  Model.ChunkBytes = 1000;
  return Model;
}

} // namespace

// Guards against loads that are delayed by seconds: the link of one host
// becomes slow, but as some data still arrives it does not count as stalled,
// and all hosts wait for their last chunks from it.
BOOST_AUTO_TEST_CASE(ASlowChunkIsRequestedFromAFasterPeer) {
  TransferHost One("w0", LinkMegabits);
  One.setWantedVersion(makeSmallChunks({"a", "b"}));
  One.receiveHeldChunks(PeerB, 1);
  BOOST_TEST((One.advanceAndListAskedPeers() == std::vector{PeerB}));
  One.Now += Millis(10);
  One.receiveChunk(PeerB, "a", "a"); // Fast.
  One.receiveHeldChunks(PeerA, 2);
  BOOST_TEST((One.advanceAndListAskedPeers() == std::vector{PeerA}));
  One.receiveHeldChunks(PeerB, 3);
  BOOST_TEST((One.advanceAndListAskedPeers(Millis(79)) == NoLinks));
  BOOST_TEST((One.advanceAndListAskedPeers(Millis(1)) == std::vector{PeerB}));
}

// If all peers are slow, the own link is the slow one. Requests to other peers
// would congest it and delay the answers of callers.
BOOST_AUTO_TEST_CASE(ASlowOwnLinkIsNotCongested) {
  TransferHost One("w0", LinkMegabits);
  One.setWantedVersion(makeSmallChunks({"a", "b", "c"}));
  One.receiveHeldChunks(PeerA, 1);
  BOOST_TEST((One.advanceAndListAskedPeers() == std::vector{PeerA}));
  One.Now += Millis(200);
  One.receiveChunk(PeerA, "a", "a"); // Slow.
  One.receiveHeldChunks(PeerA, 7);
  One.receiveHeldChunks(PeerB, 7);
  BOOST_TEST(One.advanceAndListAskedPeers().size() == 1U);
  BOOST_TEST((One.advanceAndListAskedPeers(Millis(500)) == NoLinks));
}

// The host that fetches a chunk from the origin has a slow link, but is alive
// and announces the chunk, so that all hosts would wait for it. Once most
// chunks are available, the next ranks fetch the overdue one as well.
BOOST_AUTO_TEST_CASE(AnOverdueChunkIsFetchedByTheNextRank) {
  TransferHost One;
  const ModelVersion Model = makeModelVersion({"a", "b", "c", "d"});
  One.setWantedVersion(Model);
  One.advanceAndListAskedPeers(Millis(500)); // Fetches its own chunk.
  const size_t Own = One.Transfer.Plan.Self;
  const size_t Late =
      (Own + 3) % 4; // To be fetched by the host before this one.
  const auto Others = static_cast<uint8_t>(0xFU & ~(1U << Late));
  One.receiveHeldChunks(PeerA, Others, static_cast<uint8_t>(1U << Late));
  One.advanceAndListAskedPeers();
  size_t Waited = 0;
  while (One.originFetchCount() == 0 && Waited < 5000) {
    One.advanceAndListAskedPeers(Millis(50));
    // Other chunks still arrive, so that the time without news does not count.
    One.Transfer.AvailabilityChangedAt = One.Now;
    Waited += 50;
  }
  BOOST_TEST(Waited >= 1000U);
  BOOST_TEST(Waited <= 2500U);
}

// The origin is down for some seconds. Each host then took over the chunks of
// all others, and after the outage the origin sent four copies of every chunk,
// which took twice as long as one.
BOOST_AUTO_TEST_CASE(AnOriginOutageDoesNotMakeHostsTakeOverAllChunks) {
  TransferHost One;
  const ModelVersion Model = makeModelVersion({"a", "b", "c", "d"});
  One.setWantedVersion(Model);
  const size_t Own = One.Transfer.Plan.Self;
  size_t Takeovers = 0;
  for (int n = 0; n < 100; ++n) { // Five seconds.
    One.advanceAndListAskedPeers(Millis(50));
    for (const Effect &Did : std::vector<Effect>(One.Out)) {
      const auto *Fetch = std::get_if<FetchFromOrigin>(&Did);
      if (Fetch == nullptr)
        continue;
      Takeovers += Fetch->Chunk.Number == Own ? 0 : 1;
      receiveChunkFromOrigin(One.Transfer, One.Weights, Fetch->Chunk.Content,
                             {}, One.Now, One.Out);
    }
  }
  BOOST_TEST(Takeovers <= 5U);
}

// After an outage no worker served, and chunks still left a quarter of each
// link free for answers, which delayed the first load by seconds.
BOOST_AUTO_TEST_CASE(ChunksUseMostOfALinkThatCarriesNoAnswers) {
  TransferHost One("w0", LinkMegabits);
  const double Busy = One.Transfer.Uplink.PerSecond;
  setLinkIdle(One.Transfer, true);
  BOOST_TEST(One.Transfer.Uplink.PerSecond > 1.2 * Busy);
  BOOST_TEST(One.Transfer.Uplink.PerSecond < LinkMegabits * 125000);
  setLinkIdle(One.Transfer, false);
  BOOST_TEST(One.Transfer.Uplink.PerSecond == Busy);
}

// Guards against a good peer being avoided: the last chunk of a set is smaller
// than the others, and parts beyond its end were requested.
BOOST_AUTO_TEST_CASE(NoPartBeyondTheEndOfASmallChunkIsRequested) {
  constexpr size_t PartBytes = 8192;
  TransferHost One("w0", 100);
  const std::string Text(PartBytes + 1000, 'a');
  ModelVersion Model = makeModelVersion({Text});
  Model.ChunkBytes = 6 * PartBytes;
  One.setWantedVersion(Model);
  One.receiveHeldChunks(PeerA, 1);
  One.advanceAndListAskedPeers();
  One.Out.clear();
  receiveChunkPart(One.Transfer, PeerA,
                   {sha256(Text), Text.substr(0, PartBytes), 0, Text.size()},
                   One.Now, One.Out);
  BOOST_TEST(One.Out.empty());
}
