/** @file fuzz_test.cpp Fuzz tests of all parsers of external input.
 *
 * The seed is fixed, so that failures are reproducible. For any input, a parser
 * either rejects it with a reason or returns a value that survives a round
 * trip; it never crashes or throws.
 */
// Labels: product

#include "attempts/home_token_func.h"
#include "base/hash_func.h"
#include "codec/message_codec.h"
#include "configuration/document_func.h"
#include "http/event_parser.h"
#include "http/request_framing.h"
#include "settings/settings_func.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace jacinthpond;

namespace {

constexpr uint64_t Seed = 20261202;

/** Mutates valid inputs. */
class Mutator {
public:
  /** Returns a random number below a bound; 0 if the bound is 0. */
  size_t randomBelow(size_t Bound) { return Bound == 0 ? 0 : Random() % Bound; }

  /** Applies one to four random mutations to a text. */
  std::string mutate(std::string Text) {
    for (size_t n = 1 + randomBelow(4); n > 0; --n)
      mutateOnce(Text);
    return Text;
  }

private:
  /** Cuts, erases, duplicates, inserts or flips bits at a random position. */
  void mutateOnce(std::string &Text) {
    const size_t At = randomBelow(Text.size() + 1);
    const size_t Length =
        randomBelow(std::min<size_t>(Text.size() - At, 16) + 1);
    switch (randomBelow(6)) {
    case 0:
      Text.resize(At);
      return;
    case 1:
      Text.erase(At, Length);
      return;
    case 2:
      Text.insert(At, Text.substr(randomBelow(Text.size() + 1), Length));
      return;
    case 3:
      Text.insert(At, 1, static_cast<char>(Random()));
      return;
    case 4:
      Text.insert(At, std::string(1 + randomBelow(64), "[{\"\x9b\x81\xbf\xff"
                                                       "9-"[randomBelow(9)]));
      return;
    default:
      if (At < Text.size())
        Text[At] = static_cast<char>(Text[At] ^ (1U << randomBelow(8)));
    }
  }

  std::mt19937_64 Random{Seed};
};

/** Removes the checksum of a frame. */
std::string withoutChecksum(const std::string &Frame) {
  return Frame.substr(0, Frame.size() - sizeof(uint64_t));
}

/** Appends a valid checksum to a frame. */
std::string withChecksum(std::string Frame) {
  uint64_t Sum = checksum64(Frame);
  for (size_t n = 0; n < sizeof(Sum); ++n, Sum >>= 8U)
    Frame += static_cast<char>(Sum & 0xffU);
  return Frame;
}

/** Encodes one default-constructed message of each type. */
template <size_t Index = 0>
std::vector<std::string> encodeEachMessage(std::vector<std::string> All = {}) {
  if constexpr (Index < std::variant_size_v<Message>) {
    All.push_back(encodeMessage(std::variant_alternative_t<Index, Message>{}));
    return encodeEachMessage<Index + 1>(std::move(All));
  } else {
    return All;
  }
}

/** Checks that a frame is rejected with a reason, or that its message survives
 * a round trip. */
void checkFrame(const std::string &Frame) {
  const auto Read = outcomeOf([&] { return decodeMessage(Frame); });
  if (!Read.Value) {
    BOOST_TEST_REQUIRE(!Read.Why.Detail.empty());
    return;
  }
  const std::string Again = encodeMessage(*Read.Value);
  const auto Back = outcomeOf([&] { return decodeMessage(Again); });
  BOOST_TEST_REQUIRE(Back.Value.has_value());
  BOOST_TEST_REQUIRE(encodeMessage(*Back.Value) == Again);
}

/** Callbacks and result of parsing one event stream. */
struct ParseTrace {
  std::string Calls;  ///< Callbacks, in order, with their arguments.
  bool Good = true;   ///< Whether the parser accepted all input.
  uint64_t Count = 0; ///< Token count of the end event; 0: none.
};

/** Parses a stream in pieces, split at the given offsets. */
ParseTrace parseInPieces(const std::string &Stream,
                         const std::vector<size_t> &Cuts) {
  ParseTrace Got;
  const std::function<bool(Digest)> OnBegin = [&](const Digest &Weights) {
    Got.Calls += "b:" + Weights.Value + ";";
    return true;
  };
  const std::function<bool(std::string)> OnToken = [&](const std::string &One) {
    Got.Calls += "t:" + One + ";";
    return true;
  };
  EventParser Parser{OnBegin, OnToken, {}, {}, false};
  size_t Start = 0;
  for (const size_t Cut : Cuts) {
    Got.Good =
        Parser.parseBytes(Stream.data() + Start, Cut - Start) && Got.Good;
    Start = Cut;
  }
  Got.Good = Parser.parseBytes(Stream.data() + Start, Stream.size() - Start) &&
             Got.Good;
  Got.Count = Parser.End ? Parser.End->Count : 0;
  return Got;
}

const std::string ValidDocument = R"({"version": 3, // a comment
  "classes": [{"name": "bookings", "service": "slots", "repeatable": false},
              {"name": "reports", "model": "trail", "serving_share": 0.5}],
  "tenants": [{"name": "huts", "weight": 2}],
  "models": [{"name": "trail", "version": "v1", "chunk_bytes": 4,
              "total_bytes": 3, "chunks": [
    "0000000000000000000000000000000000000000000000000000000000000000"]}],
  "workers": [{"name": "w", "domain": "d", "agent": "10.0.0.1:9",
               "model": "trail"}],
  "entries": [{"name": "e", "domain": "d", "callers": "10.0.0.1:1",
               "peers": "10.0.0.1:2"}],
  "domains_out": ["d"], "retry_horizon_ms": 30000})";

