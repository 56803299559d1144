/** @file server_rate_test.cpp Rate limits that back ends set for themselves. */
// Labels: routes admission

#include "admission/server_rate_func.h"
#include "forwarding/rate_share_func.h"
#include "forwarding/server_pool_func.h"
#include "platform/store_wire.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <vector>

using namespace jacinthpond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
/** Window in which a back end enforces its rate limit. */
constexpr Millis Window{4000};
constexpr Millis Step{20};
/** Time for which entries send as fast as the limit allows. */
constexpr Millis Length{20000};

/** Gives the number of requests that a back end with a rate limit accepts
 * within a window. */
double maxInWindow(double PerSecond) { return 1.5 * PerSecond * 4 + 5; }

/** Gives the largest number of requests within any window of a length. */
size_t maxWithin(const std::vector<TimePoint> &Times, Millis Long = Window) {
  size_t Most = 0;
  for (auto it = Times.begin(); it != Times.end(); ++it)
    Most = std::max(
        Most, static_cast<size_t>(
                  std::ranges::lower_bound(it, Times.end(), *it + Long) - it));
  return Most;
}

/** Entries that send to one plain back end, or to one worker whose agent is
 * silent. */
struct EntriesFixture {
  EntriesFixture(size_t Count, bool Worker, double ColdPerSecond = 0)
      : Pools(Count) {
    Document Doc;
    Service Spec;
    Spec.Name.Value = "s";
    Spec.Model.Value = Worker ? "m" : "";
    Spec.ColdPerSecond = ColdPerSecond;
    Doc.Services = {Spec};
    BackEndServer Server;
    Server.Id = Id;
    Server.Service.Value = "s";
    Server.Slots = 1000;
    Server.ColdFor = ColdPerSecond > 0 ? Length : Millis(0);
    Server.Weights.Value = Worker ? "m@1" : "";
    Doc.Servers = {Server};
    TestRoute.Target = Millis(400);
    const auto Shared = std::make_shared<const Document>(Doc);
    for (size_t n = 0; n < Count; ++n)
      Names.push_back({"entry-" + std::to_string(n)});
    for (size_t n = 0; n < Count; ++n) {
      Pools[n].Options.Self = Names[n];
      Pools[n].Random += n;
      applyPoolDocument(Pools[n], Shared, Start, Start);
    }
    connect(0, Count);
  }

  /** Makes some entries know of each other and of no others. */
  void connect(size_t First, size_t End) {
    for (size_t n = First; n < End; ++n) {
      Pools[n].Sharers.assign(Names.begin() + static_cast<ptrdiff_t>(First),
                              Names.begin() + static_cast<ptrdiff_t>(End));
      Pools[n].Entries = static_cast<uint32_t>(End - First);
    }
  }

  /** Sends a request of one entry, if its share of the limit allows it. */
  bool send(size_t n, TimePoint Now) {
    ServerNeeds Needs;
    Needs.Service.Value = "s";
    Needs.MatchedRoute = &TestRoute;
    if (chooseServer(Pools[n], Needs, Now).Server == nullptr)
      return false;
    recordAttemptStart(Pools[n], Id);
    countRequestWithoutSlot(Pools[n], Id, Now);
    recordAttemptEnd(Pools[n], Id, AttemptEnd::Dropped, {}, Now);
    return true;
  }

  /** Sends requests of all entries as fast as the limit allows, and gives when
   * they were sent. */
  std::vector<TimePoint> sendAll(std::optional<double> PerSecond) {
    for (ServerPool &One : Pools)
      recordAnswerRate(One, Id, PerSecond, Start, Start);
    std::vector<TimePoint> Times;
    for (TimePoint Now = Start; Now < Start + Length; Now += Step)
      for (size_t n = 0; n < Pools.size(); ++n)
        for (int Tries = 0; Tries < 100 && send(n, Now); ++Tries)
          Times.push_back(Now);
    return Times;
  }

  const InstanceId Id{"i"};
  Route TestRoute;
  std::vector<HostName> Names;
  std::vector<ServerPool> Pools;
};

constexpr std::array<double, 6> Limits = {0, 0.3, 1, 1.8, 2.7, 40};

} // namespace

