/** @file address_func.h Checks of address syntax. */

#ifndef JACINTHPOND_CORE_ADDRESS_FUNC_H
#define JACINTHPOND_CORE_ADDRESS_FUNC_H

#include <string_view>

namespace jacinthpond {

/**
 * Checks whether a text is "IP:port" with a numeric IPv4 address.
 * @param Text The text.
 * @param AnyPort Whether port 0 is allowed, which makes the kernel choose one.
 * @return True if the text has this form.
 */
bool isAddress(std::string_view Text, bool AnyPort);

/**
 * Checks whether a text is "http://IP:port" with a numeric IPv4 address and no
 * path.
 * @param Text The text.
 * @return True if the text has this form.
 */
bool isHttpUrl(std::string_view Text);

} // namespace jacinthpond

#endif
