/** @file server_rate_func.h Rate limit that a back end sets for itself. */

#ifndef JACINTHPOND_CORE_SERVER_RATE_FUNC_H
#define JACINTHPOND_CORE_SERVER_RATE_FUNC_H

#include "admission/server_rate_type.h"

#include <string>

namespace jacinthpond {

/**
 * An answer named a limit.
 * @param Rate State to change.
 * @param PerSecond Requests a second that the back end takes.
 * @param HeardAt When the answer came.
 * @return Whether the limit is new, or another one.
 */
RateChange rateNamed(ServerRate &Rate, double PerSecond, TimePoint HeardAt);

/**
 * An answer named no limit. Answers overtake each other, so this lifts a limit
 * only where the request was sent after the limit had been heard of.
 * @param Rate State to change.
 * @param SentAt When the request was sent.
 * @return Whether a limit was lifted.
 */
RateChange rateNotNamed(ServerRate &Rate, TimePoint SentAt);

/**
 * Says whether this process may send a request now.
 * @param Rate State to change.
 * @param Part Part of the limit that is this process's own, from 0 to 1.
 * @param Now Current time.
 * @return True without a limit, or when its part allows one.
 */
bool rateAllowsRequest(ServerRate &Rate, double Part, TimePoint Now);

/**
 * Counts a request that this process sends.
 * @param Rate State to change.
 */
void countRequest(ServerRate &Rate);

/**
 * Takes back a request that was counted and not sent.
 * @param Rate State to change.
 */
void uncountRequest(ServerRate &Rate);

/**
 * Gives when this process may send a request.
 * @param Rate The state.
 * @param Now Current time.
 * @return Time until then; 0: now.
 */
Duration timeToRequest(const ServerRate &Rate, TimePoint Now);

/**
 * Writes a limit for log lines.
 * @param Rate The state.
 * @return Requests a second; "-" for no limit.
 */
std::string rateText(const ServerRate &Rate);

} // namespace jacinthpond

#endif
