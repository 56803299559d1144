/** @file link_subset_test.cpp Tests which links an entry keeps in small and
 * large fleets. */
// Labels: promise-9

#include "membership/link_subset_func.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

using namespace jacinthpond;

namespace {

/** Makes a document with hosts spread evenly over the domains. */
Document makeDocument(size_t Entries, size_t Workers, size_t Domains) {
  Document Doc;
  for (size_t n = 0; n < Entries; ++n)
    Doc.Entries.push_back({HostName{"e" + std::to_string(n)},
                           DomainName{std::to_string(n % Domains)},
                           {},
                           {}});
  for (size_t n = 0; n < Workers; ++n)
    Doc.Workers.push_back({HostName{"w" + std::to_string(n)},
                           DomainName{std::to_string(n % Domains)},
                           {},
                           ModelName{"m"},
                           {}});
  return Doc;
}

/** Makes the hello of the n-th entry. */
Hello entryHello(const Document &Doc, size_t n) {
  Hello Self;
  Self.Name = Doc.Entries[n].Name;
  Self.Domain = Doc.Entries[n].Domain;
  return Self;
}

} // namespace

BOOST_AUTO_TEST_CASE(ASmallFleetIsAFullMesh) {
  const Document Doc = makeDocument(9, 19, 3);
  BOOST_TEST(linkSubset(Doc, Doc.Entries, entryHello(Doc, 0)).size() ==
             8U + 19U);
}

// At the largest planned size each entry reaches all others over the links, and
// each worker is linked to an entry.
BOOST_AUTO_TEST_CASE(ALargeFleetIsLinkedInPartAndStaysConnected) {
  const Document Doc = makeDocument(390, 1800, 10);
  std::map<std::string, std::set<std::string>> Links;
  std::map<std::string, size_t> LinksOfWorker;
  for (size_t n = 0; n < Doc.Entries.size(); ++n) {
    const auto Peers = linkSubset(Doc, Doc.Entries, entryHello(Doc, n));
    BOOST_TEST(Peers.size() <= WorkersPerModel + 4 + 9);
    const std::string Self = Doc.Entries[n].Name.Value;
    for (const PeerAddress &Peer : Peers) {
      if (Peer.Name.Value.front() == 'w')
        ++LinksOfWorker[Peer.Name.Value];
      Links[Self].insert(Peer.Name.Value);
      Links[Peer.Name.Value].insert(Self);
    }
  }
  BOOST_TEST(LinksOfWorker.size() == 1800U);
  std::set<std::string> Reached{"e0"};
  std::vector<std::string> Next{"e0"};
  while (!Next.empty()) {
    const std::string From = Next.back();
    Next.pop_back();
    for (const std::string &To : Links[From])
      if (To.front() == 'e' && Reached.insert(To).second)
        Next.push_back(To);
  }
  BOOST_TEST(Reached.size() == 390U);
}
