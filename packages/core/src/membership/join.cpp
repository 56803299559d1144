/** @file join.cpp Decides whether the view of the fleet is fresh. */

#include "membership/join_func.h"

#include "configuration/config_view_func.h"
#include "membership/membership_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Time between two probes of a peer that has not answered. */
constexpr Millis ProbePeriod{300};
/** Gap between two ticks, normally 50 ms, after which messages that wait in the
 * sockets may be out of date. StartMargin in weights.cpp, the margin of
 * decisions by a document's age, has to be longer. */
constexpr Millis StallGap{1000};
/** Heartbeat periods after a stall in which the backlog of the sockets is
 * read. */
constexpr int StallHeartbeats = 2;

/** Says whether the peer's hello has arrived on a link. */
bool isReady(const PeerLink &Link) { return Link.State == LinkState::Ready; }

/** Says whether a ready peer can give a newer version than is in force here. */
bool isAnyPeerAhead(const ConfigView &View, const Membership &Fleet) {
  return std::ranges::any_of(Fleet.Links, [&](const auto &Row) {
    return isPeerAhead(View, Row.second);
  });
}

/** Says whether a ready peer has answered a probe with a fresh view. */
bool hasFreshPeerAnswer(const Membership &Fleet) {
  return std::ranges::any_of(Fleet.Links, [](const auto &Row) {
    return isReady(Row.second) && Row.second.AnsweredFresh;
  });
}

/** Says whether every wanted peer has answered or could not be reached. */
bool hasProbedAllPeers(const Membership &Fleet) {
  return std::ranges::all_of(Fleet.Wanted, [&](const auto &Row) {
    const WantedPeer &Peer = Row.second;
    if (!Peer.Link)
      return Peer.Failures > 0;
    const auto it = Fleet.Links.find(*Peer.Link);
    return it != Fleet.Links.end() && it->second.Answered;
  });
}

/**
 * Says whether the view has become fresh. A new process may have read an old
 * document from a stale configuration service and would use a domain again that
 * was taken out. So every peer is probed first, and no reachable one may be
 * ahead.
 */
bool canFinishJoin(const ConfigView &View, const Membership &Fleet,
                   TimePoint Now) {
  if (!View.InForce || isAnyPeerAhead(View, Fleet) || !isInContact(Fleet, Now))
    return false;
  if (Fleet.Self.Sender == Role::Agent)
    return hasFreshPeerAnswer(Fleet);
  const bool Waited = Now - Fleet.Joining.Since >= Fleet.Times.JoinWait;
  if (!Waited && !hasProbedAllPeers(Fleet))
    return false;
  return hasFreshPeerAnswer(Fleet) || Fleet.Joining.ServiceAnswered;
}

/** Probes each ready peer that has not answered with a fresh view. */
void probePeers(const ConfigView &View, Membership &Fleet, TimePoint Now,
                Effects &Out) {
  for (auto &[Link, Peer] : Fleet.Links) {
    const bool Due = !Peer.ProbedAt || Now - *Peer.ProbedAt >= ProbePeriod;
    if (!isReady(Peer) || Peer.AnsweredFresh || !Due)
      continue;
    Peer.ProbedAt = Now;
    Out.push_back(SendMessage{Link, ConfigPull{versionInForce(View), true}});
  }
}

/**
 * Gives the last contact with the configuration service or with a peer that
 * would report a new document at once. While the service answers nobody, any
 * ready peer counts.
 * @return The time; empty when there was no such contact.
 */
std::optional<TimePoint> lastAuthoritativeContact(const Membership &Fleet) {
  std::optional<TimePoint> Last = Fleet.Joining.LastServiceAnswerAt;
  const bool Agent = Fleet.Self.Sender == Role::Agent;
  std::optional<TimePoint> LastOfAnyPeer;
  for (const auto &[Id, Link] : Fleet.Links) {
    if (!isReady(Link))
      continue;
    const bool ReportsDocuments =
        Link.Peer.Sender == Role::Entry && (Agent ? Link.Fresh : Link.Service);
    LastOfAnyPeer = std::max(LastOfAnyPeer, std::optional(Link.LastActivityAt));
    if (ReportsDocuments)
      Last = std::max(Last, std::optional(Link.LastActivityAt));
  }
  // A service that answers nobody publishes nothing: its downtime must not
  // count towards the age of the next document.
  return isServiceAnswering(Fleet, Fleet.LastTick)
             ? Last
             : std::max(Last, LastOfAnyPeer);
}

/** Advances the time up to which this process knows of every published
 * document, unless a backlog is being read or a peer is ahead. */
void updateKnownCurrent(const ConfigView &View, Membership &Fleet,
                        TimePoint Now) {
  if (Now < Fleet.Joining.BacklogUntil || isAnyPeerAhead(View, Fleet))
    return;
  Fleet.Joining.KnownCurrentAt =
      std::max(Fleet.Joining.KnownCurrentAt, lastAuthoritativeContact(Fleet));
}

} // namespace