// Guards against entries that each round up their share of a low limit.
BOOST_AUTO_TEST_CASE(AnyNumberOfEntriesTogetherKeepsALimit) {
  for (const bool Worker : {false, true})
    for (const size_t Count : {1U, 2U, 8U, 30U, 43U})
      for (const double PerSecond : Limits) {
        BOOST_TEST_CONTEXT(Count << " entries, " << PerSecond << " a second"
                                 << (Worker ? ", past an agent" : "")) {
          const auto Times = EntriesFixture(Count, Worker).sendAll(PerSecond);
          BOOST_TEST(maxWithin(Times) <= maxInWindow(PerSecond));
          // Some entry eventually checks whether the limit still holds.
          BOOST_TEST(!Times.empty());
        }
      }
}

// Guards against two halves of a partitioned fleet that each use a whole limit.
BOOST_AUTO_TEST_CASE(APartitionedFleetKeepsALimit) {
  for (const double PerSecond : {1.8, 2.7, 40.0}) {
    EntriesFixture All(8, false);
    All.connect(0, 4);
    All.connect(4, 8);
    BOOST_TEST(maxWithin(All.sendAll(PerSecond)) <= maxInWindow(PerSecond));
  }
}

// Guards against entries that each send one request per second to a cold back
// end regardless of their number.
BOOST_AUTO_TEST_CASE(EntriesKeepTheRateOfAColdBackEndTogether) {
  for (const size_t Count : {1U, 8U, 43U, 59U})
    for (const double PerSecond : {2.0, 8.0, 14.0, 36.0}) {
      const auto Times = EntriesFixture(Count, true, PerSecond).sendAll({});
      BOOST_TEST(static_cast<double>(maxWithin(Times, Millis(1000))) <=
                 1.5 * PerSecond + 5);
      BOOST_TEST(!Times.empty());
    }
}

BOOST_AUTO_TEST_CASE(EntriesTogetherUseMostOfALimit) {
  const auto Times = EntriesFixture(8, false).sendAll(2.7);
  const double Seconds = static_cast<double>(Length.count()) / 1000;
  BOOST_TEST(static_cast<double>(Times.size()) >= 0.6 * 2.7 * Seconds);
}

// Guards against a late answer that lifts a limit: its request was sent before
// the limit was stated.
BOOST_AUTO_TEST_CASE(ALateAnswerDoesNotLiftALimit) {
  ServerRate Rate;
  BOOST_CHECK(recordRateLimit(Rate, 2.7, Start) == RateChange::Set);
  BOOST_CHECK(recordNoRateLimit(Rate, Start - Millis(1)) == RateChange::None);
  BOOST_TEST(Rate.PerSecond.has_value());
  BOOST_CHECK(recordNoRateLimit(Rate, Start) == RateChange::Lifted);
  BOOST_TEST(!Rate.PerSecond.has_value());
  // An older notice of a peer does not set it again.
  BOOST_CHECK(recordRateLimit(Rate, 2.7, Start - Millis(1)) ==
              RateChange::None);
}

// Guards against an entry without a share of a limit that does not learn that
// the limit was lifted.
BOOST_AUTO_TEST_CASE(AnEntryWithoutAShareLearnsThatALimitWasLifted) {
  EntriesFixture All(30, false);
  for (ServerPool &One : All.Pools)
    recordAnswerRate(One, All.Id, 0.3, Start, Start);
  const TimePoint Now = Start + Millis(1000);
  size_t WithoutShare = 0;
  while (WithoutShare < All.Pools.size() && All.send(WithoutShare, Now))
    ++WithoutShare;
  BOOST_REQUIRE(WithoutShare < All.Pools.size());
  recordPeerRate(All.Pools[WithoutShare], {{}, All.Id, std::nullopt, 500}, Now);
  BOOST_TEST(All.send(WithoutShare, Now));
}

BOOST_AUTO_TEST_CASE(OnlyDecimalNumbersAreParsedAsLimits) {
  const StoreWire Wire;
  BOOST_TEST(Wire.parseRateLimit("2.7").value() == 2.7);
  BOOST_TEST(Wire.parseRateLimit("0").value() == 0);
  for (const char *Text : {"", " ", "-1", "-0", "nan", "inf", "1e3", "1e300",
                           "0x2", "2.7,2.7", "2.7 a second", "two", "."})
    BOOST_TEST(!Wire.parseRateLimit(Text).has_value(), Text);
}
