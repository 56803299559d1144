/** @file join.cpp Making the view of the fleet fresh, and losing it. */

#include "membership/join_func.h"

#include "configuration/config_view_func.h"
#include "membership/membership_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Time between two questions to a peer that has not answered. */
constexpr Millis ProbePeriod{300};
/** Gap between two ticks, of 50 ms, after which what waits in the sockets may
 * be old. BeginMargin in weights.cpp, the margin of what is decided by the age
 * of news, has to be longer. */
constexpr Millis StallGap{1000};
/** Heartbeats of a peer after which the ones from before a stall are read. */
constexpr int StallBeats = 2;

bool isReady(const PeerLink &Link) { return Link.State == LinkState::Ready; }

/** True when a reachable peer has a version that is not in force here. */
bool peerIsAhead(const ConfigView &View, const Membership &Fleet) {
  return std::ranges::any_of(
      Fleet.Links, [&](const auto &Row) { return isAhead(View, Row.second); });
}

bool freshPeerAnswered(const Membership &Fleet) {
  return std::ranges::any_of(Fleet.Links, [](const auto &Row) {
    return isReady(Row.second) && Row.second.AnsweredFresh;
  });
}

/** True when every wanted peer has answered or could not be reached. */
bool peersAreAsked(const Membership &Fleet) {
  return std::ranges::all_of(Fleet.Wanted, [&](const auto &Row) {
    const WantedPeer &Peer = Row.second;
    if (!Peer.Link)
      return Peer.Failures > 0;
    const auto it = Fleet.Links.find(*Peer.Link);
    return it != Fleet.Links.end() && it->second.Answered;
  });
}

/**
 * Decides whether the view became fresh. A new process may have read a stale
 * service: it would bring back a domain that was taken out. So every peer is
 * asked first, and no reachable one may be ahead.
 */
bool mayFinish(const ConfigView &View, const Membership &Fleet, TimePoint Now) {
  if (!View.InForce || peerIsAhead(View, Fleet) || !inContact(Fleet, Now))
    return false;
  if (Fleet.Self.Sender == Role::Agent)
    return freshPeerAnswered(Fleet);
  const bool Waited = Now - Fleet.Joining.Since >= Fleet.Times.JoinWait;
  if (!Waited && !peersAreAsked(Fleet))
    return false;
  return freshPeerAnswered(Fleet) || Fleet.Joining.ServiceAnswered;
}

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

/** Gives when the service, or a peer who would tell of news at once, was heard
 * last; nothing: neither is there. */
std::optional<TimePoint> lastWord(const Membership &Fleet) {
  std::optional<TimePoint> Last = Fleet.Joining.ServiceHeard;
  const bool Agent = Fleet.Self.Sender == Role::Agent;
  std::optional<TimePoint> OfAnyone;
  for (const auto &[Id, Link] : Fleet.Links) {
    if (!isReady(Link))
      continue;
    const bool Tells =
        Link.Peer.Sender == Role::Entry && (Agent ? Link.Fresh : Link.Service);
    OfAnyone = std::max(OfAnyone, std::optional(Link.LastHeard));
    if (Tells)
      Last = std::max(Last, std::optional(Link.LastHeard));
  }
  // A service that answers nobody publishes nothing: the time for which it is
  // away must not count as age of what it publishes next.
  return anybodyAnswered(Fleet, Fleet.LastTick) ? Last
                                                : std::max(Last, OfAnyone);
}

/** Notes until when nothing published can have escaped this process. */
void noteCurrent(const ConfigView &View, Membership &Fleet, TimePoint Now) {
  if (Now < Fleet.Joining.DoubtUntil || peerIsAhead(View, Fleet))
    return;
  Fleet.Joining.KnownCurrent =
      std::max(Fleet.Joining.KnownCurrent, lastWord(Fleet));
}

} // namespace

bool isAhead(const ConfigView &View, const PeerLink &Peer) {
  return isReady(Peer) && !Peer.PushRefused &&
         Peer.Version > versionInForce(View);
}

bool viewIsFresh(const Membership &Fleet) { return Fleet.Joining.Fresh; }

Membership makeMembership(const Settings &Config, Role Sender, Incarnation Run,
                          TimePoint Now) {
  Membership Fleet;
  Fleet.Self.Name.Value = Config.Name;
  Fleet.Self.Sender = Sender;
  Fleet.Self.Run = Run;
  Fleet.Self.Domain.Value = Config.Domain;
  if (!Config.RouteListen.empty()) {
    Fleet.Self.At.Value = Config.PeerListen;
    Fleet.Self.Callers.Value = Config.RouteListen;
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

bool inContact(const Membership &Fleet, TimePoint Now) {
  const auto &Heard = Fleet.Joining.ServiceHeard;
  if (Heard && Now - *Heard <= Fleet.Times.CutOff)
    return true;
  // Entries judge for themselves; an agent is in contact through any entry
  // that is. Two cut-off processes can so never vouch for each other.
  const bool Agent = Fleet.Self.Sender == Role::Agent;
  const bool Vouched = std::ranges::any_of(Fleet.Links, [&](const auto &Row) {
    const PeerLink &Peer = Row.second;
    return isReady(Peer) && Peer.Peer.Sender == Role::Entry &&
           (Agent ? Peer.Fresh : Peer.Service);
  });
  if (Agent || Vouched)
    return Vouched;
  const auto Reachable =
      std::ranges::count_if(Fleet.Wanted, [&](const auto &Row) {
        return readyLink(Fleet, Row.first) != nullptr;
      });
  return static_cast<size_t>(Reachable) * 2 > Fleet.Wanted.size();
}

void noteStall(Membership &Fleet, TimePoint Now) {
  if (Now - Fleet.LastTick > StallGap)
    Fleet.Joining.DoubtUntil = Now + Fleet.Times.Heartbeat * StallBeats;
}

bool anybodyAnswered(const Membership &Fleet, TimePoint Now) {
  const auto &Heard = Fleet.Joining.ServiceHeard;
  if (Heard && Now - *Heard <= Fleet.Times.CutOff)
    return true;
  return std::ranges::any_of(Fleet.Links, [](const auto &Row) {
    const PeerLink &Peer = Row.second;
    return isReady(Peer) && Peer.Peer.Sender == Role::Entry && Peer.Service;
  });
}

void joinTick(const ConfigView &View, Membership &Fleet, TimePoint Now,
              Effects &Out) {
  Join &Joining = Fleet.Joining;
  if (Joining.Fresh) {
    noteCurrent(View, Fleet, Now);
    if (inContact(Fleet, Now))
      Joining.LastContact = Now;
    if (Now - Joining.LastContact <= Fleet.Times.CutOff)
      return;
    // What was published meanwhile cannot be known here: a domain may have
    // been taken out. Refusing costs the callers one more try elsewhere.
    Out.push_back(LogNote{LogPart::Config, LogLevel::Error,
                          "Cut off from the fleet; new work is refused."});
    restartJoin(Fleet, Now);
    sendHeartbeats(Fleet, View, Now, Out);
  }
  probePeers(View, Fleet, Now, Out);
  if (!mayFinish(View, Fleet, Now))
    return;
  Joining.Fresh = true;
  Joining.WasFresh = true;
  Fleet.Self.Fresh = true;
  Joining.LastContact = Now;
  noteCurrent(View, Fleet, Now);
  Out.push_back(LogNote{LogPart::Config, LogLevel::Info,
                        "View is fresh at version " +
                            std::to_string(versionInForce(View).Value) + "."});
  sendHeartbeats(Fleet, View, Now, Out);
}

} // namespace jacinthpond
