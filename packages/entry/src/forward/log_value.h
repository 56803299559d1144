/** @file log_value.h Values in log lines. */

#ifndef JACINTHPOND_ENTRY_FORWARD_LOG_VALUE_H
#define JACINTHPOND_ENTRY_FORWARD_LOG_VALUE_H

#include <algorithm>
#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Makes a caller's text fit for a field of a log line: blanks and control
 * characters would split it, or let a caller write fields of its own.
 * @param Text Not trusted.
 * @return The text, cut and cleaned; "-" for an empty one.
 */
inline std::string logValue(std::string_view Text) {
  constexpr size_t Longest = 64;
  std::string Value(Text.substr(0, Longest));
  std::ranges::replace_if(
      Value, [](unsigned char c) { return c <= ' ' || c >= 127; }, '_');
  return Value.empty() ? "-" : Value;
}

} // namespace jacinthpond

#endif
