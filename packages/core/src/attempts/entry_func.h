/** @file entry_func.h Event handlers of an entry.
 *
 * They change its state and append effects, such as messages to send, which the
 * process then carries out.
 */

#ifndef JACINTHPOND_CORE_ENTRY_FUNC_H
#define JACINTHPOND_CORE_ENTRY_FUNC_H

#include "attempts/entry_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * Creates the state of an entry that starts, with links wanted to its seed
 * peers.
 * @param Config Its settings.
 * @param Run Random incarnation of this process.
 * @param Now Current time.
 * @return The state.
 */
EntryState makeEntry(const Settings &Config, Incarnation Run, TimePoint Now);

/**
 * Handles a new request from a caller: refuses it or starts its first attempt.
 * @param Entry State to change.
 * @param Request The request.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void startCall(EntryState &Entry, const CallRequest &Request, TimePoint Now,
               Effects &Out);

/**
 * Cancels a call whose caller disconnected before its final answer. The caller
 * gets no error.
 * @param Entry State to change.
 * @param Abandoned The call.
 * @param Out Effect list to append to.
 */
void cancelCall(EntryState &Entry, CallId Abandoned, Effects &Out);

/**
 * Handles a link that has opened: sends the first message on it.
 * @param Entry State to change.
 * @param Link The link.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleEntryLinkOpened(EntryState &Entry, LinkId Link, TimePoint Now,
                           Effects &Out);

/**
 * Handles a link that has closed: marks its attempts as lost. When it could not
 * be opened, the lost attempts at its peer are retried elsewhere.
 * @param Entry State to change.
 * @param Link The link.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleEntryLinkClosed(EntryState &Entry, LinkId Link, TimePoint Now,
                           Effects &Out);

/**
 * Handles a message from a peer.
 * @param Entry State to change.
 * @param Link Link that it arrived on.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleEntryMessage(EntryState &Entry, LinkId Link, const Message &m,
                        TimePoint Now, Effects &Out);

/**
 * Handles a finished read of the configuration service: applies the document,
 * and logs that the service was lost or is back.
 * @param Entry State to change.
 * @param Read The document, empty text when it has not changed, or the failure.
 * @param Began When the read began.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleEntryConfigRead(EntryState &Entry, const Outcome<std::string> &Read,
                           TimePoint Began, TimePoint Now, Effects &Out);

/**
 * Records which parts of the configuration are left out of its document, and
 * logs those that were not left out before.
 * @param Entry State to change.
 * @param Parts The parts that are left out now.
 * @param Out Effect list to append to.
 */
void recordLeftOutParts(EntryState &Entry, const LeftOutParts &Parts,
                        Effects &Out);

/**
 * Handles a new host list from the platform.
 * @param Entry State to change.
 * @param Leaving Hosts that the platform lists as leaving.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleEntryHostList(EntryState &Entry,
                         const std::vector<HostName> &Leaving, TimePoint Now,
                         Effects &Out);

/**
 * Runs the periodic work: heartbeats, links that time out, deadlines of calls,
 * and expiry of suspects and lost attempts.
 * @param Entry State to change.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleEntryTick(EntryState &Entry, TimePoint Now, Effects &Out);

/**
 * Begins a graceful shutdown: refuses new requests and tells the peers.
 * @param Entry State to change.
 * @param Now Current time.
 * @param HomeQueryTime How long homes are asked about keyed calls that are
 * refused.
 * @param Out Effect list to append to.
 */
void beginEntryShutdown(EntryState &Entry, TimePoint Now, Millis HomeQueryTime,
                        Effects &Out);

/**
 * Ends all open calls with an error when the time limit of a graceful shutdown
 * has passed.
 * @param Entry State to change.
 * @param Out Effect list to append to.
 */
void endAllCalls(EntryState &Entry, Effects &Out);

} // namespace jacinthpond

#endif
