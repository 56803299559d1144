/** @file membership_func.h Keeping links and noticing that they are lost. */

#ifndef JACINTHPOND_CORE_MEMBERSHIP_FUNC_H
#define JACINTHPOND_CORE_MEMBERSHIP_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"

#include <vector>

namespace jacinthpond {

/** A peer as published. */
struct PeerAddress {
  HostName Name; ///< Published name.
  Address At;    ///< Where it listens.
};

/**
 * Sets which peers to keep links to; links to others are dropped.
 * @param Fleet State to change.
 * @param Peers The wanted peers.
 * @param Out Effects are appended.
 * @return Links that were dropped.
 */
std::vector<LinkId> wantPeers(Membership &Fleet,
                              const std::vector<PeerAddress> &Peers,
                              Effects &Out);

/**
 * Notes for the log that a peer named itself on a link.
 * @param Peer What it said.
 * @param Out Effects are appended.
 */
void noteLinkReady(const Hello &Peer, Effects &Out);

/**
 * Notes for the log that a link to a known peer is gone; to be called before it
 * is forgotten.
 * @param Fleet The state.
 * @param Link Which link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void noteLinkLost(const Membership &Fleet, LinkId Link, TimePoint Now,
                  Effects &Out);

/**
 * A link works: says hello.
 * @param Fleet State to change.
 * @param Link Which link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void linkOpened(Membership &Fleet, LinkId Link, TimePoint Now, Effects &Out);

/**
 * A link is gone.
 * @param Fleet State to change.
 * @param Link Which link.
 * @param Now Current time.
 */
void linkClosed(Membership &Fleet, LinkId Link, TimePoint Now);

/**
 * A peer said hello.
 * @param Fleet State to change.
 * @param Link Over which link.
 * @param Peer What it said.
 */
void helloHeard(Membership &Fleet, LinkId Link, const Hello &Peer);

/**
 * Any message arrived.
 * @param Fleet State to change.
 * @param Link Over which link.
 * @param Now Current time.
 * @return False when the link is not known: the message is to be dropped.
 */
bool linkHeard(Membership &Fleet, LinkId Link, TimePoint Now);

/**
 * A heartbeat arrived.
 * @param Fleet State to change.
 * @param Link Over which link.
 * @param Beat What it said.
 * @param Now Current time.
 */
void heartbeatHeard(Membership &Fleet, LinkId Link, const Heartbeat &Beat,
                    TimePoint Now);

/**
 * Looks at the time: opens wanted links, sends heartbeats, drops silent links.
 * @param Fleet State to change.
 * @param Config What heartbeats say is in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return Links that were dropped as silent.
 */
std::vector<LinkId> membershipTick(Membership &Fleet, const ConfigView &Config,
                                   TimePoint Now, Effects &Out);

/**
 * Sends a heartbeat at once over each link to a peer of the own domain.
 * @param Fleet State to change.
 * @param Config What heartbeats say is in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sendHeartbeatsNear(Membership &Fleet, const ConfigView &Config,
                        TimePoint Now, Effects &Out);

/**
 * Sends a heartbeat over every ready link at once.
 * @param Fleet State to change.
 * @param Config What heartbeats say is in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sendHeartbeats(Membership &Fleet, const ConfigView &Config, TimePoint Now,
                    Effects &Out);

/**
 * Says whether a heartbeat may go out before its time, to tell of a change in
 * load. The more links there are, the rarer, so that the bytes stay bounded.
 * @param Fleet The state.
 * @param Now Current time.
 * @return False when the last one is too recent.
 */
bool mayBeatEarly(const Membership &Fleet, TimePoint Now);

/**
 * Finds the ready link to a peer.
 * @param Fleet The state.
 * @param Name Published name.
 * @return The link, or null.
 */
const PeerLink *readyLink(const Membership &Fleet, const HostName &Name);

} // namespace jacinthpond

#endif
