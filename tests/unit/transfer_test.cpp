/** @file transfer_test.cpp Exchange of chunks, with a manual clock. */
// Labels: promise-1 weights

#include "one_host.h"
#include "weights/upload_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

// Guards against answers from damaged weights: a bit of a chunk flips in a
// peer's memory or on the network, which only the digest shows.
BOOST_AUTO_TEST_CASE(ABadChunkIsDroppedAndFetchedElsewhere) {
  TransferHost One;
  One.setWantedVersion(makeModelVersion({"a"}));
  One.receiveHeldChunks(PeerA, 1);
  BOOST_TEST((One.advanceAndListAskedPeers() == std::vector{PeerA}));
  One.receiveHeldChunks(PeerB, 1);
  One.receiveChunk(PeerA, "a", "b");
  BOOST_TEST(One.Weights.Held.empty());
  BOOST_TEST((One.advanceAndListAskedPeers() == std::vector{PeerB}));
  One.receiveChunk(PeerB, "a", "a");
  BOOST_TEST(isWantedSetComplete(One.Weights));
  BOOST_TEST(One.Transfer.Counters.BadChunks == 1U);
}

// Guards against workers that wait forever: the only peer with a request
// freezes, or its uplink is stuck while its heartbeats still arrive.
BOOST_AUTO_TEST_CASE(AStalledPeerIsReplacedByAnother) {
  TransferHost One;
  One.setWantedVersion(makeModelVersion({"a"}));
  One.receiveHeldChunks(PeerA, 1);
  BOOST_TEST((One.advanceAndListAskedPeers() == std::vector{PeerA}));
  One.receiveHeldChunks(PeerB, 1);
  BOOST_TEST((One.advanceAndListAskedPeers(Millis(3000)) == NoLinks));
  BOOST_TEST(
      (One.advanceAndListAskedPeers(Millis(1000)) == std::vector{PeerB}));
  removeChunkPeer(One.Transfer, PeerB, One.Now);
  BOOST_TEST(
      (One.advanceAndListAskedPeers(Millis(1000)) == std::vector{PeerA}));
}

// A change of version is reverted during the transfer. No chunk of the new
// version may be mixed in, and chunks already held must not be fetched again.
BOOST_AUTO_TEST_CASE(AVersionRevertedInMidTransferKeepsItsChunks) {
  TransferHost One;
  const ModelVersion Old = makeModelVersion({"a", "b"});
  const ModelVersion New = makeModelVersion({"a", "c"});
  One.setWantedVersion(Old);
  One.receiveHeldChunks(PeerA, 3);
  One.advanceAndListAskedPeers();
  One.receiveChunk(PeerA, "a", "a");
  One.receiveChunk(PeerA, "b", "b");
  One.Weights.Loaded = Old.Set;
  One.setWantedVersion(New);
  BOOST_TEST(One.Transfer.Missing.size() == 1U); // "a" is in both.
  One.receiveHeldChunks(PeerB, 3);
  BOOST_TEST((One.advanceAndListAskedPeers() == std::vector{PeerB}));
  One.setWantedVersion(Old);
  BOOST_TEST(isWantedSetComplete(One.Weights));
  One.receiveChunk(PeerB, "c", "c"); // Late; not in a wanted set.
  BOOST_TEST(!One.Weights.Held.contains(sha256("c")));
  BOOST_TEST((One.advanceAndListAskedPeers() == NoLinks));
}

BOOST_AUTO_TEST_CASE(MemoryHoldsTwoSetsAtMost) {
  TransferHost One;
  for (const std::string Text : {"a", "b", "c", "d"}) {
    One.setWantedVersion(makeModelVersion({Text}));
    One.receiveHeldChunks(PeerA, 1);
    One.advanceAndListAskedPeers(Millis(10));
    One.receiveChunk(PeerA, Text, Text);
    BOOST_TEST(One.Weights.Held.size() <= 2U);
  }
  dropPreviousChunks(One.Weights);
  BOOST_TEST(One.Weights.Held.size() == 1U);
}

