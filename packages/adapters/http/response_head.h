/** @file response_head.h Checks of the heads of HTTP responses. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_RESPONSE_HEAD_H
#define JACINTHPOND_ADAPTERS_HTTP_RESPONSE_HEAD_H

#include <string_view>

namespace jacinthpond {

/**
 * Says whether a header is continued on a folded line (RFC 9112, 5.2), which
 * parsers join to the value before it.
 * @param Lines Bytes of a head from the beginning of a line on; what follows an
 *        empty line is not looked at.
 * @return True if a line begins with a blank or a tab.
 */
bool hasFoldedLine(std::string_view Lines);

} // namespace jacinthpond

#endif
