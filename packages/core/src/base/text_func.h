/** @file text_func.h Functions on texts. */

#ifndef JACINTHPOND_CORE_TEXT_FUNC_H
#define JACINTHPOND_CORE_TEXT_FUNC_H

#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Converts ASCII letters to lower case.
 * @param Text The text.
 * @return The converted copy.
 */
std::string toLowerCase(std::string_view Text);

} // namespace jacinthpond

#endif