// Exactly one host fetches a chunk from the origin at once. If no chunk is
// announced, the others take over one after the other. A peer that announces to
// import the chunk delays them, but not forever.
BOOST_AUTO_TEST_CASE(RanksFetchFromTheOriginInTurn) {
  size_t AtOnce = 0;
  for (const std::string Name : {"w0", "w1", "w2", "w3"}) {
    TransferHost One(Name);
    One.setWantedVersion(makeModelVersion({"a"}));
    One.advanceAndListAskedPeers();
    BOOST_TEST(One.originFetchCount() == 0U); // Links may still be opening.
    One.advanceAndListAskedPeers(Millis(500));
    size_t Waited = 500;
    if (One.originFetchCount() > 0)
      ++AtOnce;
    else
      One.receiveHeldChunks(PeerA, 0, 1);
    while (One.originFetchCount() == 0 && Waited < 20000) {
      One.advanceAndListAskedPeers(Millis(500));
      Waited += 500;
      if (Waited < 4000)
        BOOST_TEST(One.originFetchCount() == 0U);
    }
    BOOST_TEST(Waited <= 7500U);
  }
  BOOST_TEST(AtOnce == 1U);
}

// Guards against an origin that sends twice what is needed after a restart of
// all agents: the next rank took over while the first one still waited for its
// links.
BOOST_AUTO_TEST_CASE(RanksWaitUntilTheFirstOneCanHaveBegun) {
  size_t Fetching = 0;
  for (const std::string Name : {"w0", "w1", "w2", "w3"}) {
    TransferHost One(Name);
    One.Transfer.Options.TakeoverDelay = Millis(400);
    One.setWantedVersion(makeModelVersion({"a"}));
    for (int n = 0; n < 14; ++n) { // 700 ms.
      One.advanceAndListAskedPeers(Millis(50));
      Fetching += One.originFetchCount();
    }
  }
  BOOST_TEST(Fetching == 1U);
}

// The host that fetches a chunk from the origin dies. The next rank has to take
// over when the link is lost, even while other chunks still arrive.
BOOST_AUTO_TEST_CASE(TheNextRankTakesOverFromADeadHost) {
  TransferHost One;
  One.setWantedVersion(makeModelVersion({"a", "b", "c", "d"}));
  One.advanceAndListAskedPeers(Millis(500)); // Fetches its own chunk.
  const auto &Hosts = One.Transfer.Plan.Hosts;
  const size_t Before =
      (One.Transfer.Plan.Self + Hosts.size() - 1) % Hosts.size();
  addChunkPeer(One.Transfer, PeerA, Hosts[Before].Name, true);
  removeChunkPeer(One.Transfer, PeerA, One.Now);
  One.receiveHeldChunks(PeerB, 1U << ((Before + 2) % 4));
  One.advanceAndListAskedPeers(Millis(900));
  BOOST_TEST(One.originFetchCount() == 0U);
  One.advanceAndListAskedPeers(Millis(99));
  BOOST_TEST(One.originFetchCount() == 0U);
  One.advanceAndListAskedPeers(Millis(1));
  BOOST_TEST(One.originFetchCount() == 1U);
}

namespace {

/** An origin that answers each request at once with other bytes, to one host.
 */
struct WrongOrigin {
  explicit WrongOrigin(size_t Chunks) {
    std::vector<std::string> Texts;
    for (size_t n = 0; n < Chunks; ++n)
      Texts.push_back(std::to_string(n));
    One.Transfer.Options.FromPeers = false;
    One.setWantedVersion(makeModelVersion(Texts));
  }

