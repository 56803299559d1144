/** @file codec_test.cpp Messages survive the codec; garbage is refused. */

#include "base/hash_func.h"
#include "codec/message_codec.h"
#include "membership/membership_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(AMessageComesBackAsItWas) {
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

// Control may cost a node 15 KB a second over 77 links, two heartbeats a second
// on each: 97 bytes are allowed for one that changes nothing.
BOOST_AUTO_TEST_CASE(AHeartbeatThatChangesNothingIsSmall) {
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
    heartbeatHeard(Receiver, LinkId{1}, std::get<Heartbeat>(Sent), TimePoint{});
    BOOST_TEST((Receiver.Links[LinkId{1}].Load.Weights == sha256("weights")));
  }
  BOOST_TEST_MESSAGE("bytes of a heartbeat: " << Bytes);
  BOOST_TEST(Bytes <= 97U);
}

// A bit flips between two hosts. Without a checksum the key of a booking
// changes, and the booking runs under a key that its caller never gave.
BOOST_AUTO_TEST_CASE(EveryFlippedBitIsNoticed) {
  AttemptStart Start;
  Start.Key.Value = "slot-17";
  const std::string Whole = encodeMessage(Start);
  for (size_t n = 0; n < Whole.size() * 8; ++n) {
    std::string Flipped = Whole;
    Flipped[n / 8] = static_cast<char>(Flipped[n / 8] ^ (1 << (n % 8)));
    BOOST_TEST(!outcomeOf([&] { return decodeMessage(Flipped); }).Value);
  }
}

BOOST_AUTO_TEST_CASE(EveryPrefixOfAMessageIsRefused) {
  const std::string Whole = encodeMessage(Heartbeat{});
  for (size_t n = 0; n < Whole.size(); ++n) {
    const auto Read =
        outcomeOf([&] { return decodeMessage(Whole.substr(0, n)); });
    BOOST_TEST(!Read.Value);
  }
}

BOOST_AUTO_TEST_CASE(AListOfChunksComesBackAsItWas) {
  ChunkListTold Told;
  Told.Model.Value = "m";
  Told.ChunkBytes = 32768;
  for (int n = 0; n < 64; ++n)
    Told.Chunks.push_back(sha256(std::to_string(n)));
  const Message Back =
      *outcomeOf([&] { return decodeMessage(encodeMessage(Told)); }).Value;
  BOOST_TEST((std::get<ChunkListTold>(Back).Chunks == Told.Chunks));
}
