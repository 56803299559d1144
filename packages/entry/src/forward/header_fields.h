/** @file header_fields.h Reading values of headers. */

#ifndef JACINTHPOND_ENTRY_FORWARD_HEADER_FIELDS_H
#define JACINTHPOND_ENTRY_FORWARD_HEADER_FIELDS_H

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jacinthpond {

/**
 * Views a text of the library as one of the standard.
 * @param Text The text.
 * @return The same characters.
 */
inline std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/**
 * Gives the value of a header.
 * @param Fields All headers.
 * @param Name Which one.
 * @return Its value; empty when it is missing.
 */
inline std::string_view fieldOf(const boost::beast::http::fields &Fields,
                                std::string_view Name) {
  return view(Fields[boost::beast::string_view(Name.data(), Name.size())]);
}

/**
 * Reads a whole number.
 * @param Text Header value.
 * @return The number, or nothing.
 */
inline std::optional<int64_t> numberIn(std::string_view Text) {
  int64_t n = 0;
  const auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), n);
  if (Text.empty() || Read.ec != std::errc{})
    return std::nullopt;
  return n;
}

} // namespace jacinthpond

#endif