  /** Lets time pass and counts the requests. */
  size_t requestsIn(Millis Time) {
    size_t Requests = 0;
    for (Millis Passed{0}; Passed < Time; Passed += Millis(10)) {
      One.advanceAndListAskedPeers(Millis(10));
      for (const Effect &Did : std::vector<Effect>(One.Out))
        if (const auto *Fetch = std::get_if<FetchFromOrigin>(&Did)) {
          ++Requests;
          One.Out.clear();
          receiveChunkFromOrigin(
              One.Transfer, One.Weights, Fetch->Chunk.Content,
              digestChunk(makeChunkBytes("wrong")), One.Now, One.Out);
          Logged += One.Out.size();
        }
    }
    return Requests;
  }

  TransferHost One;
  size_t Logged = 0;
};

} // namespace

// Guards against an origin's link that is filled with a chunk that never fits
// its digest.
BOOST_AUTO_TEST_CASE(AWrongChunkIsRequestedAfterGrowingWaits) {
  WrongOrigin Test(1);
  BOOST_TEST(Test.requestsIn(Millis(3000)) <= 5U);
  BOOST_TEST(Test.requestsIn(Millis(10000)) <= 3U);
  BOOST_TEST(Test.requestsIn(Millis(20000)) >= 2U); // Not given up.
  BOOST_TEST(Test.Logged <= 4U);
}

// Guards against the same where all chunks come wrong, as those of another list
// do.
BOOST_AUTO_TEST_CASE(ManyWrongChunksShareOnePace) {
  constexpr size_t Chunks = 48;
  WrongOrigin Test(Chunks);
  BOOST_TEST(Test.requestsIn(Millis(5000)) <= 3 * Chunks + 5);
  BOOST_TEST(Test.requestsIn(Millis(20000)) <= 15U);
}

// Guards against a sender whose memory grows with the backlog of a slow
// receiver.
BOOST_AUTO_TEST_CASE(BacklogDelaysUploads) {
  TransferHost One;
  One.setWantedVersion(makeModelVersion({"a"}));
  One.Weights.Held[sha256("a")] = makeChunkBytes("a");
  One.Transfer.Peers[PeerA].BacklogBytes = 5 << 20;
  for (int n = 0; n < 20; ++n)
    queueUpload(One.Transfer, One.Weights, PeerA, {sha256("a")}, One.Out);
  BOOST_TEST(One.Transfer.Uploads.size() == 8U);
  One.advanceAndListAskedPeers();
  BOOST_TEST(One.Transfer.Uploads.size() == 8U);
  One.Transfer.Peers[PeerA].BacklogBytes = 0;
  One.Transfer.Peers[PeerB].BacklogBytes = 65 << 20;
  One.advanceAndListAskedPeers();
  BOOST_TEST(One.Transfer.Uploads.size() == 8U);
  One.Transfer.Peers[PeerB].BacklogBytes = 0;
  One.advanceAndListAskedPeers();
  BOOST_TEST(One.Transfer.Uploads.empty());
}

// An engine remembers fencing numbers across a restart of its agent. The new
// agent counts from the start, and its orders must be accepted after some
// attempts; those of an agent with an older configuration must never be.
BOOST_AUTO_TEST_CASE(ARestartedAgentPassesTheFenceAnOldVersionDoesNot) {
  WeightsState Before;
  WeightsState After;
  Before.NextFence = 1000;
  const auto Order = [](WeightsState &Weights, uint64_t Version) {
    Effects Out;
    sendLoadOrder(Weights, ConfigVersion{Version}, Out);
    return std::get<LoadWeights>(Out[0]).Order.Fence;
  };
  const FencingNumber Known = Order(Before, 7);
  TimePoint Now{};
  int Tries = 1;
  for (; Order(After, 7) <= Known && Tries < 20; ++Tries)
    recordOrderEnd(After, false, Now);
  BOOST_TEST(Tries < 12);
  for (int n = 0; n < 100; ++n)
    recordOrderEnd(Before, false, Now);
  BOOST_TEST((Order(Before, 6) < Known));
}
