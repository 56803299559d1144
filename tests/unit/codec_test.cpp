/** @file codec_test.cpp Message round trips and corrupt frames. */

#include "base/hash_func.h"
#include "codec/message_codec.h"
#include "membership/membership_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(AMessageSurvivesARoundTrip) {
  AttemptStart Start;
  Start.Attempt.Value = "7-1";
  Start.Body = std::string("\0\xff body", 7);
  Start.RemainingMillis = 1234;
  const auto Read =
      outcomeOf([&] { return decodeMessage(encodeMessage(Start)); });
  BOOST_REQUIRE(Read.Value);
  const auto &Back = std::get<AttemptStart>(*Read.Value);
  BOOST_TEST(Back.Attempt.Value == Start.Attempt.Value);
  BOOST_TEST(Back.Body == Start.Body);
  BOOST_TEST(Back.RemainingMillis == 1234U);
}

// Control traffic of a node is limited to 15 KB/s over 77 links with two
// heartbeats per second each, which leaves 97 bytes for an unchanged heartbeat.
BOOST_AUTO_TEST_CASE(AnUnchangedHeartbeatIsSmall) {
  Membership Sender;
  Sender.Self.Run.Value = UINT64_MAX;
  Sender.Load.Weights = sha256("weights");
  Sender.Load.Limit = 16;
  Sender.Links[LinkId{1}].State = LinkState::Ready;
  ConfigView View;
  View.InForce = std::make_shared<const Document>();
  Membership Receiver;
  Receiver.Links[LinkId{1}].State = LinkState::Ready;
  size_t Bytes = 0;
  for (int n = 0; n < 3; ++n) {
    Effects Out;
    sendHeartbeats(Sender, View, TimePoint{}, Out);
    const Message &Sent = std::get<SendMessage>(Out.at(0)).Content;
    Bytes = encodeMessage(Sent).size();
    handleHeartbeat(Receiver, LinkId{1}, std::get<Heartbeat>(Sent),
                    TimePoint{});
    BOOST_TEST((Receiver.Links[LinkId{1}].Load.Weights == sha256("weights")));
  }
  BOOST_TEST_MESSAGE("bytes of a heartbeat: " << Bytes);
  BOOST_TEST(Bytes <= 97U);
}

// A bit flips in transit. Without a checksum an idempotency key could change,
// and the request would run under a key that its caller never sent.
BOOST_AUTO_TEST_CASE(EveryFlippedBitIsDetected) {
  AttemptStart Start;
  Start.Key.Value = "slot-17";
  const std::string Whole = encodeMessage(Start);
  for (size_t n = 0; n < Whole.size() * 8; ++n) {
    std::string Flipped = Whole;
    Flipped[n / 8] = static_cast<char>(Flipped[n / 8] ^ (1 << (n % 8)));
    BOOST_TEST(!outcomeOf([&] { return decodeMessage(Flipped); }).Value);
  }
}

BOOST_AUTO_TEST_CASE(EveryPrefixOfAMessageIsRejected) {
  const std::string Whole = encodeMessage(Heartbeat{});
  for (size_t n = 0; n < Whole.size(); ++n) {
    const auto Read =
        outcomeOf([&] { return decodeMessage(Whole.substr(0, n)); });
    BOOST_TEST(!Read.Value);
  }
}

BOOST_AUTO_TEST_CASE(AChunkListSurvivesARoundTrip) {
  ChunkListNotice Notice;
  Notice.Model.Value = "m";
  Notice.ChunkBytes = 32768;
  for (int n = 0; n < 64; ++n)
    Notice.Chunks.push_back(sha256(std::to_string(n)));
  const Message Back =
      *outcomeOf([&] { return decodeMessage(encodeMessage(Notice)); }).Value;
  BOOST_TEST((std::get<ChunkListNotice>(Back).Chunks == Notice.Chunks));
}