const std::string ValidSettings = R"({"name": "e", "domain": "d",
  "config_url": "http://10.0.0.1:80", "seed_peers": ["10.0.0.2:9"],
  "heartbeat_ms": 100, /* a comment */ "caller_listen": "10.0.0.1:0"})";

} // namespace

BOOST_AUTO_TEST_CASE(MessagesAreRejectedOrSurviveARoundTrip) {
  Mutator Fuzzer;
  const std::vector<std::string> Valid = encodeEachMessage();
  for (const std::string &One : Valid)
    checkFrame(One);
  for (size_t n = 0; n < 30000; ++n)
    checkFrame(
        withChecksum(Fuzzer.mutate(withoutChecksum(Valid[n % Valid.size()]))));
}

// A frame with a valid checksum has lists nested a million deep, or a list that
// declares 2^64-2 elements. The CBOR library recurses for the former and
// overflows the stack of each process that receives the frame; for the latter
// it throws even with exceptions turned off.
BOOST_AUTO_TEST_CASE(HostileFramesAreRejected) {
  const std::string Huge = "\x9b\xff\xff\xff\xff\xff\xff\xff\xfe";
  const std::string HugeMap = "\xbb\xff\xff\xff\xff\xff\xff\xff\xfe";
  for (const std::string &Body :
       {Huge, HugeMap, "\xa1\x61t" + Huge, std::string(1 << 20, '\x81'),
        std::string(1 << 20, '\xbf'), std::string()})
    BOOST_TEST(
        !outcomeOf([&] { return decodeMessage(withChecksum(Body)); }).Value);
}

