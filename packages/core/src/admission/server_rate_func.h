/** @file server_rate_func.h Rate limit that a back end announces. */

#ifndef JACINTHPOND_CORE_SERVER_RATE_FUNC_H
#define JACINTHPOND_CORE_SERVER_RATE_FUNC_H

#include "admission/server_rate_type.h"

#include <string>

namespace jacinthpond {

/**
 * Records a limit announced by an answer.
 * @param Rate State to change.
 * @param PerSecond Requests per second that the back end accepts.
 * @param AnswerArrivedAt When the answer arrived.
 * @return Whether the limit is new or has another value.
 */
RateChange recordRateLimit(ServerRate &Rate, double PerSecond,
                           TimePoint AnswerArrivedAt);

/**
 * Records an answer without a limit. Answers may overtake each other, so this
 * lifts a limit only if the request was sent after the limit became known.
 * @param Rate State to change.
 * @param SentAt When the request was sent.
 * @return Whether a limit was lifted.
 */
RateChange recordNoRateLimit(ServerRate &Rate, TimePoint SentAt);

/**
 * Says whether this process may send a request now.
 * @param Rate State to change.
 * @param Part This process's part of the limit, from 0 to 1.
 * @param Now Current time.
 * @return True without a limit, or when this process's part allows a request.
 */
bool maySendRequest(ServerRate &Rate, double Part, TimePoint Now);

/**
 * Counts a request that this process sends.
 * @param Rate State to change.
 */
void countRequest(ServerRate &Rate);

/**
 * Takes back the count of a request that was not sent.
 * @param Rate State to change.
 */
void refundRequest(ServerRate &Rate);

/**
 * Gives the time until this process may send a request.
 * @param Rate The state.
 * @param Now Current time.
 * @return The time; 0: now.
 */
Duration timeUntilRequest(const ServerRate &Rate, TimePoint Now);

/**
 * Formats a limit for log lines.
 * @param Rate The state.
 * @return Requests per second; "-" for no limit.
 */
std::string formatRateLimit(const ServerRate &Rate);

} // namespace jacinthpond

#endif
