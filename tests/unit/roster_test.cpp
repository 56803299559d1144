/** @file roster_test.cpp Entries find each other from seeds. */
// Labels: membership

#include "membership/join_func.h"
#include "membership/roster_func.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jacinthpond;

namespace {

Hello entry(const std::string &Name) {
  Hello One;
  One.Name.Value = Name;
  One.Sender = Role::Entry;
  One.Domain.Value = "d";
  One.At.Value = Name + ":1";
  One.Callers.Value = Name + ":2";
  return One;
}

Membership fleetOf(const Hello &Self) {
  Membership Fleet;
  Fleet.Self = Self;
  return Fleet;
}

void link(Membership &Fleet, LinkId Link, const Hello &Peer) {
  PeerLink &Row = Fleet.Links[Link];
  Row.Link = Link;
  Row.State = LinkState::Ready;
  Row.Peer = Peer;
}

/** Names of entries told over a link. */
std::vector<std::string> told(const Effects &Out, LinkId Link) {
  std::vector<std::string> Names;
  for (const Effect &One : Out)
    if (const auto *Sent = std::get_if<SendMessage>(&One);
        Sent != nullptr && Sent->Link == Link)
      if (const auto *Seen = std::get_if<EntrySeen>(&Sent->Content))
        Names.push_back(Seen->Name.Value);
  return Names;
}

} // namespace

BOOST_AUTO_TEST_CASE(ANewEntryIsToldToAllAndLearnsOfAll) {
  Membership Fleet = fleetOf(entry("e1"));
  Effects Out;
  link(Fleet, LinkId{1}, entry("e2"));
  BOOST_TEST(rosterHello(Fleet, LinkId{1}, entry("e2"), {}, Out));
  link(Fleet, LinkId{2}, entry("e3"));
  Out.clear();
  BOOST_TEST(rosterHello(Fleet, LinkId{2}, entry("e3"), {}, Out));
  BOOST_TEST(told(Out, LinkId{1}) == std::vector<std::string>{"e3"});
  BOOST_TEST(told(Out, LinkId{2}) == std::vector<std::string>{"e2"});
  BOOST_TEST(knownEntries(nullptr, Fleet).size() == 3U);
}

BOOST_AUTO_TEST_CASE(AnAgentLeadsEntriesToEachOther) {
  // All seeds were down when a host was added. It read the servers from the
  // platform, linked to their agents, and found no other entry: the directory
  // named it alone.
  Hello Agent;
  Agent.Name.Value = "w";
  Agent.Sender = Role::Agent;
  Membership Fleet = fleetOf(Agent);
  Effects Out;
  link(Fleet, LinkId{1}, entry("e1"));
  rosterHello(Fleet, LinkId{1}, entry("e1"), {}, Out);
  link(Fleet, LinkId{2}, entry("e2"));
  Out.clear();
  rosterHello(Fleet, LinkId{2}, entry("e2"), {}, Out);
  BOOST_TEST(told(Out, LinkId{2}) == std::vector<std::string>{"e1"});
  BOOST_TEST(told(Out, LinkId{1}) == std::vector<std::string>{"e2"});
}

BOOST_AUTO_TEST_CASE(HearsayEndsWhereItIsKnown) {
  Membership Fleet = fleetOf(entry("e1"));
  Effects Out;
  const EntrySeen Seen{{"e2"}, {"d"}, {"e2:1"}, {"e2:2"}};
  BOOST_TEST(entrySeen(Fleet, Seen, {}, Out));
  BOOST_TEST(!entrySeen(Fleet, Seen, {}, Out));
  BOOST_TEST(!entrySeen(Fleet, {{"e1"}, {"d"}, {"x:1"}, {"x:2"}}, {}, Out));
}

BOOST_AUTO_TEST_CASE(AnEntryWithoutALinkIsForgottenAfterAMinute) {
  Membership Fleet = fleetOf(entry("e1"));
  Effects Out;
  entrySeen(Fleet, {{"e2"}, {"d"}, {"e2:1"}, {"e2:2"}}, {}, Out);
  entrySeen(Fleet, {{"e3"}, {"d"}, {"e3:1"}, {"e3:2"}}, {}, Out);
  link(Fleet, LinkId{1}, entry("e3"));
  const TimePoint Later = TimePoint{} + std::chrono::seconds(59);
  BOOST_TEST(!rosterTick(Fleet, Later));
  BOOST_TEST(rosterTick(Fleet, Later + std::chrono::seconds(2)));
  BOOST_TEST(knownEntries(nullptr, Fleet).size() == 2U);
}

BOOST_AUTO_TEST_CASE(APublishedListGoesFirst) {
  Membership Fleet = fleetOf(entry("e1"));
  Document Doc;
  Doc.Entries.push_back({{"p"}, {"d"}, {"p:1"}, {"p:2"}});
  BOOST_TEST(knownEntries(&Doc, Fleet).size() == 1U);
}
