/** @file membership_type.h Links to peers and what they say of themselves. */

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

/** Periods of membership; from the settings. */
struct MembershipTimes {
  Millis Heartbeat{500}; ///< Period of heartbeats.
  Millis Silence{2500};  ///< Silence after which a link is lost.
  Millis Reconnect{300}; ///< Shortest wait before opening again.
  Millis PauseGap{2000}; ///< Gap that shows that this process was paused.
  Millis CutOff{3000};   ///< Time without contact before refusing work.
  Millis JoinWait{1500}; ///< Longest wait of a new process for its peers.
};

/** How far a link has come. */
enum class LinkState : uint8_t {
  Opening, ///< Asked for; nothing heard yet.
  Greeted, ///< Open here; the peer's hello is missing.
  Ready    ///< The peer's hello has arrived.
};

/** One link and the peer at its other end. */
struct PeerLink {
  LinkId Link;                          ///< Its number.
  LinkState State = LinkState::Opening; ///< How far it has come.
  Hello Peer;                           ///< Valid when Ready.
  TimePoint LastHeard;                  ///< Last message, or when opened.
  uint64_t SentHeartbeats = 0;          ///< Sequence of the last one sent.
  Digest SentConfigDigest;              ///< In the last heartbeat sent.
  Digest SentWeights;                   ///< In the last heartbeat sent.
  uint64_t HeardHeartbeat = 0;          ///< Sequence of the last one heard.
  ConfigVersion Version;                ///< Last told.
  Digest ConfigDigest;                  ///< Last told.
  TimePoint VersionSince;               ///< When Version was first told.
  bool Leaving = false;                 ///< Last told.
  bool Fresh = false;                   ///< Last told.
  bool Service = false;                 ///< Last told.
  bool PushRefused = false;             ///< Its document was invalid here.
  bool Answered = false;                ///< It answered a pull of this join.
  bool AskedToKnow = false;             ///< Asked to answer that we leave.
  bool AnsweredFresh = false;           ///< It did so with a fresh view.
  std::optional<TimePoint> ProbedAt;    ///< When it was asked last.
  WorkerLoad Load;                      ///< Last told.
  Digest BeatWeights;                   ///< Weights in the last heartbeat.
  TimePoint LoadAt;                     ///< When Load was told.
  uint32_t SentSince = 0;               ///< Attempts sent there since then.
  TimePoint AvoidUntil;                 ///< It refused work for lack of room.
};

/** A peer that this process keeps a link to. */
struct WantedPeer {
  HostName Name;              ///< Published name.
  Address At;                 ///< Where it listens.
  std::optional<LinkId> Link; ///< The link that is open or opening.
  TimePoint NextTry;          ///< Earliest time of the next try.
  uint32_t Failures = 0;      ///< Tries that failed in a row.
};

/** The one pull of a whole document that may be under way. */
struct PendingPull {
  std::optional<LinkId> Link; ///< Where it was sent.
  TimePoint At;               ///< When.
  uint64_t Sent = 0;          ///< Pulls so far; varies the choice of a peer.
  std::optional<TimePoint> BehindSince; ///< Since when a peer has a newer one.
};

/** Which run of a host leaves; run 0 means the host, whatever runs. */
struct Departure {
  HostName Host;   ///< Who.
  Incarnation Run; ///< Which run.
  auto operator<=>(const Departure &) const = default;
};

/** An entry that is known from its own word or another process's. */
struct KnownEntry {
  EntryHost Host;     ///< What it said.
  TimePoint LastSeen; ///< Last link or word of it.
};

/** All links of a process. */
struct Membership {
  Hello Self;                            ///< What this process is.
  MembershipTimes Times;                 ///< Periods.
  std::map<LinkId, PeerLink> Links;      ///< Open and opening links.
  std::map<HostName, WantedPeer> Wanted; ///< Peers to keep links to.
  uint64_t NextLink = 1;                 ///< Number of the next link.
  TimePoint LastHeartbeat;               ///< When heartbeats were sent last.
  TimePoint LastTick;                    ///< When time was looked at last.
  bool Leaving = false;                  ///< This process takes no new work.
  std::map<Departure, TimePoint> Departures; ///< When last confirmed.
  Join Joining;                              ///< Whether the view is trusted.
  PendingPull Pull;                          ///< Document under way.
  Digest AlarmedDigest;                      ///< Conflict that was logged last.
  WorkerLoad Load;                           ///< Own load; agents only.
  std::map<HostName, KnownEntry> Roster; ///< Entries that told of themselves.
  std::set<HostName> Silent; ///< Peers whose last link ended in silence.
};

} // namespace jacinthpond

#endif
