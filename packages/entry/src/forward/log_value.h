/** @file log_value.h Sanitizing values for log lines. */

#ifndef JACINTHPOND_ENTRY_FORWARD_LOG_VALUE_H
#define JACINTHPOND_ENTRY_FORWARD_LOG_VALUE_H

#include "base/ids_type.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Sanitizes untrusted text for a field of a log line. Blanks and control
 * characters would split the field, or let a caller forge other fields.
 * @param Text Untrusted text.
 * @return The text, truncated, with "_" for blanks, control characters and
 *         bytes that aren't ASCII; "-" for an empty one.
 */
inline std::string logValue(std::string_view Text) {
  constexpr size_t Longest = 64;
  std::string Value(Text.substr(0, Longest));
  std::ranges::replace_if(
      Value, [](unsigned char c) { return c <= ' ' || c >= 127; }, '_');
  return Value.empty() ? "-" : Value;
}

/**
 * Shortens a digest for a field of a log line.
 * @param Full The digest.
 * @return Its first 16 characters.
 */
inline std::string shortDigest(const Digest &Full) {
  constexpr size_t Length = 16;
  return Full.Value.substr(0, Length);
}

} // namespace jacinthpond

#endif
