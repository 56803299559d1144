/** @file config_spread.cpp Distributes documents among the processes. */

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

/** Time without an answer after which another peer may be pulled from. */
constexpr Millis PullTimeout{1000};
/** Time to wait for a peer of the own domain to have the document, before it is
 * pulled over a link between regions: a few round trips. */
constexpr Millis OwnDomainPullWait{100};

/** Says whether a peer is in the failure domain of this process. */
bool isInOwnDomain(const Membership &Fleet, const PeerLink &Peer) {
  return Peer.Peer.Domain == Fleet.Self.Domain;
}

/**
 * Gives the peer to pull from: one with the highest version, chosen by
 * rendezvous hashing.
 * @param OwnDomainOnly Considers only peers of the own domain.
 * @return The link to it; null when no peer is ahead.
 */
const PeerLink *newestPeer(const ConfigView &View, const Membership &Fleet,
                           bool OwnDomainOnly) {
  const PeerLink *Best = nullptr;
  uint64_t BestScore = 0;
  const std::string Key =
      Fleet.Self.Name.Value + "/" + std::to_string(Fleet.Pull.Sent);
  for (const auto &[Link, Peer] : Fleet.Links) {
    if (!isPeerAhead(View, Peer) ||
        (OwnDomainOnly && !isInOwnDomain(Fleet, Peer)))
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
 * Gives the peer to pull from now, preferably one of the own domain. Each
 * domain has readers of the configuration service, so a document is usually
 * available in the own domain and is transferred into each domain only once.
 * @return The link to it; null when there is none or a peer of the own domain
 * is still waited for.
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
  const bool Waited = Now - *Fleet.Pull.BehindSince >= OwnDomainPullWait;
  return Waited || !isViewFresh(Fleet) ? Any : nullptr;
}

/** Logs an error when a peer has a different document of the same version. */
void reportVersionConflict(const ConfigView &View, Membership &Fleet,
                           ConfigVersion Theirs, const Digest &TheirDigest,
                           Effects &Out) {
  if (!View.InForce || Theirs != versionInForce(View) ||
      TheirDigest == digestInForce(View) ||
      TheirDigest == Fleet.ReportedConflict)
    return;
  Fleet.ReportedConflict = TheirDigest;
  Out.push_back(LogNote{LogPart::Config, LogLevel::Error,
                        "A peer has a different document of version " +
                            std::to_string(Theirs.Value) +
                            "; keeping the first one seen."});
}

/** Answers a pull with a newer document, or a probe without any. */
void answerPull(const ConfigView &View, const Membership &Fleet, LinkId Link,
                const ConfigPull &Pull, Effects &Out) {
  ConfigPush Push;
  Push.Fresh = isViewFresh(Fleet);
  if (!Pull.Probe && versionInForce(View) > Pull.HeldVersion)
    Push.Text = View.InForce->Text;
  Out.push_back(SendMessage{Link, Push});
}

/** Relays that a peer is leaving: it may reach no other process itself. */
void relayDeparture(Membership &Fleet, LinkId Link, TimePoint Now,
                    Effects &Out) {
  const PeerLink &Peer = Fleet.Links.at(Link);
  if (Peer.Leaving && Peer.State == LinkState::Ready)
    recordDeparture(Fleet, {Peer.Peer.Name, Peer.Peer.Run, 0}, Now, Out);
}

/** Handles a peer's answer to a pull or probe. */
FleetMessageResult handlePush(ConfigView &View, Membership &Fleet, LinkId Link,
                              const ConfigPush &Push, TimePoint Now,
                              Effects &Out) {
  PeerLink &Peer = Fleet.Links.at(Link);
  Peer.Answered = true;
  Peer.AnsweredFresh = Peer.AnsweredFresh || Push.Fresh;
  if (Push.Text.empty())
    return FleetMessageResult::Handled;
  if (Fleet.Pull.Link == Link)
    Fleet.Pull.Link.reset();
  const OfferResult Verdict =
      applyDocument(View, Fleet, Push.Text, DocumentSource::Peer, Now, Out);
  // Validation is the same everywhere, so only a peer with another program
  // version sends an invalid document. It must not be pulled repeatedly.
  if (Verdict == OfferResult::Invalid)
    Peer.PushRefused = true;
  return Verdict == OfferResult::Accepted ? FleetMessageResult::NewDocument
                                          : FleetMessageResult::Handled;
}

} // namespace

