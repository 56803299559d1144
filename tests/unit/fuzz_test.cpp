/** @file fuzz_test.cpp Seeded mutations of everything that comes from outside.
 *
 * Whatever the bytes, a reader refuses with a reason or gives a value that it
 * would read again alike; it never crashes or throws.
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

/** Makes wrong texts out of right ones. */
class Mutator {
public:
  size_t below(size_t Bound) { return Bound == 0 ? 0 : Random() % Bound; }

  std::string mutate(std::string Text) {
    for (size_t n = 1 + below(4); n > 0; --n)
      mutateOnce(Text);
    return Text;
  }

private:
  void mutateOnce(std::string &Text) {
    const size_t At = below(Text.size() + 1);
    const size_t Length = below(std::min<size_t>(Text.size() - At, 16) + 1);
    switch (below(6)) {
    case 0:
      Text.resize(At);
      return;
    case 1:
      Text.erase(At, Length);
      return;
    case 2:
      Text.insert(At, Text.substr(below(Text.size() + 1), Length));
      return;
    case 3:
      Text.insert(At, 1, static_cast<char>(Random()));
      return;
    case 4:
      Text.insert(At, std::string(1 + below(64), "[{\"\x9b\x81\xbf\xff"
                                                 "9-"[below(9)]));
      return;
    default:
      if (At < Text.size())
        Text[At] = static_cast<char>(Text[At] ^ (1U << below(8)));
    }
  }

  std::mt19937_64 Random{Seed};
};

/** Gives a frame without its checksum, and puts a right one on. */
std::string bare(const std::string &Frame) {
  return Frame.substr(0, Frame.size() - sizeof(uint64_t));
}
std::string sealed(std::string Frame) {
  uint64_t Sum = checksum64(Frame);
  for (size_t n = 0; n < sizeof(Sum); ++n, Sum >>= 8U)
    Frame += static_cast<char>(Sum & 0xffU);
  return Frame;
}

template <size_t Index = 0>
std::vector<std::string> oneOfEach(std::vector<std::string> All = {}) {
  if constexpr (Index < std::variant_size_v<Message>) {
    All.push_back(encodeMessage(std::variant_alternative_t<Index, Message>{}));
    return oneOfEach<Index + 1>(std::move(All));
  } else {
    return All;
  }
}

/** Reads a frame; a message that came out must survive the way back. */
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

/** What a parser made of a stream. */
struct Seen {
  std::string Calls;
  bool Good = true;
  uint64_t Count = 0;
};

Seen feed(const std::string &Stream, const std::vector<size_t> &Cuts) {
  Seen Got;
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
    Got.Good = Parser.take(Stream.data() + Start, Cut - Start) && Got.Good;
    Start = Cut;
  }
  Got.Good =
      Parser.take(Stream.data() + Start, Stream.size() - Start) && Got.Good;
  Got.Count = Parser.End ? Parser.End->Count : 0;
  return Got;
}

const std::string SomeDocument = R"({"version": 3, // a comment
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

const std::string SomeSettings = R"({"name": "e", "domain": "d",
  "config_url": "http://10.0.0.1:80", "seed_peers": ["10.0.0.2:9"],
  "heartbeat_ms": 100, /* a comment */ "caller_listen": "10.0.0.1:0"})";

} // namespace

BOOST_AUTO_TEST_CASE(MessagesAreRefusedOrComeBackAlike) {
  Mutator Any;
  const std::vector<std::string> Right = oneOfEach();
  for (const std::string &One : Right)
    checkFrame(One);
  for (size_t n = 0; n < 30000; ++n)
    checkFrame(sealed(Any.mutate(bare(Right[n % Right.size()]))));
}

// Story: one frame with a right checksum holds lists within lists a million
// deep, or a list that says it has 2^64-2 elements. The CBOR library recurses
// for the first, which ends the process that reads it and every process that
// it is sent to; for the second it throws, whatever it is told.
BOOST_AUTO_TEST_CASE(HostileFramesAreRefused) {
  const std::string Huge = "\x9b\xff\xff\xff\xff\xff\xff\xff\xfe";
  const std::string HugeMap = "\xbb\xff\xff\xff\xff\xff\xff\xff\xfe";
  for (const std::string &Body :
       {Huge, HugeMap, "\xa1\x61t" + Huge, std::string(1 << 20, '\x81'),
        std::string(1 << 20, '\xbf'), std::string()})
    BOOST_TEST(!outcomeOf([&] { return decodeMessage(sealed(Body)); }).Value);
}

// A caller sends a token whose list claims to be longer than memory: anybody
// can make one with a right checksum. The library throws for it though it is
// told not to, and the caller was told of an internal fault that may have run.
BOOST_AUTO_TEST_CASE(HostileTokensAreRefused) {
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

BOOST_AUTO_TEST_CASE(DocumentsAreRefusedOrReadAlike) {
  Mutator Any;
  BOOST_TEST(
      outcomeOf([] { return parseDocument(SomeDocument); }).Value.has_value());
  for (size_t n = 0; n < 6000; ++n) {
    const std::string Text = Any.mutate(SomeDocument);
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

BOOST_AUTO_TEST_CASE(SettingsAreRefusedWithAReason) {
  Mutator Any;
  for (size_t n = 0; n < 6000; ++n) {
    const std::string Text = n == 0 ? SomeSettings : Any.mutate(SomeSettings);
    const auto Read = outcomeOf(
        [&] { return parseSettings(Text, "f", SettingOwner::Entry); });
    BOOST_TEST_REQUIRE(Read.Value.has_value() == Read.Why.Detail.empty());
    BOOST_TEST_REQUIRE((n > 0 || Read.Value));
  }
}

BOOST_AUTO_TEST_CASE(EventsDoNotDependOnHowTheStreamIsCut) {
  Mutator Any;
  const std::string Right = "data: {\"begin\": \"abc\"}\n\n"
                            "data: {\"token\": \"one \"}\n\n: beat\n"
                            "data: {\"end\": 1, \"weights\": \"abc\"}\n\n";
  BOOST_TEST(feed(Right, {}).Calls == "b:abc;t:one ;");
  for (size_t n = 0; n < 10000; ++n) {
    const std::string Stream = Any.mutate(Right);
    std::vector<size_t> Cuts = {Any.below(Stream.size() + 1),
                                Any.below(Stream.size() + 1)};
    std::ranges::sort(Cuts);
    const Seen Whole = feed(Stream, {});
    const Seen Pieces = feed(Stream, Cuts);
    BOOST_TEST_REQUIRE(Whole.Calls == Pieces.Calls);
    BOOST_TEST_REQUIRE(Whole.Good == Pieces.Good);
    BOOST_TEST_REQUIRE(Whole.Count == Pieces.Count);
  }
}

BOOST_AUTO_TEST_CASE(RequestsEndWhereTheirFirstBytesSay) {
  Mutator Any;
  const std::string Right =
      "POST /v1 HTTP/1.1\r\nContent-Length: 5\r\nExpect: x\r\n\r\nhello";
  for (size_t n = 0; n < 10000; ++n) {
    const std::string Text = Any.mutate(Right);
    const Framing Whole = frameRequest(Text, {});
    const Framing More = frameRequest(Text + "more", {});
    BOOST_TEST_REQUIRE((Whole.Bytes == 0 || Whole.Bytes == More.Bytes));
    BOOST_TEST_REQUIRE((!Whole.Why || More.Why));
  }
}
