/** @file entry_func.h Decisions of an entry host. */

#ifndef JACINTHPOND_CORE_ENTRY_FUNC_H
#define JACINTHPOND_CORE_ENTRY_FUNC_H

#include "attempts/entry_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * Sets up the state of a new process.
 * @param Config Its settings.
 * @param Run Its random incarnation.
 * @param Now Current time.
 * @return The state.
 */
EntryState makeEntry(const Settings &Config, Incarnation Run, TimePoint Now);

/**
 * A caller asks for something.
 * @param Entry State to change.
 * @param Asked The request.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void entryCall(EntryState &Entry, const CallRequest &Asked, TimePoint Now,
               Effects &Out);

/**
 * A caller went away before its final answer.
 * @param Entry State to change.
 * @param Gone Whose.
 * @param Out Effects are appended.
 */
void entryCallGone(EntryState &Entry, CallId Gone, Effects &Out);

/**
 * A link works.
 * @param Entry State to change.
 * @param Link Which link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void entryLinkOpened(EntryState &Entry, LinkId Link, TimePoint Now,
                     Effects &Out);

/**
 * A link is gone.
 * @param Entry State to change.
 * @param Link Which link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void entryLinkClosed(EntryState &Entry, LinkId Link, TimePoint Now,
                     Effects &Out);

/**
 * A message arrived from a peer.
 * @param Entry State to change.
 * @param Link Over which link.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void entryMessage(EntryState &Entry, LinkId Link, const Message &m,
                  TimePoint Now, Effects &Out);

/**
 * A read of the configuration service ended.
 * @param Entry State to change.
 * @param Read The document, empty text for no news, or why none came.
 * @param Began When the read began.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void entryConfigRead(EntryState &Entry, const Outcome<std::string> &Read,
                     TimePoint Began, TimePoint Now, Effects &Out);

/**
 * The platform's list of hosts was read.
 * @param Entry State to change.
 * @param Leaving Hosts that it names as leaving.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void entryHostsRead(EntryState &Entry, const std::vector<HostName> &Leaving,
                    TimePoint Now, Effects &Out);

/**
 * Time passed.
 * @param Entry State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void entryTick(EntryState &Entry, TimePoint Now, Effects &Out);

/**
 * The process is to end gracefully: new requests are refused, peers are told.
 * @param Entry State to change.
 * @param Now Current time.
 * @param Asking How long homes are asked about the bookings that are refused.
 * @param Out Effects are appended.
 */
void entryStop(EntryState &Entry, TimePoint Now, Millis Asking, Effects &Out);

/**
 * The time limit of a graceful shutdown has passed: every request gets its
 * final answer now.
 * @param Entry State to change.
 * @param Out Effects are appended.
 */
void entryCutOff(EntryState &Entry, Effects &Out);

} // namespace jacinthpond

#endif
