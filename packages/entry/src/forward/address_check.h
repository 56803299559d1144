/** @file address_check.h Checks whether anybody listens at an address. */

#ifndef JACINTHPOND_ENTRY_FORWARD_ADDRESS_CHECK_H
#define JACINTHPOND_ENTRY_FORWARD_ADDRESS_CHECK_H

#include "base/ids_type.h"
#include "base/time_type.h"
#include "forwarding/crash_watch_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace jacinthpond {

/**
 * Connects to an address after a delay, and closes the connection at once.
 * @param Io Event loop that runs the check and Done.
 * @param At The address.
 * @param Delay Time until the check.
 * @param Done Receives the result.
 */
void checkAddress(boost::asio::io_context &Io, const Address &At, Millis Delay,
                  std::function<void(AddressCheck)> Done);

} // namespace jacinthpond

#endif