// A caller sends a home token with a list whose declared length exceeds memory;
// anyone can make one with a valid checksum. The CBOR library throws for it
// even with exceptions turned off, and the caller got an internal error with
// unknown outcome.
BOOST_AUTO_TEST_CASE(HostileTokensAreRejected) {
  const std::string Huge = "\x9b\xff\xff\xff\xff\xff\xff\xff\xfe";
  for (const std::string &Bytes :
       {Huge, "\x83\x61t\x01" + Huge, std::string(3000, '\x81')}) {
    std::string Text;
    for (const unsigned char Byte : Bytes) {
      Text += "0123456789abcdef"[Byte / 16];
      Text += "0123456789abcdef"[Byte % 16];
    }
    Text += sha256(Bytes).Value.substr(0, 16);
    const auto Read = outcomeOf([&] { return readToken(Text); });
    BOOST_TEST(!Read.Value);
    BOOST_TEST((Read.Why.Kind == ErrorKind::BadRequest));
  }
}

BOOST_AUTO_TEST_CASE(DocumentsAreRejectedOrSurviveARoundTrip) {
  Mutator Fuzzer;
  BOOST_TEST(
      outcomeOf([] { return parseDocument(ValidDocument); }).Value.has_value());
  for (size_t n = 0; n < 6000; ++n) {
    const std::string Text = Fuzzer.mutate(ValidDocument);
    const auto Read = outcomeOf([&] { return parseDocument(Text); });
    BOOST_TEST_REQUIRE(Read.Value.has_value() == Read.Why.Detail.empty());
    if (!Read.Value)
      continue;
    const auto Again =
        outcomeOf([&] { return parseDocument((*Read.Value)->Text); });
    BOOST_TEST_REQUIRE((Again.Value && (*Again.Value)->ContentDigest ==
                                           (*Read.Value)->ContentDigest));
  }
}

BOOST_AUTO_TEST_CASE(SettingsAreRejectedWithAReason) {
  Mutator Fuzzer;
  for (size_t n = 0; n < 6000; ++n) {
    const std::string Text =
        n == 0 ? ValidSettings : Fuzzer.mutate(ValidSettings);
    const auto Read = outcomeOf(
        [&] { return parseSettings(Text, "f", SettingOwner::Entry); });
    BOOST_TEST_REQUIRE(Read.Value.has_value() == Read.Why.Detail.empty());
    BOOST_TEST_REQUIRE((n > 0 || Read.Value));
  }
}

BOOST_AUTO_TEST_CASE(EventsDoNotDependOnStreamFragmentation) {
  Mutator Fuzzer;
  const std::string Valid = "data: {\"begin\": \"abc\"}\n\n"
                            "data: {\"token\": \"one \"}\n\n: beat\n"
                            "data: {\"end\": 1, \"weights\": \"abc\"}\n\n";
  BOOST_TEST(parseInPieces(Valid, {}).Calls == "b:abc;t:one ;");
  for (size_t n = 0; n < 10000; ++n) {
    const std::string Stream = Fuzzer.mutate(Valid);
    std::vector<size_t> Cuts = {Fuzzer.randomBelow(Stream.size() + 1),
                                Fuzzer.randomBelow(Stream.size() + 1)};
    std::ranges::sort(Cuts);
    const ParseTrace Whole = parseInPieces(Stream, {});
    const ParseTrace Pieces = parseInPieces(Stream, Cuts);
    BOOST_TEST_REQUIRE(Whole.Calls == Pieces.Calls);
    BOOST_TEST_REQUIRE(Whole.Good == Pieces.Good);
    BOOST_TEST_REQUIRE(Whole.Count == Pieces.Count);
  }
}

BOOST_AUTO_TEST_CASE(RequestLengthIgnoresFollowingBytes) {
  Mutator Fuzzer;
  const std::string Valid =
      "POST /v1 HTTP/1.1\r\nContent-Length: 5\r\nExpect: x\r\n\r\nhello";
  for (size_t n = 0; n < 10000; ++n) {
    const std::string Text = Fuzzer.mutate(Valid);
    const Framing Whole = frameRequest(Text, {});
    const Framing More = frameRequest(Text + "more", {});
    BOOST_TEST_REQUIRE((Whole.Bytes == 0 || Whole.Bytes == More.Bytes));
    BOOST_TEST_REQUIRE((!Whole.Why || More.Why));
  }
}