OfferResult applyDocument(ConfigView &View, Membership &Fleet,
                          std::string_view Text, DocumentSource Source,
                          TimePoint Now, Effects &Out) {
  const std::string LastRefusal = View.RefusedSince ? View.LastRefusal : "";
  const OfferResult Verdict = offerDocument(View, Text, Now);
  // The service offers it again at each read.
  if (Verdict == OfferResult::Invalid && View.LastRefusal != LastRefusal)
    Out.push_back(LogNote{LogPart::Config, LogLevel::Warn,
                          "Document rejected: " + View.LastRefusal});
  if (Verdict == OfferResult::Conflict)
    Out.push_back(LogNote{LogPart::Config, LogLevel::Error,
                          "Two documents of the same version; keeping the "
                          "first one."});
  if (Verdict != OfferResult::Accepted)
    return Verdict;
  // A process that was stopped or out of contact learns late of a document that
  // was published meanwhile. Time limits that begin with the publication would
  // be longer by that delay if they were counted from the arrival.
  View.PublishedAfter = Fleet.Joining.KnownCurrentAt;
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
          " view=" + (isViewFresh(Fleet) ? "fresh" : "joining") +
          " at_most_ms=" +
          (View.PublishedAfter
               ? std::to_string(toMillis(Now - *View.PublishedAfter).count())
               : "-")});
  // Only the readers of the service tell other domains at once: heartbeats from
  // all to all would be most of the traffic between regions.
  if (Source == DocumentSource::Service)
    sendHeartbeats(Fleet, View, Now, Out);
  else
    sendHeartbeatsInDomain(Fleet, View, Now, Out);
  return Verdict;
}

void pullWhenBehind(const ConfigView &View, Membership &Fleet, TimePoint Now,
                    Effects &Out) {
  // A document may have 1 MB, and all peers may report it at the same moment.
  // So there is one pull at a time, abandoned when its link is lost or silent.
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

FleetMessageResult handleFleetMessage(ConfigView &View, Membership &Fleet,
                                      LinkId Link, const Message &m,
                                      TimePoint Now, Effects &Out) {
  return std::visit(
      Overloaded{[&](const Hello &Peer) {
                   handleHello(Fleet, Link, Peer);
                   logLinkReady(Peer, Out);
                   const bool NewEntry =
                       exchangeEntries(Fleet, Link, Peer, Now, Out);
                   reportVersionConflict(View, Fleet, Peer.Version,
                                         Peer.ConfigDigest, Out);
                   pullWhenBehind(View, Fleet, Now, Out);
                   return NewEntry ? FleetMessageResult::NewEntry
                                   : FleetMessageResult::Handled;
                 },
                 [&](const EntryNotice &Seen) {
                   return handleEntryNotice(Fleet, Seen, Now, Out)
                              ? FleetMessageResult::NewEntry
                              : FleetMessageResult::Handled;
                 },
                 [&](const Heartbeat &Beat) {
                   handleHeartbeat(Fleet, Link, Beat, Now);
                   relayDeparture(Fleet, Link, Now, Out);
                   reportVersionConflict(View, Fleet, Beat.Version,
                                         Beat.ConfigDigest, Out);
                   pullWhenBehind(View, Fleet, Now, Out);
                   return FleetMessageResult::Handled;
                 },
                 [&](const LeavingNotice &Notice) {
                   recordDeparture(Fleet, Notice, Now, Out);
                   return FleetMessageResult::Handled;
                 },
                 [&](const ConfigPull &Pull) {
                   answerPull(View, Fleet, Link, Pull, Out);
                   return FleetMessageResult::Handled;
                 },
                 [&](const ConfigPush &Push) {
                   return handlePush(View, Fleet, Link, Push, Now, Out);
                 },
                 [](const auto &) { return FleetMessageResult::Unrelated; }},
      m);
}

std::vector<LinkId> tickFleet(const ConfigView &View, Membership &Fleet,
                              TimePoint Now, Effects &Out) {
  detectStall(Fleet, Now);
  const std::vector<LinkId> Silent = tickMembership(Fleet, View, Now, Out);
  tickDepartures(Fleet, Now, Out);
  removeStaleEntries(Fleet, Now);
  tickJoin(View, Fleet, Now, Out);
  pullWhenBehind(View, Fleet, Now, Out);
  return Silent;
}

} // namespace jacinthpond
