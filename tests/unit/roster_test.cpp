/** @file roster_test.cpp Tests how entries find each other. */
// Labels: membership

#include "membership/join_func.h"
#include "membership/roster_func.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jacinthpond;

namespace {

/** Makes the hello of an entry. */
Hello entryHello(const std::string &Name) {
  Hello One;
  One.Name.Value = Name;
  One.Sender = Role::Entry;
  One.Domain.Value = "d";
  One.LinkAddress.Value = Name + ":1";
  One.CallerAddress.Value = Name + ":2";
  return One;
}

/** Makes the membership of a process without links. */
Membership membershipOf(const Hello &Self) {
  Membership Fleet;
  Fleet.Self = Self;
  return Fleet;
}

/** Adds a ready link to a peer. */
void addReadyLink(Membership &Fleet, LinkId Link, const Hello &Peer) {
  PeerLink &Row = Fleet.Links[Link];
  Row.Link = Link;
  Row.State = LinkState::Ready;
  Row.Peer = Peer;
}

/** Gives the names of the entries announced over a link. */
std::vector<std::string> announcedEntries(const Effects &Out, LinkId Link) {
  std::vector<std::string> Names;
  for (const Effect &One : Out)
    if (const auto *Sent = std::get_if<SendMessage>(&One);
        Sent != nullptr && Sent->Link == Link)
      if (const auto *Seen = std::get_if<EntryNotice>(&Sent->Content))
        Names.push_back(Seen->Name.Value);
  return Names;
}

} // namespace

BOOST_AUTO_TEST_CASE(ANewEntryAndItsPeersLearnOfEachOther) {
  Membership Fleet = membershipOf(entryHello("e1"));
  Effects Out;
  addReadyLink(Fleet, LinkId{1}, entryHello("e2"));
  BOOST_TEST(exchangeEntries(Fleet, LinkId{1}, entryHello("e2"), {}, Out));
  addReadyLink(Fleet, LinkId{2}, entryHello("e3"));
  Out.clear();
  BOOST_TEST(exchangeEntries(Fleet, LinkId{2}, entryHello("e3"), {}, Out));
  BOOST_TEST(announcedEntries(Out, LinkId{1}) ==
             std::vector<std::string>{"e3"});
  BOOST_TEST(announcedEntries(Out, LinkId{2}) ==
             std::vector<std::string>{"e2"});
  BOOST_TEST(knownEntries(nullptr, Fleet).size() == 3U);
}

BOOST_AUTO_TEST_CASE(AnAgentRelaysEntriesToEachOther) {
  // A host is added while all seeds are down. It learns of the agents from the
  // platform and links to them; they have to relay the entries, or else it
  // finds no other entry and the directory lists it alone.
  Hello Agent;
  Agent.Name.Value = "w";
  Agent.Sender = Role::Agent;
  Membership Fleet = membershipOf(Agent);
  Effects Out;
  addReadyLink(Fleet, LinkId{1}, entryHello("e1"));
  exchangeEntries(Fleet, LinkId{1}, entryHello("e1"), {}, Out);
  addReadyLink(Fleet, LinkId{2}, entryHello("e2"));
  Out.clear();
  exchangeEntries(Fleet, LinkId{2}, entryHello("e2"), {}, Out);
  BOOST_TEST(announcedEntries(Out, LinkId{2}) ==
             std::vector<std::string>{"e1"});
  BOOST_TEST(announcedEntries(Out, LinkId{1}) ==
             std::vector<std::string>{"e2"});
}

BOOST_AUTO_TEST_CASE(AnEntryThatIsKnownIsNotAnnouncedAgain) {
  Membership Fleet = membershipOf(entryHello("e1"));
  Effects Out;
  const EntryNotice Seen{{"e2"}, {"d"}, {"e2:1"}, {"e2:2"}};
  BOOST_TEST(handleEntryNotice(Fleet, Seen, {}, Out));
  BOOST_TEST(!handleEntryNotice(Fleet, Seen, {}, Out));
  BOOST_TEST(
      !handleEntryNotice(Fleet, {{"e1"}, {"d"}, {"x:1"}, {"x:2"}}, {}, Out));
}

BOOST_AUTO_TEST_CASE(AnEntryWithoutALinkIsRemovedAfterAMinute) {
  Membership Fleet = membershipOf(entryHello("e1"));
  Effects Out;
  handleEntryNotice(Fleet, {{"e2"}, {"d"}, {"e2:1"}, {"e2:2"}}, {}, Out);
  handleEntryNotice(Fleet, {{"e3"}, {"d"}, {"e3:1"}, {"e3:2"}}, {}, Out);
  addReadyLink(Fleet, LinkId{1}, entryHello("e3"));
  const TimePoint Later = TimePoint{} + std::chrono::seconds(59);
  BOOST_TEST(!removeStaleEntries(Fleet, Later));
  BOOST_TEST(removeStaleEntries(Fleet, Later + std::chrono::seconds(2)));
  BOOST_TEST(knownEntries(nullptr, Fleet).size() == 2U);
}

BOOST_AUTO_TEST_CASE(APublishedListTakesPrecedence) {
  Membership Fleet = membershipOf(entryHello("e1"));
  Document Doc;
  Doc.Entries.push_back({{"p"}, {"d"}, {"p:1"}, {"p:2"}});
  BOOST_TEST(knownEntries(&Doc, Fleet).size() == 1U);
}
