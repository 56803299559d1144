/** @file load_view_func.h Load of workers as entries learn it from answers.
 *
 * Heartbeats tell load twice a second. Entries that chose by them alone would
 * all send to the worker that was idle then. So every answer tells the load
 * too, and an entry counts what it has sent since it was told.
 */

#ifndef JACINTHPOND_CORE_LOAD_VIEW_FUNC_H
#define JACINTHPOND_CORE_LOAD_VIEW_FUNC_H

#include "base/effect_type.h"
#include "membership/membership_type.h"

namespace jacinthpond {

/**
 * Writes an agent's load into the answers that it is about to send.
 * @param Load Its load now.
 * @param Out Effects to change.
 */
void stampLoad(const WorkerLoad &Load, Effects &Out);

/**
 * Takes the load that an answer tells; a refusal for lack of room keeps the
 * worker out of the choice for a moment.
 * @param Fleet State to change.
 * @param Link Link of the worker.
 * @param m The answer; other messages change nothing.
 * @param Now Current time.
 */
void noteLoad(Membership &Fleet, LinkId Link, const Message &m, TimePoint Now);

/**
 * Counts an attempt that is sent to a worker.
 * @param Fleet State to change.
 * @param Link Link of the worker.
 */
void noteSent(Membership &Fleet, LinkId Link);

} // namespace jacinthpond

#endif
