/** @file membership_func.h Keeps links to peers and detects lost ones. */

#ifndef JACINTHPOND_CORE_MEMBERSHIP_FUNC_H
#define JACINTHPOND_CORE_MEMBERSHIP_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"

#include <vector>

namespace jacinthpond {

/** Published name and address of a peer. */
struct PeerAddress {
  HostName Name; ///< Published name.
  Address At;    ///< Where it listens.
};

/**
 * Sets which peers to keep links to, and closes the links to all others.
 * @param Fleet State to change.
 * @param Peers The wanted peers.
 * @param Out Effects are appended.
 * @return Links that were closed.
 */
std::vector<LinkId> setWantedPeers(Membership &Fleet,
                                   const std::vector<PeerAddress> &Peers,
                                   Effects &Out);

/**
 * Logs that a link is ready, after the peer's hello has arrived.
 * @param Peer The peer's hello.
 * @param Out Effects are appended.
 */
void logLinkReady(const Hello &Peer, Effects &Out);

/**
 * Logs that a ready link is lost; to be called before the link is removed.
 * @param Fleet The state.
 * @param Link The link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void logLinkLost(const Membership &Fleet, LinkId Link, TimePoint Now,
                 Effects &Out);

/**
 * Handles a link that was opened or accepted: sends the own hello over it.
 * @param Fleet State to change.
 * @param Link The link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleLinkOpened(Membership &Fleet, LinkId Link, TimePoint Now,
                      Effects &Out);

/**
 * Handles a link that was closed: removes it and schedules the next attempt to
 * connect when its peer is wanted.
 * @param Fleet State to change.
 * @param Link The link.
 * @param Now Current time.
 */
void handleLinkClosed(Membership &Fleet, LinkId Link, TimePoint Now);

/**
 * Handles a peer's hello: the link becomes ready.
 * @param Fleet State to change.
 * @param Link Link that it arrived on.
 * @param Peer The hello.
 */
void handleHello(Membership &Fleet, LinkId Link, const Hello &Peer);

/**
 * Records that a message of any kind arrived on a link.
 * @param Fleet State to change.
 * @param Link Link that it arrived on.
 * @param Now Current time.
 * @return False when the link is unknown, and the message is to be dropped.
 */
bool recordLinkActivity(Membership &Fleet, LinkId Link, TimePoint Now);

/**
 * Handles a heartbeat: updates what is known of the peer.
 * @param Fleet State to change.
 * @param Link Link that it arrived on.
 * @param Beat The heartbeat.
 * @param Now Current time.
 */
void handleHeartbeat(Membership &Fleet, LinkId Link, const Heartbeat &Beat,
                     TimePoint Now);

/**
 * Does the periodic work: closes silent links, opens links to wanted peers and
 * sends heartbeats that are due.
 * @param Fleet State to change.
 * @param Config Configuration that heartbeats report as in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return Links that were closed as silent.
 */
std::vector<LinkId> tickMembership(Membership &Fleet, const ConfigView &Config,
                                   TimePoint Now, Effects &Out);

/**
 * Sends a heartbeat at once over one link.
 * @param Fleet State to change.
 * @param Link The link; ignored if it is not open.
 * @param Config Configuration that heartbeats report as in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sendHeartbeatTo(Membership &Fleet, LinkId Link, const ConfigView &Config,
                     TimePoint Now, Effects &Out);

/**
 * Sends a heartbeat at once to each peer in the own failure domain.
 * @param Fleet State to change.
 * @param Config Configuration that heartbeats report as in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sendHeartbeatsInDomain(Membership &Fleet, const ConfigView &Config,
                            TimePoint Now, Effects &Out);

/**
 * Sends a heartbeat at once over every open link.
 * @param Fleet State to change.
 * @param Config Configuration that heartbeats report as in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sendHeartbeats(Membership &Fleet, const ConfigView &Config, TimePoint Now,
                    Effects &Out);

/**
 * Says whether a heartbeat may be sent ahead of schedule to report a change in
 * load. The minimum interval grows with the number of links, so that the
 * traffic stays bounded.
 * @param Fleet The state.
 * @param Now Current time.
 * @return False when the last one is too recent.
 */
bool canSendHeartbeatEarly(const Membership &Fleet, TimePoint Now);

/**
 * Finds the ready link to a peer.
 * @param Fleet The state.
 * @param Name Published name.
 * @return The link, or null.
 */
const PeerLink *readyLink(const Membership &Fleet, const HostName &Name);

} // namespace jacinthpond

#endif