bool isPeerAhead(const ConfigView &View, const PeerLink &Peer) {
  return isReady(Peer) && !Peer.PushRefused &&
         Peer.Version > versionInForce(View);
}

bool isViewFresh(const Membership &Fleet) { return Fleet.Joining.Fresh; }

Membership makeMembership(const Settings &Config, Role Sender, Incarnation Run,
                          TimePoint Now) {
  Membership Fleet;
  Fleet.Self.Name.Value = Config.Name;
  Fleet.Self.Sender = Sender;
  Fleet.Self.Run = Run;
  Fleet.Self.Domain.Value = Config.Domain;
  if (!Config.RouteListen.empty()) {
    Fleet.Self.LinkAddress.Value = Config.PeerListen;
    Fleet.Self.CallerAddress.Value = Config.RouteListen;
  }
  Fleet.Times = {
      Millis(Config.HeartbeatMillis), Millis(Config.LinkSilenceMillis),
      Millis(Config.ReconnectMillis), Millis(Config.PauseGapMillis),
      Millis(Config.CutOffMillis),    Millis(Config.JoinWaitMillis)};
  Fleet.LastTick = Now;
  restartJoin(Fleet, Now);
  return Fleet;
}

void restartJoin(Membership &Fleet, TimePoint Now) {
  Fleet.Joining.Fresh = false;
  Fleet.Self.Fresh = false;
  Fleet.Joining.Since = Now;
  Fleet.Joining.ServiceAnswered = false;
  Fleet.Pull.Link.reset();
  for (auto &[Link, Peer] : Fleet.Links) {
    Peer.Answered = false;
    Peer.AnsweredFresh = false;
    Peer.ProbedAt.reset();
  }
}

bool isInContact(const Membership &Fleet, TimePoint Now) {
  const auto &Heard = Fleet.Joining.LastServiceAnswerAt;
  if (Heard && Now - *Heard <= Fleet.Times.CutOff)
    return true;
  // For an entry, a linked entry that the service answers counts as contact;
  // for an agent, a linked entry with a fresh view. So two processes that are
  // cut off cannot count as each other's contact.
  const bool Agent = Fleet.Self.Sender == Role::Agent;
  const bool HasEntry = std::ranges::any_of(Fleet.Links, [&](const auto &Row) {
    const PeerLink &Peer = Row.second;
    return isReady(Peer) && Peer.Peer.Sender == Role::Entry &&
           (Agent ? Peer.Fresh : Peer.Service);
  });
  if (Agent || HasEntry)
    return HasEntry;
  const auto Reachable =
      std::ranges::count_if(Fleet.Wanted, [&](const auto &Row) {
        return readyLink(Fleet, Row.first) != nullptr;
      });
  return static_cast<size_t>(Reachable) * 2 > Fleet.Wanted.size();
}

void detectStall(Membership &Fleet, TimePoint Now) {
  if (Now - Fleet.LastTick > StallGap)
    Fleet.Joining.BacklogUntil = Now + Fleet.Times.Heartbeat * StallHeartbeats;
}

bool isServiceAnswering(const Membership &Fleet, TimePoint Now) {
  const auto &Heard = Fleet.Joining.LastServiceAnswerAt;
  if (Heard && Now - *Heard <= Fleet.Times.CutOff)
    return true;
  return std::ranges::any_of(Fleet.Links, [](const auto &Row) {
    const PeerLink &Peer = Row.second;
    return isReady(Peer) && Peer.Peer.Sender == Role::Entry && Peer.Service;
  });
}

void tickJoin(const ConfigView &View, Membership &Fleet, TimePoint Now,
              Effects &Out) {
  Join &Joining = Fleet.Joining;
  if (Joining.Fresh) {
    updateKnownCurrent(View, Fleet, Now);
    if (isInContact(Fleet, Now))
      Joining.LastContact = Now;
    if (Now - Joining.LastContact <= Fleet.Times.CutOff)
      return;
    // Documents that were published meanwhile are unknown here: a domain may
    // have been taken out. A refusal costs the caller one retry elsewhere.
    Out.push_back(LogNote{LogPart::Config, LogLevel::Error,
                          "Lost contact with the fleet; refusing new work."});
    restartJoin(Fleet, Now);
    sendHeartbeats(Fleet, View, Now, Out);
  }
  probePeers(View, Fleet, Now, Out);
  if (!canFinishJoin(View, Fleet, Now))
    return;
  Joining.Fresh = true;
  Joining.WasFresh = true;
  Fleet.Self.Fresh = true;
  Joining.LastContact = Now;
  updateKnownCurrent(View, Fleet, Now);
  Out.push_back(LogNote{LogPart::Config, LogLevel::Info,
                        "View of the fleet is fresh at version " +
                            std::to_string(versionInForce(View).Value) + "."});
  sendHeartbeats(Fleet, View, Now, Out);
}

} // namespace jacinthpond
