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
 * Writes a limit for log lines.
 * @param Rate The state.
 * @return Requests a second; "-" for no limit.
 */
std::string rateText(const ServerRate &Rate);

} // namespace jacinthpond

#endif
