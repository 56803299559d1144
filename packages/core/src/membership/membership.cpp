/** @file membership.cpp Keeps links to peers and detects lost ones. */

#include "membership/membership_func.h"

#include "configuration/config_view_func.h"

#include <algorithm>
#include <set>

namespace jacinthpond {

namespace {

/** Longest wait between attempts to connect, as a multiple of the shortest. */
constexpr uint32_t MaxBackoffFactor = 8;
/** Approximate size of a heartbeat without digests; see codec_test. */
constexpr size_t HeartbeatBytes = 40;
/** Bytes per second that heartbeats ahead of schedule may take. */
constexpr size_t EarlyHeartbeatBytesPerSecond = 5000;

/** Removes a link and schedules the next attempt to connect to its peer. */
void removeLink(Membership &Fleet, LinkId Link, TimePoint Now) {
  const auto it = Fleet.Links.find(Link);
  const bool WasReady =
      it != Fleet.Links.end() && it->second.State == LinkState::Ready;
  if (it != Fleet.Links.end())
    Fleet.Links.erase(it);
  const auto Peer = std::ranges::find_if(
      Fleet.Wanted, [&](const auto &Row) { return Row.second.Link == Link; });
  if (Peer == Fleet.Wanted.end())
    return;
  WantedPeer &Wanted = Peer->second;
  Wanted.Link.reset();
  Wanted.Failures = WasReady ? 0 : Wanted.Failures + 1;
  const uint32_t Factor =
      std::min(MaxBackoffFactor, uint32_t{1} << std::min(Wanted.Failures, 3U));
  Wanted.NextTry = Now + Fleet.Times.Reconnect * Factor;
}

/**
 * Records that a ready peer fell silent. A process that ends closes its links,
 * so a silent one is stopped or cut off.
 */
void recordSilentPeer(Membership &Fleet, LinkId Link) {
  const auto it = Fleet.Links.find(Link);
  if (it != Fleet.Links.end() && it->second.State == LinkState::Ready)
    Fleet.Silent.insert(it->second.Peer.Name);
}

/** Opens a link to each wanted peer that has none and whose retry is due. */
void openWantedLinks(Membership &Fleet, TimePoint Now, Effects &Out) {
  for (auto &[Name, Peer] : Fleet.Wanted) {
    if (Peer.Link || Now < Peer.NextTry)
      continue;
    const LinkId Link{Fleet.NextLink++};
    Peer.Link = Link;
    PeerLink Opening;
    Opening.Link = Link;
    Opening.LastActivityAt = Now;
    Fleet.Links[Link] = Opening;
    Out.push_back(OpenLink{Link, Peer.At});
  }
}

} // namespace

std::vector<LinkId> setWantedPeers(Membership &Fleet,
                                   const std::vector<PeerAddress> &Peers,
                                   Effects &Out) {
  std::map<HostName, WantedPeer> Next;
  for (const PeerAddress &Peer : Peers) {
    WantedPeer Wanted;
    Wanted.Name = Peer.Name;
    Wanted.At = Peer.At;
    const auto Old = Fleet.Wanted.find(Peer.Name);
    if (Old != Fleet.Wanted.end() && Old->second.At == Peer.At)
      Wanted = Old->second;
    Next[Peer.Name] = Wanted;
  }
  std::vector<LinkId> Dropped;
  for (const auto &[Name, Peer] : Fleet.Wanted) {
    const auto it = Next.find(Name);
    const bool Kept = it != Next.end() && it->second.Link == Peer.Link;
    if (Peer.Link && !Kept)
      Dropped.push_back(*Peer.Link);
  }
  Fleet.Wanted = std::move(Next);
  std::erase_if(Fleet.Silent, [&](const HostName &Name) {
    return !Fleet.Wanted.contains(Name);
  });
  for (const LinkId Link : Dropped) {
    Fleet.Links.erase(Link);
    Out.push_back(CloseLink{Link});
  }
  return Dropped;
}

void handleLinkOpened(Membership &Fleet, LinkId Link, TimePoint Now,
                      Effects &Out) {
  if (Link.Value >= FirstAcceptedLink)
    Fleet.Links[Link].Link = Link;
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end())
    return;
  it->second.State = LinkState::HelloSent;
  it->second.LastActivityAt = Now;
  Out.push_back(SendMessage{Link, Fleet.Self});
}

void logLinkReady(const Hello &Peer, Effects &Out) {
  Out.push_back(
      LogNote{LogPart::Links, LogLevel::Info,
              "event=dependency_back name=peer peer=" + Peer.Name.Value +
                  " role=" + (Peer.Sender == Role::Entry ? "entry" : "agent") +
                  " domain=" + Peer.Domain.Value +
                  " version=" + std::to_string(Peer.Version.Value)});
}

void logLinkLost(const Membership &Fleet, LinkId Link, TimePoint Now,
                 Effects &Out) {
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end() || it->second.State != LinkState::Ready)
    return;
  const PeerLink &Peer = it->second;
  Out.push_back(
      LogNote{LogPart::Links, LogLevel::Info,
              "event=dependency_lost name=peer peer=" + Peer.Peer.Name.Value +
                  " silent_ms=" +
                  std::to_string(toMillis(Now - Peer.LastActivityAt).count())});
}

void handleLinkClosed(Membership &Fleet, LinkId Link, TimePoint Now) {
  removeLink(Fleet, Link, Now);
}

void handleHello(Membership &Fleet, LinkId Link, const Hello &Peer) {
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end())
    return;
  Fleet.Silent.erase(Peer.Name);
  it->second.State = LinkState::Ready;
  it->second.Peer = Peer;
  it->second.Version = Peer.Version;
  it->second.ConfigDigest = Peer.ConfigDigest;
  it->second.Fresh = Peer.Fresh;
}

