/** @file staging_test.cpp Staging of chunks in the slots of an engine. */
// Labels: promise-1 weights

#include "one_host.h"
#include "weights/staging_func.h"
#include "weights/upload_func.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace jacinthpond;

namespace {

using Texts = std::vector<std::string>;

/** A host whose engine has slots; carries out what is decided about them. */
struct StagingHost {
  explicit StagingHost(const Texts &Loaded) : Staged(Loaded) {
    One.Weights.StagedAtEngine = true;
    want(Loaded);
    for (const ChunkRef &Slot : unknownSlots(One.Transfer, One.Weights))
      recordSlotRead(One.Transfer, One.Weights, read(Slot, false), One.Now);
    One.Weights.Loaded = One.Weights.Wanted.Set;
  }

  void want(const Texts &Chunks) {
    ModelVersion Version = makeModelVersion(Chunks);
    Version.ChunkBytes = 1;
    One.setWantedVersion(Version);
  }

  SlotRead read(const ChunkRef &Slot, bool WithBytes) const {
    SlotRead Read{Slot, true, {}};
    if (Slot.Number < Staged.size())
      Read.Found = digestChunk(makeChunkBytes(Staged[Slot.Number]));
    if (!WithBytes)
      Read.Found.Bytes.reset();
    return Read;
  }

  /** A peer sends a chunk. */
  void receive(const std::string &Text) {
    One.Out.clear();
    One.receiveChunk(PeerA, Text, Text);
    collect();
  }

  /** Carries out reads and writes of slots, one after the other, until none is
   * left or as many as given were carried out. */
  void run(size_t Most = 1000) {
    for (size_t n = 0; n < Most; ++n) {
      One.Out.clear();
      advanceTransfer(One.Transfer, One.Weights, One.Now, One.Out);
      collect();
      if (Todo.empty())
        return;
      const Effect Next = Todo.front();
      Todo.pop_front();
      MaxHeld = std::max(MaxHeld, One.Weights.Held.size());
      if (const auto *Slot = std::get_if<ReadSlot>(&Next))
        recordSlotRead(One.Transfer, One.Weights, read(Slot->Slot, true),
                       One.Now);
      if (const auto *Stage = std::get_if<StageChunk>(&Next))
        write(*Stage);
    }
  }

  void write(const StageChunk &Stage) {
    ++Writes;
    Staged.resize(std::max(Staged.size(), Stage.Chunk.Number + 1));
    if (TakesWrites)
      Staged[Stage.Chunk.Number] = *Stage.Bytes;
    recordStagedChunk(One.Transfer, One.Weights, Stage.Chunk, TakesWrites,
                      One.Now);
  }

  void collect() {
    std::ranges::copy_if(One.Out, std::back_inserter(Todo), [](const auto &e) {
      return std::holds_alternative<ReadSlot>(e) ||
             std::holds_alternative<StageChunk>(e);
    });
  }

  bool isComplete(const Texts &Wanted) const {
    return isWantedSetComplete(One.Weights) && Staged == Wanted;
  }

  TransferHost One;
  Texts Staged; ///< What is in the slots.
  std::deque<Effect> Todo;
  size_t MaxHeld = 0;
  size_t Writes = 0;
  bool TakesWrites = true;
};

/** Gives 48 different chunks. */
Texts distinctChunks() {
  Texts All;
  for (int n = 0; n < 48; ++n)
    All.push_back(std::to_string(n));
  return All;
}

} // namespace

// Guards against sets that count as complete with a slot that was never
// written: two chunks of a version are equal.
BOOST_AUTO_TEST_CASE(AnEqualChunkIsFetchedOnceAndStagedInEachSlot) {
  StagingHost Test({"a", "b", "c"});
  const Texts Second{"x", "y", "x"};
  Test.want(Second);
  BOOST_TEST(Test.One.Transfer.Missing.size() == 3U);
  BOOST_TEST(Test.One.Transfer.ToFetch.size() == 2U);
  Test.receive("x");
  BOOST_TEST(Test.One.Transfer.ToFetch.size() == 1U);
  BOOST_TEST(!isWantedSetComplete(Test.One.Weights));
  Test.receive("y");
  BOOST_TEST(Test.One.Transfer.ToFetch.empty());
  Test.run();
  BOOST_TEST(Test.isComplete(Second));
  BOOST_TEST(Test.One.Weights.Held.empty());
}

// Guards against announcements that claim a chunk whose content is not here,
// because its number is not the first one with that content.
BOOST_AUTO_TEST_CASE(EqualChunksAreAnnouncedTogether) {
  StagingHost Test({"a", "b", "c"});
  Test.want({"x", "y", "x"});
  Test.One.Out.clear();
  const auto Announced = [&] {
    Test.One.advanceAndListAskedPeers(Millis(60));
    for (const Effect &One : Test.One.Out)
      if (const auto *Sent = std::get_if<SendMessage>(&One))
        if (const auto *Have = std::get_if<ChunkHave>(&Sent->Content))
          return static_cast<int>(Have->Held.at(0));
    return -1;
  };
  BOOST_TEST(Announced() == 0);
  Test.receive("x");
  BOOST_TEST(Announced() == 5);
}

