/** @file membership_type.h Links to peers, and what the peers report. */

#ifndef JACINTHPOND_CORE_MEMBERSHIP_TYPE_H
#define JACINTHPOND_CORE_MEMBERSHIP_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"
#include "configuration/document_type.h"
#include "membership/join_type.h"
#include "wire/message_type.h"

#include <map>
#include <optional>
#include <set>

namespace jacinthpond {

/** Periods and timeouts of membership; from the settings. */
struct MembershipTimes {
  Millis Heartbeat{500}; ///< Period of heartbeats.
  Millis Silence{2500};  ///< Silence after which a link is lost.
  Millis Reconnect{300}; ///< Shortest wait before reconnecting.
  Millis PauseGap{2000}; ///< Gap between ticks that counts as a pause.
  Millis CutOff{3000};   ///< Time without contact until work is refused.
  Millis JoinWait{1500}; ///< Longest wait of a new process for its peers.
};

/** State of a link. */
enum class LinkState : uint8_t {
  Opening,   ///< Requested, not open yet.
  HelloSent, ///< Open; the own hello was sent, the peer's is missing.
  Ready      ///< The peer's hello has arrived.
};

/** One link and the peer at its other end. */
struct PeerLink {
  LinkId Link;                          ///< Identifier of the link.
  LinkState State = LinkState::Opening; ///< State of the link.
  Hello Peer;                           ///< The peer's hello; valid when Ready.
  TimePoint LastActivityAt; ///< When a message arrived last, or it was opened.
  uint64_t SentHeartbeats = 0;    ///< Sequence of the last one sent.
  Digest SentConfigDigest;        ///< In the last heartbeat sent.
  Digest SentWeights;             ///< In the last heartbeat sent.
  uint64_t ReceivedHeartbeat = 0; ///< Sequence of the last one received.
  ConfigVersion Version;          ///< In force at the peer, as last reported.
  Digest ConfigDigest;            ///< Digest of that document.
  TimePoint VersionSince;         ///< When Version was first reported.
  bool Leaving = false;     ///< The peer last reported that it is leaving.
  bool Fresh = false;       ///< The peer last reported a fresh view.
  bool Service = false;     ///< The configuration service answers the peer.
  bool PushRefused = false; ///< The peer's document was invalid here.
  bool Answered = false;    ///< It has answered a probe since the last reset.
  bool LeavingAckRequested = false;  ///< Asked to acknowledge our leaving.
  bool AnsweredFresh = false;        ///< It answered a probe with a fresh view.
  std::optional<TimePoint> ProbedAt; ///< When it was probed last.
  WorkerLoad Load;                   ///< Load as last reported.
  Digest HeartbeatWeights;           ///< Weights as of the last heartbeat.
  TimePoint LoadAt;                  ///< When Load was reported.
  uint32_t AttemptsSinceLoad = 0; ///< Attempts sent to the peer since LoadAt.
  TimePoint AvoidUntil; ///< It lacked capacity and gets no work until then.
};

/** A peer that this process keeps a link to. */
struct WantedPeer {
  HostName Name;              ///< Published name.
  Address At;                 ///< Where it listens.
  std::optional<LinkId> Link; ///< Its link, open or opening; empty: none.
  TimePoint NextTry;          ///< Earliest time of the next attempt to connect.
  uint32_t Failures = 0;      ///< Consecutive failed attempts to connect.
};

/** The pull of a document; at most one is pending at a time. */
struct PendingPull {
  std::optional<LinkId> Link; ///< Link it was sent on; empty: none is pending.
  TimePoint At;               ///< When it was sent.
  uint64_t Sent = 0;          ///< Pulls so far; varies which peer is chosen.
  std::optional<TimePoint> BehindSince; ///< Since when some peer is ahead.
};

/** A host that is leaving; incarnation 0 stands for any. */
struct Departure {
  HostName Host;   ///< The leaving host.
  Incarnation Run; ///< Its incarnation, or 0.
  auto operator<=>(const Departure &) const = default;
};

/** An entry that is known from its own hello or from a peer. */
struct KnownEntry {
  EntryHost Host;     ///< Its name, domain and addresses.
  TimePoint LastSeen; ///< When it was last linked or reported.
};

/** Membership state of a process: its links and what it knows of the fleet. */
struct Membership {
  Hello Self;                            ///< The hello that this process sends.
  MembershipTimes Times;                 ///< Periods and timeouts.
  std::map<LinkId, PeerLink> Links;      ///< Open and opening links.
  std::map<HostName, WantedPeer> Wanted; ///< Peers to keep links to.
  uint64_t NextLink = 1;                 ///< Identifier of the next link.
  TimePoint LastHeartbeat;               ///< When heartbeats were sent last.
  TimePoint LastTick;                    ///< Time of the last tick.
  bool Leaving = false; ///< This process is leaving and takes no new work.
  std::map<Departure, TimePoint> Departures; ///< Times of the last report.
  Join Joining;                              ///< Whether the view is fresh.
  PendingPull Pull;                          ///< Pending pull of a document.
  Digest ReportedConflict; ///< Digest in the last logged conflict.
  WorkerLoad Load;         ///< Load of this process; agents only.
  std::map<HostName, KnownEntry> Roster; ///< Entries known from peers.
  std::set<HostName> Silent; ///< Peers whose last link was lost by silence.
};

} // namespace jacinthpond

#endif