bool recordLinkActivity(Membership &Fleet, LinkId Link, TimePoint Now) {
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end())
    return false;
  it->second.LastActivityAt = Now;
  return true;
}

/**
 * Omits the digests from a heartbeat when the peer has them already. They are
 * two thirds of its bytes and seldom change; a link delivers in order and
 * without loss, so the peer's copy is the one sent last.
 */
static void omitKnownDigests(Heartbeat &Beat, PeerLink &Peer) {
  Beat.SameDigests = Beat.Sequence > 1 &&
                     Peer.SentConfigDigest == Beat.ConfigDigest &&
                     Peer.SentWeights == Beat.Load.Weights;
  Peer.SentConfigDigest = Beat.ConfigDigest;
  Peer.SentWeights = Beat.Load.Weights;
  if (!Beat.SameDigests)
    return;
  Beat.ConfigDigest = {};
  Beat.Load.Weights = {};
}

/** Sends the next heartbeat over a link, unless it is still being opened. */
static void sendHeartbeat(const Membership &Fleet, PeerLink &To,
                          const ConfigView &Config, TimePoint Now,
                          Effects &Out) {
  if (To.State == LinkState::Opening)
    return;
  const auto &Heard = Fleet.Joining.LastServiceAnswerAt;
  Heartbeat Beat;
  Beat.Sequence = ++To.SentHeartbeats;
  Beat.Run = Fleet.Self.Run;
  Beat.Version = versionInForce(Config);
  Beat.ConfigDigest = digestInForce(Config);
  Beat.Leaving = Fleet.Leaving;
  Beat.Fresh = Fleet.Joining.Fresh;
  Beat.ReachesConfigService = Heard && Now - *Heard <= Fleet.Times.CutOff;
  Beat.Load = Fleet.Load;
  omitKnownDigests(Beat, To);
  Out.push_back(SendMessage{To.Link, Beat});
}

void handleHeartbeat(Membership &Fleet, LinkId Link, const Heartbeat &Beat,
                     TimePoint Now) {
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end() || Beat.Sequence <= it->second.ReceivedHeartbeat)
    return;
  PeerLink &Peer = it->second;
  Peer.ReceivedHeartbeat = Beat.Sequence;
  Peer.Peer.Run = Beat.Run;
  if (Peer.Version != Beat.Version)
    Peer.VersionSince = Now;
  Peer.Version = Beat.Version;
  const Digest Weights =
      Beat.SameDigests ? Peer.HeartbeatWeights : Beat.Load.Weights;
  if (!Beat.SameDigests)
    Peer.ConfigDigest = Beat.ConfigDigest;
  Peer.Leaving = Beat.Leaving;
  Peer.Fresh = Beat.Fresh;
  Peer.Service = Beat.ReachesConfigService;
  Peer.Load = Beat.Load;
  Peer.Load.Weights = Weights;
  Peer.HeartbeatWeights = Weights;
  Peer.LoadAt = Now;
  Peer.AttemptsSinceLoad = 0;
}

void sendHeartbeats(Membership &Fleet, const ConfigView &Config, TimePoint Now,
                    Effects &Out) {
  Fleet.LastHeartbeat = Now;
  for (auto &[Link, Peer] : Fleet.Links)
    sendHeartbeat(Fleet, Peer, Config, Now, Out);
}

void sendHeartbeatTo(Membership &Fleet, LinkId Link, const ConfigView &Config,
                     TimePoint Now, Effects &Out) {
  const auto it = Fleet.Links.find(Link);
  if (it != Fleet.Links.end())
    sendHeartbeat(Fleet, it->second, Config, Now, Out);
}

void sendHeartbeatsInDomain(Membership &Fleet, const ConfigView &Config,
                            TimePoint Now, Effects &Out) {
  for (auto &[Link, Peer] : Fleet.Links)
    if (Peer.Peer.Domain == Fleet.Self.Domain)
      sendHeartbeat(Fleet, Peer, Config, Now, Out);
}

bool canSendHeartbeatEarly(const Membership &Fleet, TimePoint Now) {
  const Millis MinInterval(
      static_cast<int64_t>(Fleet.Links.size() * HeartbeatBytes * 1000 /
                           EarlyHeartbeatBytesPerSecond));
  return Now - Fleet.LastHeartbeat >= MinInterval;
}

std::vector<LinkId> tickMembership(Membership &Fleet, const ConfigView &Config,
                                   TimePoint Now, Effects &Out) {
  Fleet.LastTick = Now;
  std::vector<LinkId> Silent;
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Now - Peer.LastActivityAt > Fleet.Times.Silence)
      Silent.push_back(Link);
  for (const LinkId Link : Silent) {
    logLinkLost(Fleet, Link, Now, Out);
    recordSilentPeer(Fleet, Link);
    removeLink(Fleet, Link, Now);
    Out.push_back(CloseLink{Link});
  }
  openWantedLinks(Fleet, Now, Out);
  if (Now - Fleet.LastHeartbeat >= Fleet.Times.Heartbeat)
    sendHeartbeats(Fleet, Config, Now, Out);
  return Silent;
}

const PeerLink *readyLink(const Membership &Fleet, const HostName &Name) {
  const auto Wanted = Fleet.Wanted.find(Name);
  if (Wanted == Fleet.Wanted.end() || !Wanted->second.Link)
    return nullptr;
  const auto it = Fleet.Links.find(*Wanted->second.Link);
  if (it == Fleet.Links.end() || it->second.State != LinkState::Ready)
    return nullptr;
  return &it->second;
}

} // namespace jacinthpond