// Guards against sets that count as complete while each chunk is in another's
// slot, and against slots that are overwritten with the only copy of a chunk.
BOOST_AUTO_TEST_CASE(MovedChunksAreStagedWithoutATransfer) {
  const Texts First = distinctChunks();
  for (const int Distance : {1, 7, 24, 47}) {
    StagingHost Test(First);
    Texts Second = First;
    std::rotate(Second.begin(), Second.begin() + Distance, Second.end());
    Test.want(Second);
    BOOST_TEST(!isWantedSetComplete(Test.One.Weights));
    BOOST_TEST(Test.One.Transfer.ToFetch.empty());
    Test.run();
    BOOST_TEST(Test.isComplete(Second));
    BOOST_TEST(Test.Writes == First.size());
    BOOST_TEST(Test.MaxHeld <= 6U);
    BOOST_TEST(Test.One.Weights.Held.empty());
  }
}

// Guards against the same where some have moved, some repeat and some are new.
BOOST_AUTO_TEST_CASE(MovedEqualAndNewChunksAreStagedTogether) {
  const Texts First = distinctChunks();
  StagingHost Test(First);
  Texts Second;
  for (size_t n = 0; n < First.size(); ++n)
    Second.push_back(n % 4 == 0 ? "new " + std::to_string(n % 12)
                                : First[(n * 5 + 3) % 24]);
  Test.want(Second);
  BOOST_TEST(Test.One.Transfer.ToFetch.size() == 3U);
  for (const char *Text : {"new 0", "new 8", "new 4"}) {
    Test.run(9);
    Test.receive(Text);
  }
  Test.run();
  BOOST_TEST(Test.isComplete(Second));
}

// Guards against chunks that are lost when the version changes while they are
// being moved.
BOOST_AUTO_TEST_CASE(AVersionMayBeRevertedWhileChunksMove) {
  const Texts First = distinctChunks();
  Texts Second = First;
  std::ranges::reverse(Second);
  for (size_t Steps = 1; Steps < 100; Steps += 7) {
    StagingHost Test(First);
    Test.want(Second);
    Test.run(Steps);
    Test.One.Weights.Loaded = {};
    Test.want(First);
    Test.run();
    for (const size_t n : std::set(Test.One.Transfer.ToFetch))
      Test.receive(First[n]);
    Test.run();
    BOOST_TEST(Test.isComplete(First));
  }
}

// Guards against a slot that counts as filled although it was damaged there,
// and against the good copy of an equal chunk being dropped with it.
BOOST_AUTO_TEST_CASE(ADamagedSlotIsFilledFromAnEqualChunk) {
  StagingHost Test({"a", "b", "a"});
  Test.One.Weights.Loaded = {};
  Test.Staged[2] = "damaged";
  ChunkRef Slot = Test.One.Transfer.Version;
  Slot.Number = 2;
  const Digest Before = recordSlotRead(Test.One.Transfer, Test.One.Weights,
                                       Test.read(Slot, false), Test.One.Now);
  BOOST_TEST(Before.Value == sha256("a").Value);
  BOOST_TEST(!isWantedSetComplete(Test.One.Weights));
  BOOST_TEST(Test.One.Transfer.ToFetch.empty());
  Test.run();
  BOOST_TEST(Test.isComplete({"a", "b", "a"}));
}

// Guards against chunks that are fetched again over the link, because the
// engine did not take them for a while.
BOOST_AUTO_TEST_CASE(AFailedWriteIsRetriedFromMemory) {
  StagingHost Test({"a"});
  Test.want({"x"});
  Test.TakesWrites = false;
  Test.receive("x");
  Test.run();
  BOOST_TEST(Test.Writes == 1U);
  BOOST_TEST(Test.One.Transfer.ToFetch.empty());
  Test.TakesWrites = true;
  Test.One.Now += Millis(200);
  Test.run();
  BOOST_TEST(Test.isComplete({"x"}));
}

// Guards against an engine that does not answer being taken for one that has
// lost its chunks.
BOOST_AUTO_TEST_CASE(AReadWithoutAnAnswerChangesNothing) {
  StagingHost Test({"a"});
  ChunkRef Slot = Test.One.Transfer.Version;
  recordSlotRead(Test.One.Transfer, Test.One.Weights, {Slot, false, {}},
                 Test.One.Now);
  BOOST_TEST(isWantedSetComplete(Test.One.Weights));
}

// Guards against peers that get nothing, because a chunk is in another slot
// than the one with its number.
BOOST_AUTO_TEST_CASE(AMovedChunkIsSentFromTheSlotItIsIn) {
  StagingHost Test({"a", "b"});
  Test.want({"b", "c"});
  Test.One.Out.clear();
  queueUpload(Test.One.Transfer, Test.One.Weights, PeerB, {sha256("b")},
              Test.One.Out);
  sendUploads(Test.One.Transfer, Test.One.Weights, Test.One.Now, Test.One.Out);
  BOOST_REQUIRE(!Test.One.Out.empty());
  const auto *Sent = std::get_if<SendStagedChunk>(&Test.One.Out.back());
  BOOST_REQUIRE(Sent != nullptr);
  BOOST_TEST(Sent->Chunk.Number == 1U);
}
