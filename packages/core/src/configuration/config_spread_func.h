/** @file config_spread_func.h How documents reach all processes.
 *
 * The same for entries and agents: hello and heartbeat messages tell the
 * version in force, whoever is behind pulls the document from one peer.
 */

#ifndef JACINTHPOND_CORE_CONFIG_SPREAD_FUNC_H
#define JACINTHPOND_CORE_CONFIG_SPREAD_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"

#include <string_view>

namespace jacinthpond {

/** What a message between processes came to. */
enum class FleetNews : uint8_t {
  NotMine,     ///< The message is about something else.
  Handled,     ///< Nothing more to do.
  NewDocument, ///< Another document came into force.
  NewEntry     ///< An entry became known, or has moved.
};

/**
 * Takes a document and tells all peers when it came into force.
 * @param View State to change.
 * @param Fleet State to change.
 * @param Text The document; not trusted.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return What became of it.
 */
OfferResult takeDocument(ConfigView &View, Membership &Fleet,
                         std::string_view Text, TimePoint Now, Effects &Out);

/**
 * Pulls the document from one peer when some peer has a newer one and no pull
 * is under way.
 * @param View The configuration.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void pullWhenBehind(const ConfigView &View, Membership &Fleet, TimePoint Now,
                    Effects &Out);

/**
 * Takes the messages that membership and configuration are made of.
 * @param View State to change.
 * @param Fleet State to change.
 * @param Link Over which link it came.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return What it came to.
 */
FleetNews fleetMessage(ConfigView &View, Membership &Fleet, LinkId Link,
                       const Message &m, TimePoint Now, Effects &Out);

/**
 * Looks at the time for membership, join and configuration.
 * @param View The configuration.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return Links that were dropped as silent.
 */
std::vector<LinkId> fleetTick(const ConfigView &View, Membership &Fleet,
                              TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
