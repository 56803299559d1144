/** @file slow_link_test.cpp Chunks when some links have become narrow. */
// Labels: promise-1 weights

#include "one_host.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** A chunk of one kilobyte takes 8 ms on this link, 80 ms count as slow. */
constexpr double LinkMegabits = 1;

ModelVersion smallChunks(const std::vector<std::string> &Texts) {
  ModelVersion Model = version(Texts);
  Model.ChunkBytes = 1000;
  return Model;
}

} // namespace

// Replicas would load a new version seconds later than they could. The link of
// one host becomes narrow: its chunks trickle in, so that it does not count as
// stalled, and everybody waits for the last ones from there.
BOOST_AUTO_TEST_CASE(AChunkThatTricklesInIsAskedOfAFasterPeer) {
  Host One("w0", LinkMegabits);
  One.want(smallChunks({"a", "b"}));
  One.have(PeerB, 1);
  BOOST_TEST((One.asked() == std::vector{PeerB}));
  One.Now += Millis(10);
  One.give(PeerB, "a", "a"); // Fast.
  One.have(PeerA, 2);
  BOOST_TEST((One.asked() == std::vector{PeerA}));
  One.have(PeerB, 3);
  BOOST_TEST((One.asked(Millis(79)) == None));
  BOOST_TEST((One.asked(Millis(1)) == std::vector{PeerB}));
}

// Where all peers are slow, the own link is the narrow one. Asking others as
// well would fill it, and the ends of requests would wait behind the chunks.
BOOST_AUTO_TEST_CASE(ANarrowOwnLinkIsNotFilled) {
  Host One("w0", LinkMegabits);
  One.want(smallChunks({"a", "b", "c"}));
  One.have(PeerA, 1);
  BOOST_TEST((One.asked() == std::vector{PeerA}));
  One.Now += Millis(200);
  One.give(PeerA, "a", "a"); // Slow.
  One.have(PeerA, 7);
  One.have(PeerB, 7);
  BOOST_TEST(One.asked().size() == 1U);
  BOOST_TEST((One.asked(Millis(500)) == None));
}

// Whoever draws a chunk has a narrow link; it is alive and claims the chunk, so
// all hosts would wait for it with everything else in their hands. Once most
// chunks are in view the next ranks draw what stays out.
BOOST_AUTO_TEST_CASE(AnOverdueChunkIsDrawnByTheNextRank) {
  Host One;
  const ModelVersion Model = version({"a", "b", "c", "d"});
  One.want(Model);
  One.asked(Millis(500)); // Draws its own chunk.
  const size_t Own = One.Transfer.Plan.Self;
  const size_t Late = (Own + 3) % 4; // Drawn by the rank before this one.
  const auto Others = static_cast<uint8_t>(0xFU & ~(1U << Late));
  One.have(PeerA, Others, static_cast<uint8_t>(1U << Late));
  One.asked();
  size_t Waited = 0;
  while (One.drawn() == 0 && Waited < 5000) {
    One.asked(Millis(50));
    // Other news keep coming: quiet alone would never show it.
    One.Transfer.LastNews = One.Now;
    Waited += 50;
  }
  BOOST_TEST(Waited >= 1000U);
  BOOST_TEST(Waited <= 2500U);
}

// The origin is down for some seconds. Each host took over all chunks from all
// others one after the other, and when the origin came back it sent four copies
// of everything, which took twice as long as one.
BOOST_AUTO_TEST_CASE(AnOriginThatIsDownIsNotAskedForEverything) {
  Host One;
  const ModelVersion Model = version({"a", "b", "c", "d"});
  One.want(Model);
  const size_t Own = One.Transfer.Plan.Self;
  size_t Draws = 0;
  for (int n = 0; n < 100; ++n) { // Five seconds.
    One.asked(Millis(50));
    for (const Effect &Did : std::vector<Effect>(One.Out)) {
      const auto *Fetch = std::get_if<FetchFromOrigin>(&Did);
      if (Fetch == nullptr)
        continue;
      Draws += Fetch->Chunk.Number == Own ? 0 : 1;
      chunkFromOrigin(One.Transfer, One.Weights, Fetch->Chunk.Content, {},
                      One.Now, One.Out);
    }
  }
  BOOST_TEST(Draws <= 5U);
}
