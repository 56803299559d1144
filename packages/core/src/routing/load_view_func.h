/** @file load_view_func.h Load of workers as reported in their answers.
 *
 * Heartbeats report load twice a second. Entries that relied on them alone
 * would all send to the worker that was idle at the last heartbeat. So every
 * answer reports the load too, and an entry adds the attempts that it has sent
 * since the last report.
 */

#ifndef JACINTHPOND_CORE_LOAD_VIEW_FUNC_H
#define JACINTHPOND_CORE_LOAD_VIEW_FUNC_H

#include "base/effect_type.h"
#include "membership/membership_type.h"

namespace jacinthpond {

/**
 * Fills in an agent's load in the messages that it is about to send.
 * @param Load The current load.
 * @param Out Effects to change.
 */
void attachLoad(const WorkerLoad &Load, Effects &Out);

/**
 * Records the load that a message reports. A refusal for lack of capacity makes
 * this entry avoid the worker for a short time.
 * @param Fleet State to change.
 * @param Link Link of the worker.
 * @param m The message; one that reports no load changes nothing.
 * @param Now Current time.
 */
void recordReportedLoad(Membership &Fleet, LinkId Link, const Message &m,
                        TimePoint Now);

/**
 * Counts an attempt that was sent to a worker since its last load report.
 * @param Fleet State to change.
 * @param Link Link of the worker.
 */
void countSentAttempt(Membership &Fleet, LinkId Link);

} // namespace jacinthpond

#endif
