/** @file chunk_plan_test.cpp Ranks and links in whole fleets, rate limits. */
// Labels: promise-1 weights

#include "base/rate_limit_func.h"
#include "weights/chunk_plan_func.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numeric>
#include <set>

using namespace jacinthpond;

namespace {

constexpr size_t Domains = 3;
constexpr size_t Chunks = 50;

/** Builds a document with workers spread over the domains. */
Document makeFleet(size_t Hosts) {
  Document Doc;
  for (size_t n = 0; n < Hosts; ++n) {
    Worker Host;
    Host.Name.Value = "w" + std::to_string(n);
    Host.Domain.Value = "d" + std::to_string(n % Domains);
    Host.Agent.Value = "127.0.0.1:" + std::to_string(n + 1);
    Host.Model.Value = "m";
    Doc.Workers.push_back(Host);
  }
  return Doc;
}

/** Builds the plans of all hosts of a fleet. */
std::vector<ChunkPlan> makePlans(size_t Hosts) {
  const Document Doc = makeFleet(Hosts);
  std::vector<ChunkPlan> Plans;
  for (const Worker &Host : Doc.Workers)
    Plans.push_back(makeChunkPlan(Doc, Host.Name));
  return Plans;
}

} // namespace

// Each chunk is fetched from the origin by one host first, and imported first
// by one host of each domain that has a link to it.
BOOST_AUTO_TEST_CASE(EachChunkHasOneFetcherAndOneLinkedImporterPerDomain) {
  for (const size_t Hosts : {1, 2, 5, 16, 40, 101}) {
    const std::vector<ChunkPlan> Plans = makePlans(Hosts);
    std::set<std::pair<HostName, HostName>> Links;
    for (const ChunkPlan &Plan : Plans)
      for (const PeerAddress &Peer : chunkPeers(Plan)) {
        Links.emplace(Plan.Hosts[Plan.Self].Name, Peer.Name);
        Links.emplace(Peer.Name, Plan.Hosts[Plan.Self].Name);
      }
    for (size_t n = 0; n < Chunks; ++n) {
      std::map<DomainName, size_t> Importers;
      HostName Fetcher;
      for (const ChunkPlan &Plan : Plans)
        if (originRank(Plan, n) == 0)
          Fetcher = Plan.Hosts[Plan.Self].Name;
      BOOST_TEST(!Fetcher.Value.empty());
      for (const ChunkPlan &Plan : Plans) {
        const PlanHost &Self = Plan.Hosts[Plan.Self];
        if (importRank(Plan, n) != 0)
          continue;
        ++Importers[Self.Domain];
        BOOST_TEST(
            (Self.Name == Fetcher || Links.contains({Self.Name, Fetcher})));
      }
      BOOST_TEST(Importers.size() == std::min(Domains, Hosts));
      for (const auto &[Domain, Count] : Importers)
        BOOST_TEST(Count == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(LinksAreFewAndConnectTheFleet) {
  for (const size_t Hosts : {2, 16, 100, 490}) {
    const std::vector<ChunkPlan> Plans = makePlans(Hosts);
    std::map<HostName, std::set<HostName>> Near;
    for (const ChunkPlan &Plan : Plans) {
      const auto Peers = chunkPeers(Plan);
      const double InDomain = std::ceil(static_cast<double>(Hosts) / Domains);
      BOOST_TEST(static_cast<double>(Peers.size()) <=
                 std::log2(InDomain) + 1 + 2 * (Domains - 1));
      for (const PeerAddress &Peer : Peers) {
        Near[Plan.Hosts[Plan.Self].Name].insert(Peer.Name);
        Near[Peer.Name].insert(Plan.Hosts[Plan.Self].Name);
      }
    }
    std::vector<HostName> Reached{Plans[0].Hosts[0].Name};
    std::set<HostName> Seen(Reached.begin(), Reached.end());
    for (size_t n = 0; n < Reached.size(); ++n)
      for (const HostName &Next : Near[Reached[n]])
        if (Seen.insert(Next).second)
          Reached.push_back(Next);
    BOOST_TEST(Reached.size() == Hosts);
  }
}

BOOST_AUTO_TEST_CASE(TheRateLimitHoldsForAnyTimeStep) {
  for (const int Step : {1, 7, 50, 90}) {
    RateLimit Limit;
    Limit.PerSecond = 100000;
    TimePoint Now{};
    uint64_t Sent = 0;
    for (; Now < TimePoint{} + Millis(10000); Now += Millis(Step))
      while (isWithinRate(Limit, Now)) {
        takeRateTokens(Limit, 3000);
        Sent += 3000;
      }
    BOOST_TEST(Sent <= 1000000U + 13000U);
    BOOST_TEST(Sent >= 980000U);
  }
}

// Guards against answers delayed by chunks on the link between domains.
BOOST_AUTO_TEST_CASE(ChunksYieldToLiveTrafficButAreNotStarved) {
  for (const auto &[Live, Expected] :
       {std::pair{0U, 1000000U}, {60000U, 400000U}, {500000U, 100000U}}) {
    RateLimit Limit;
    Limit.PerSecond = 100000;
    uint64_t Sent = 0;
    const TimePoint End{Millis(11000)};
    for (TimePoint Now{Millis(1000)}; Now < End; Now += Millis(10)) {
      countLiveTraffic(Limit, Live / 100, Now);
      while (isWithinRate(Limit, Now)) {
        takeRateTokens(Limit, 1000);
        Sent += 1000;
      }
    }
    BOOST_TEST(Sent <= Expected + 40000);
    BOOST_TEST(Sent >= Expected * 0.95);
  }
}
