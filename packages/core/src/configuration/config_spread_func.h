/** @file config_spread_func.h Distributes documents among the processes.
 *
 * Entries and agents do the same: hello and heartbeat messages carry the
 * version in force, and a process that is behind pulls the document from one
 * peer.
 */

#ifndef JACINTHPOND_CORE_CONFIG_SPREAD_FUNC_H
#define JACINTHPOND_CORE_CONFIG_SPREAD_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"

#include <string_view>

namespace jacinthpond {

/** Result of handling a message between processes. */
enum class FleetMessageResult : uint8_t {
  Unrelated,   ///< The message concerns neither membership nor configuration.
  Handled,     ///< Nothing more to do.
  NewDocument, ///< A new document came into force.
  NewEntry     ///< An entry became known, or has moved.
};

/** Where a process got a document from. */
enum class DocumentSource : uint8_t {
  Service, ///< The configuration service.
  Peer     ///< Another process of the fleet.
};

/**
 * Validates a document, puts it in force when it is newer, and sends heartbeats
 * with the new version: to all peers, or to those of the own domain if it came
 * from a peer.
 * @param View State to change.
 * @param Fleet State to change.
 * @param Text The document; not trusted.
 * @param Source Where it came from.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return Whether it came into force; else why not.
 */
OfferResult applyDocument(ConfigView &View, Membership &Fleet,
                          std::string_view Text, DocumentSource Source,
                          TimePoint Now, Effects &Out);

/**
 * Pulls the document from one peer when some peer has a newer one and no pull
 * is pending.
 * @param View The configuration.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void pullWhenBehind(const ConfigView &View, Membership &Fleet, TimePoint Now,
                    Effects &Out);

/**
 * Handles the messages of membership and configuration.
 * @param View State to change.
 * @param Fleet State to change.
 * @param Link Link that it arrived on.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return What the caller has to react to.
 */
FleetMessageResult handleFleetMessage(ConfigView &View, Membership &Fleet,
                                      LinkId Link, const Message &m,
                                      TimePoint Now, Effects &Out);

/**
 * Does the periodic work of membership, join and configuration.
 * @param View The configuration.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return Links that were closed as silent.
 */
std::vector<LinkId> tickFleet(const ConfigView &View, Membership &Fleet,
                              TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
