/** @file address_func.h Checks addresses as they stand in texts. */

#ifndef JACINTHPOND_CORE_ADDRESS_FUNC_H
#define JACINTHPOND_CORE_ADDRESS_FUNC_H

#include <string_view>

namespace jacinthpond {

/**
 * Says whether a text is "IP:port" with an IPv4 number.
 * @param Text The text.
 * @param AnyPort Whether port 0 is allowed, which lets the kernel choose.
 * @return True when it is.
 */
bool isAddress(std::string_view Text, bool AnyPort);

/**
 * Says whether a text is "http://IP:port" without a path.
 * @param Text The text.
 * @return True when it is.
 */
bool isHttpUrl(std::string_view Text);

} // namespace jacinthpond

#endif
