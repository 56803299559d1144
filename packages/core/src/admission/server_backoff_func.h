/** @file server_backoff_func.h Pauses that a back end asks for.
 *
 * A back end that sheds load answers 503 with Retry-After, and may do so to
 * some hosts only. It gets no request from this process until that time is
 * over, then few at first: callers that were held off return together.
 */

#ifndef JACINTHPOND_CORE_SERVER_BACKOFF_FUNC_H
#define JACINTHPOND_CORE_SERVER_BACKOFF_FUNC_H

#include "admission/server_backoff_type.h"

namespace jacinthpond {

/**
 * Records that a back end asked for a pause. A pause that has begun is
 * extended, never shortened.
 * @param Backoff State to change.
 * @param Pause Time without requests; 0 asks for none.
 * @param Now Current time.
 * @return True when a pause begins, false when none does or one is extended.
 */
bool beginPause(ServerBackoff &Backoff, Duration Pause, TimePoint Now);

/**
 * Says whether the back end wants no requests at present.
 * @param Backoff The state.
 * @param Now Current time.
 * @return True until the end of the pause.
 */
bool isPaused(const ServerBackoff &Backoff, TimePoint Now);

/**
 * Says whether the slow start after a pause allows one more request.
 * @param Backoff State to change: the slow start begins with the first call
 * after the pause.
 * @param Open Open requests of this process there, those from before the pause
 * included.
 * @param Now Current time.
 * @return True when a request may be sent; false during the pause.
 */
bool maySendAfterPause(ServerBackoff &Backoff, uint32_t Open, TimePoint Now);

/**
 * Records a request that the back end accepted, which allows two more in the
 * slow start.
 * @param Backoff State to change.
 * @param Slots Requests that the back end runs at once; ends the slow start.
 * @param Now Current time.
 */
void recordAcceptedRequest(ServerBackoff &Backoff, uint32_t Slots,
                           TimePoint Now);

} // namespace jacinthpond

#endif
