/** @file roster_func.h Entries that find each other without a published list.
 *
 * Each process opens links to a few seeds. Hello messages name the sender's
 * addresses, and every process tells its peers of each entry that is new to it,
 * agents too, so that a new entry is found even while all seeds are down.
 */

#ifndef JACINTHPOND_CORE_ROSTER_FUNC_H
#define JACINTHPOND_CORE_ROSTER_FUNC_H

#include "base/effect_type.h"
#include "membership/membership_func.h"
#include "settings/settings_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Gives the peers that the settings name, to ask for as long as no view is
 * trusted.
 * @param Config The settings.
 * @return The peers, without this process itself.
 */
std::vector<PeerAddress> seedPeers(const Settings &Config);

/**
 * A peer named itself: it is kept, and it is told of all known entries.
 * @param Fleet State to change.
 * @param Link Its link.
 * @param Peer What it said.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when it is an entry that was not known, or that has moved.
 */
bool rosterHello(Membership &Fleet, LinkId Link, const Hello &Peer,
                 TimePoint Now, Effects &Out);

/**
 * A peer told of an entry; one that is new is told on.
 * @param Fleet State to change.
 * @param Seen What it told.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when it was not known.
 */
bool entrySeen(Membership &Fleet, const EntrySeen &Seen, TimePoint Now,
               Effects &Out);

/**
 * Forgets entries that nobody has had a link to for long.
 * @param Fleet State to change.
 * @param Now Current time.
 * @return True when one was forgotten.
 */
bool rosterTick(Membership &Fleet, TimePoint Now);

/**
 * Gives all entries: the published ones, or where none are published those
 * that told of themselves, this process included.
 * @param Doc Document in force; may be null.
 * @param Fleet The state.
 * @return The entries in order of their names.
 */
std::vector<EntryHost> knownEntries(const Document *Doc,
                                    const Membership &Fleet);

} // namespace jacinthpond

#endif
