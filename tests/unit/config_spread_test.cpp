/** @file config_spread_test.cpp Versions from service and peers; joining. */
// Labels: promise-9

#include "config_view_func.h"
#include "entry_func.h"
#include "join_func.h"
#include "reader_rank_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond;

namespace {

/** Four entries, all in domain d; "x" tells two documents apart. */
std::string document(uint64_t Version, const std::string &x = "x") {
  std::string Text = "{\"version\": " + std::to_string(Version) +
                     ", \"tenants\": [{\"name\": \"" + x +
                     "\"}], \"entries\": [";
  for (const char *Name : {"a", "b", "c", "e"})
    Text += std::string(Name == std::string("a") ? "" : ", ") +
            R"({"name": ")" + Name +
            R"(", "domain": "d", "callers": "127.0.0.1:1", )"
            R"("peers": "127.0.0.1:2"})";
  return Text + "]}";
}

/** One entry whose peers are played by the test. */
struct OneEntry {
  OneEntry() {
    Settings Config;
    Config.Name = "a";
    Config.Domain = "d";
    Config.HeartbeatMillis = 500;
    Config.LinkSilenceMillis = 2500;
    Config.ReconnectMillis = 300;
    Config.PauseGapMillis = 2000;
    Config.CutOffMillis = 3000;
    Config.JoinWaitMillis = 1500;
    State = makeEntry(Config, Incarnation{7}, Now);
  }

  void read(const std::string &Text) {
    entryConfigRead(State, {Text, {}}, Now, Now, Out);
  }

  /** Lets time pass in ticks of the usual length. */
  void pass(Millis Time) {
    for (Millis n{0}; n < Time; n += Millis{50}) {
      Now += Millis{50};
      entryTick(State, Now, Out);
    }
  }

  /** The peer of a wanted link says hello. */
  LinkId greet(const std::string &Name, uint64_t Version, bool Fresh) {
    const LinkId Link = *State.Fleet.Wanted.at(HostName{Name}).Link;
    entryLinkOpened(State, Link, Now, Out);
    Hello Peer;
    Peer.Name.Value = Name;
    Peer.Version.Value = Version;
    Peer.Fresh = Fresh;
    entryMessage(State, Link, Peer, Now, Out);
    return Link;
  }

  void push(LinkId Link, const std::string &Text, bool Fresh) {
    entryMessage(State, Link, ConfigPush{Text, Fresh}, Now, Out);
  }

  /** All peers say hello and answer the first question. */
  void joinAll(uint64_t Version) {
    pass(Millis{50}); // Opens the links.
    for (const char *Name : {"b", "c", "e"})
      push(greet(Name, Version, true), "", true);
    pass(Millis{100});
  }

  size_t pullsSent() const {
    return static_cast<size_t>(std::ranges::count_if(Out, [](const Effect &e) {
      const auto *Sent = std::get_if<SendMessage>(&e);
      const auto *Pull =
          Sent == nullptr ? nullptr : std::get_if<ConfigPull>(&Sent->Content);
      return Pull != nullptr && !Pull->Probe;
    }));
  }

  uint64_t version() const { return versionInForce(State.View).Value; }
  bool fresh() const { return viewIsFresh(State.Fleet); }

  TimePoint Now{std::chrono::hours{1}};
  EntryState State;
  Effects Out;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigSpread, OneEntry)

// A caller's request for a domain that was taken out is served by a new entry.
// The service is stale, the new entry reads version 3 from it while its peers
// have 4. Cause: it served before it had asked them.
BOOST_AUTO_TEST_CASE(ANewEntryServesNoOlderVersionThanItsPeers) {
  read(document(3));
  pass(Millis{100});
  BOOST_TEST(!fresh());
  const LinkId Peer = greet("b", 4, true);
  push(Peer, "", true);
  pass(Millis{2000});
  BOOST_TEST(!fresh());
  push(Peer, document(4), true);
  pass(Millis{100});
  BOOST_TEST(version() == 4U);
  BOOST_TEST(fresh());
}

BOOST_AUTO_TEST_CASE(WithoutPeersTheServiceIsEnoughAfterTheWait) {
  read(document(3));
  pass(Millis{1400});
  BOOST_TEST(!fresh());
  pass(Millis{200});
  BOOST_TEST(fresh());
}

BOOST_AUTO_TEST_CASE(NoVersionIsEverTakenBack) {
  read(document(5));
  joinAll(5);
  read(document(4));
  push(*State.Fleet.Wanted.at(HostName{"b"}).Link, document(3), true);
  read(document(5, "other"));
  read("{\"version\": 9, \"nonsense\": 1}");
  read("\xff garbage");
  BOOST_TEST(version() == 5U);
  BOOST_TEST(State.View.Conflicts == 1U);
  BOOST_TEST(State.View.Refused == 2U);
  read(document(6));
  BOOST_TEST(version() == 6U);
}

// Every entry's link is filled with copies of a document of 1 MB whenever a
// version is published. Cause: it was pulled from each peer that told it.
BOOST_AUTO_TEST_CASE(ADocumentIsPulledFromOnePeerAtATime) {
  read(document(5));
  joinAll(5);
  Out.clear();
  Heartbeat Beat;
  Beat.Version.Value = 6;
  for (const char *Name : {"b", "c", "e"}) {
    ++Beat.Sequence;
    entryMessage(State, *State.Fleet.Wanted.at(HostName{Name}).Link, Beat, Now,
                 Out);
  }
  BOOST_TEST(pullsSent() == 1U);
  pass(Millis{900});
  BOOST_TEST(pullsSent() == 1U);
  pass(Millis{200}); // The peer is silent: another one is asked.
  BOOST_TEST(pullsSent() == 2U);
}

BOOST_AUTO_TEST_CASE(ASilentReaderIsReplacedByTheNextRank) {
  read(document(5));
  joinAll(5);
  const std::vector<HostName> Order =
      readerOrder(*State.View.InForce, DomainName{"d"});
  const auto Self = std::ranges::find(Order, HostName{"a"});
  const size_t Rank = static_cast<size_t>(Self - Order.begin());
  BOOST_TEST(isReader(State.View, State.Fleet) == (Rank < ReadersPerDomain));
  pass(Millis{2600}); // All peers are silent, so their links are closed.
  BOOST_TEST(isReader(State.View, State.Fleet));
}

// Calls on the service rise to thousands a second when it has gone back to an
// older version: it answers every watch at once.
BOOST_AUTO_TEST_CASE(AUselessAnswerIsFollowedByALongerWait) {
  read(document(5));
  joinAll(5);
  Millis Before{-1};
  for (int n = 0; n < 4; ++n) {
    State.Fleet.Joining.Fresh = false; // Makes it a reader whatever its rank.
    const Millis Delay = nextRead(State.View, State.Fleet, 1).Delay;
    BOOST_TEST(Delay.count() > Before.count());
    Before = Delay;
    read(document(4));
  }
}

BOOST_AUTO_TEST_SUITE_END()
