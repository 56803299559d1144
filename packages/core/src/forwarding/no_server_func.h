/** @file no_server_func.h Requests for which no back end was found.
 *
 * An attempt is never given up before another one has taken its place: a
 * silent back end may go on at any moment, while agents may refuse slots and
 * the retry budget may be used up.
 */

#ifndef JACINTHPOND_CORE_NO_SERVER_FUNC_H
#define JACINTHPOND_CORE_NO_SERVER_FUNC_H

#include "forwarding/no_server_type.h"

namespace jacinthpond {

/**
 * Gives the name of a reason, for logs.
 * @param Why The reason.
 * @return Its name.
 */
const char *noServerReasonName(NoServerReason Why);

/**
 * Decides what happens to a request for which no back end was found.
 * @param Request Its state.
 * @param Why Why none was found.
 * @return What to do.
 */
UnplacedAction unplacedAction(const UnplacedRequest &Request,
                              NoServerReason Why);

} // namespace jacinthpond

#endif
