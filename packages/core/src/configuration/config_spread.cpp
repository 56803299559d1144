/** @file config_spread.cpp How documents reach all processes. */

#include "configuration/config_spread_func.h"

#include "base/hash_func.h"
#include "base/overloaded.h"
#include "configuration/config_view_func.h"
#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "membership/membership_func.h"
#include "membership/roster_func.h"

#include <string>

namespace jacinthpond {

namespace {

/** Time after which a pull counts as lost and another peer is asked. */
constexpr Millis PullTimeout{1000};
/** Time for which a peer of the own domain is waited for, before a document is
 * pulled over a link between regions: a few ways there and back. */
constexpr Millis NearPullWait{100};

bool isNear(const Membership &Fleet, const PeerLink &Peer) {
  return Peer.Peer.Domain == Fleet.Self.Domain;
}

/**
 * Gives the peer to pull from: any of those with the highest version.
 * @param NearOnly Only those of the own domain.
 */
const PeerLink *newestPeer(const ConfigView &View, const Membership &Fleet,
                           bool NearOnly) {
  const PeerLink *Best = nullptr;
  uint64_t BestScore = 0;
  const std::string Key =
      Fleet.Self.Name.Value + "/" + std::to_string(Fleet.Pull.Sent);
  for (const auto &[Link, Peer] : Fleet.Links) {
    if (!isAhead(View, Peer) || (NearOnly && !isNear(Fleet, Peer)))
      continue;
    const uint64_t Score = rendezvousScore(Key, Peer.Peer.Name.Value);
    const bool Better = Best == nullptr || Peer.Version > Best->Version ||
                        (Peer.Version == Best->Version && Score > BestScore);
    if (!Better)
      continue;
    Best = &Peer;
    BestScore = Score;
  }
  return Best;
}

/**
 * Gives the peer to pull from now. Each domain has readers of the service, so
 * that a document is usually to be had near, and needs to cross to each domain
 * only once.
 */
const PeerLink *peerToPullFrom(const ConfigView &View, Membership &Fleet,
                               TimePoint Now) {
  const PeerLink *Any = newestPeer(View, Fleet, false);
  if (Any == nullptr) {
    Fleet.Pull.BehindSince.reset();
    return nullptr;
  }
  if (!Fleet.Pull.BehindSince)
    Fleet.Pull.BehindSince = Now;
  if (const PeerLink *Near = newestPeer(View, Fleet, true))
    return Near;
  const bool Waited = Now - *Fleet.Pull.BehindSince >= NearPullWait;
  return Waited || !viewIsFresh(Fleet) ? Any : nullptr;
}

/** Raises an alarm when a peer has another document of the same version. */
void compareDigests(const ConfigView &View, Membership &Fleet,
                    ConfigVersion Theirs, const Digest &TheirDigest,
                    Effects &Out) {
  if (!View.InForce || Theirs != versionInForce(View) ||
      TheirDigest == digestInForce(View) || TheirDigest == Fleet.AlarmedDigest)
    return;
  Fleet.AlarmedDigest = TheirDigest;
  Out.push_back(LogNote{LogPart::Config, LogLevel::Error,
                        "A peer has another document with version " +
                            std::to_string(Theirs.Value) +
                            "; the first one seen is kept."});
}

void answerPull(const ConfigView &View, const Membership &Fleet, LinkId Link,
                const ConfigPull &Pull, Effects &Out) {
  ConfigPush Push;
  Push.Fresh = viewIsFresh(Fleet);
  if (!Pull.Probe && versionInForce(View) > Pull.Have)
    Push.Text = View.InForce->Text;
  Out.push_back(SendMessage{Link, Push});
}

/** A peer that leaves may reach only this process: the others are told. */
void tellDeparture(Membership &Fleet, LinkId Link, TimePoint Now,
                   Effects &Out) {
  const PeerLink &Peer = Fleet.Links.at(Link);
  if (Peer.Leaving && Peer.State == LinkState::Ready)
    departureHeard(Fleet, {Peer.Peer.Name, Peer.Peer.Run, 0}, Now, Out);
}

FleetNews takePush(ConfigView &View, Membership &Fleet, LinkId Link,
                   const ConfigPush &Push, TimePoint Now, Effects &Out) {
  PeerLink &Peer = Fleet.Links.at(Link);
  Peer.Answered = true;
  Peer.AnsweredFresh = Peer.AnsweredFresh || Push.Fresh;
  if (Push.Text.empty())
    return FleetNews::Handled;
  if (Fleet.Pull.Link == Link)
    Fleet.Pull.Link.reset();
  const OfferResult Became = takeDocument(View, Fleet, Push.Text, Now, Out);
  // Validation is the same everywhere, so only another program version sends
  // an invalid document; it must not be pulled again and again.
  if (Became == OfferResult::Invalid)
    Peer.PushRefused = true;
  return Became == OfferResult::Accepted ? FleetNews::NewDocument
                                         : FleetNews::Handled;
}

} // namespace

OfferResult takeDocument(ConfigView &View, Membership &Fleet,
                         std::string_view Text, TimePoint Now, Effects &Out) {
  const OfferResult Became = offerDocument(View, Text, Now);
  if (Became == OfferResult::Invalid)
    Out.push_back(LogNote{LogPart::Config, LogLevel::Warn,
                          "Document refused: " + View.LastRefusal});
  if (Became == OfferResult::Conflict)
    Out.push_back(LogNote{LogPart::Config, LogLevel::Error,
                          "Two documents with one version; first one kept."});
  if (Became != OfferResult::Accepted)
    return Became;
  // A process that stood still, or was out of touch, hears late of what was
  // published meanwhile. Bounds that run from the publication would be longer
  // by that time if they were counted from when it was heard.
  View.PublishedAfter = Fleet.Joining.KnownCurrent;
  Fleet.Pull.BehindSince.reset();
  Fleet.Self.Version = versionInForce(View);
  Fleet.Self.ConfigDigest = digestInForce(View);
  Out.push_back(LogNote{
      LogPart::Config, LogLevel::Info,
      "event=version_in_force version=" +
          std::to_string(Fleet.Self.Version.Value) +
          " servers=" + std::to_string(View.InForce->Servers.size()) +
          " routes=" + std::to_string(View.InForce->Routes.size()) +
          " domains_out=" + std::to_string(View.InForce->DomainsOut.size()) +
          " view=" + (viewIsFresh(Fleet) ? "fresh" : "joining") +
          " at_most_ms=" +
          (View.PublishedAfter
               ? std::to_string(toMillis(Now - *View.PublishedAfter).count())
               : "-")});
  // Entries tell everybody at once. What an agent adds is for its own domain;
  // all agents telling all others would be most bytes between regions.
  if (Fleet.Self.Sender == Role::Agent)
    sendHeartbeatsNear(Fleet, View, Now, Out);
  else
    sendHeartbeats(Fleet, View, Now, Out);
  return Became;
}

void pullWhenBehind(const ConfigView &View, Membership &Fleet, TimePoint Now,
                    Effects &Out) {
  // A document has up to 1 MB and every peer may offer it at the same moment:
  // one pull at a time, given up when its link is gone or stays silent.
  const bool UnderWay = Fleet.Pull.Link &&
                        Fleet.Links.contains(*Fleet.Pull.Link) &&
                        Now - Fleet.Pull.At < PullTimeout;
  if (UnderWay)
    return;
  const PeerLink *Peer = peerToPullFrom(View, Fleet, Now);
  if (Peer == nullptr)
    return;
  Fleet.Pull.Link = Peer->Link;
  Fleet.Pull.At = Now;
  ++Fleet.Pull.Sent;
  Out.push_back(SendMessage{Peer->Link, ConfigPull{versionInForce(View)}});
}

FleetNews fleetMessage(ConfigView &View, Membership &Fleet, LinkId Link,
                       const Message &m, TimePoint Now, Effects &Out) {
  return std::visit(
      Overloaded{
          [&](const Hello &Peer) {
            helloHeard(Fleet, Link, Peer);
            noteLinkReady(Peer, Out);
            const bool NewEntry = rosterHello(Fleet, Link, Peer, Now, Out);
            compareDigests(View, Fleet, Peer.Version, Peer.ConfigDigest, Out);
            pullWhenBehind(View, Fleet, Now, Out);
            return NewEntry ? FleetNews::NewEntry : FleetNews::Handled;
          },
          [&](const EntrySeen &Seen) {
            return entrySeen(Fleet, Seen, Now, Out) ? FleetNews::NewEntry
                                                    : FleetNews::Handled;
          },
          [&](const Heartbeat &Beat) {
            heartbeatHeard(Fleet, Link, Beat, Now);
            tellDeparture(Fleet, Link, Now, Out);
            compareDigests(View, Fleet, Beat.Version, Beat.ConfigDigest, Out);
            pullWhenBehind(View, Fleet, Now, Out);
            return FleetNews::Handled;
          },
          [&](const LeavingNotice &Notice) {
            departureHeard(Fleet, Notice, Now, Out);
            return FleetNews::Handled;
          },
          [&](const ConfigPull &Pull) {
            answerPull(View, Fleet, Link, Pull, Out);
            return FleetNews::Handled;
          },
          [&](const ConfigPush &Push) {
            return takePush(View, Fleet, Link, Push, Now, Out);
          },
          [](const auto &) { return FleetNews::NotMine; }},
      m);
}

std::vector<LinkId> fleetTick(const ConfigView &View, Membership &Fleet,
                              TimePoint Now, Effects &Out) {
  noteStall(Fleet, Now);
  const std::vector<LinkId> Silent = membershipTick(Fleet, View, Now, Out);
  departureTick(Fleet, Now, Out);
  rosterTick(Fleet, Now);
  joinTick(View, Fleet, Now, Out);
  pullWhenBehind(View, Fleet, Now, Out);
  return Silent;
}

} // namespace jacinthpond
