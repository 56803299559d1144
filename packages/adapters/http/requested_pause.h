/** @file requested_pause.h Pauses that back ends ask for over HTTP. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_REQUESTED_PAUSE_H
#define JACINTHPOND_ADAPTERS_HTTP_REQUESTED_PAUSE_H

#include "base/time_type.h"

namespace httplib {
struct Response;
} // namespace httplib

namespace jacinthpond {

/**
 * Reads the Retry-After headers of a response. Values that cannot be read count
 * as absent; the first one that this process sees is logged.
 * @param Answer The response.
 * @return The longest time; 0 where there is none, and unless the status is
 * 503.
 */
Millis requestedPause(const httplib::Response &Answer);

} // namespace jacinthpond

#endif
