/** @file roster_func.h Lets entries find each other without a published list.
 *
 * Each process opens links to a few seeds. Hello messages carry the sender's
 * addresses, and every process, agents included, tells its peers of each entry
 * that is new to it. So a new entry is found even while all seeds are down.
 */

#ifndef JACINTHPOND_CORE_ROSTER_FUNC_H
#define JACINTHPOND_CORE_ROSTER_FUNC_H

#include "base/effect_type.h"
#include "membership/membership_func.h"
#include "settings/settings_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Gives the seeds from the settings: the peers to contact until the view is
 * fresh.
 * @param Config The settings.
 * @return The peers, without this process itself.
 */
std::vector<PeerAddress> seedPeers(const Settings &Config);

/**
 * Handles a peer's hello: tells the peer of all known entries and, when the
 * peer is an entry that is new or has moved, adds it and announces it to all
 * others.
 * @param Fleet State to change.
 * @param Link Link to the peer.
 * @param Peer The hello.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when the peer is an entry that is new or has moved.
 */
bool exchangeEntries(Membership &Fleet, LinkId Link, const Hello &Peer,
                     TimePoint Now, Effects &Out);

/**
 * Handles a peer's report of an entry: adds it and announces it to all peers
 * when it is new.
 * @param Fleet State to change.
 * @param Seen The reported entry.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when the entry was unknown.
 */
bool handleEntryNotice(Membership &Fleet, const EntryNotice &Seen,
                       TimePoint Now, Effects &Out);

/**
 * Removes entries that this process has had no link to for a minute.
 * @param Fleet State to change.
 * @param Now Current time.
 * @return True when an entry was removed.
 */
bool removeStaleEntries(Membership &Fleet, TimePoint Now);

/**
 * Gives all entries: the published ones or, when none are published, those in
 * the roster and this process if it is an entry.
 * @param Doc Document in force; may be null.
 * @param Fleet The state.
 * @return The entries; those of the roster are sorted by name.
 */
std::vector<EntryHost> knownEntries(const Document *Doc,
                                    const Membership &Fleet);

} // namespace jacinthpond

#endif
