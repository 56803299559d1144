/** @file header_fields.h Reading values of headers. */

#ifndef JACINTHPOND_ENTRY_FORWARD_HEADER_FIELDS_H
#define JACINTHPOND_ENTRY_FORWARD_HEADER_FIELDS_H

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Converts a Boost string view to a standard one.
 * @param Text The text.
 * @return A view of the same characters.
 */
inline std::string_view toStringView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/**
 * Looks up the value of a header.
 * @param Fields All headers.
 * @param Name Name of the header.
 * @return Its value; empty if it is missing.
 */
inline std::string_view fieldValue(const boost::beast::http::fields &Fields,
                                   std::string_view Name) {
  return toStringView(
      Fields[boost::beast::string_view(Name.data(), Name.size())]);
}

/**
 * Joins the values of a header that may come more than once.
 * @param Fields All headers.
 * @param Name Name of the header.
 * @return The values in order, separated by commas; empty if it is missing.
 */
inline std::string joinedFieldValue(const boost::beast::http::fields &Fields,
                                    const std::string &Name) {
  std::string All;
  const auto [Begin, End] = Fields.equal_range(Name);
  for (auto it = Begin; it != End; ++it)
    All.append(it == Begin ? "" : ",").append(toStringView(it->value()));
  return All;
}

/**
 * Finds which of several names a response uses for a header.
 * @param Fields All headers.
 * @param Names The names.
 * @return The first name that occurs; null: none does.
 */
inline const std::string *
usedHeaderName(const boost::beast::http::fields &Fields,
               const std::vector<std::string> &Names) {
  const auto it = std::ranges::find_if(
      Names, [&](const std::string &Name) { return Fields.count(Name) > 0; });
  return it == Names.end() ? nullptr : &*it;
}

/**
 * Parses a decimal integer at the start of a header value.
 * @param Text Header value.
 * @return The number, or nothing.
 */
inline std::optional<int64_t> parseNumber(std::string_view Text) {
  int64_t n = 0;
  const auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), n);
  if (Text.empty() || Read.ec != std::errc{})
    return std::nullopt;
  return n;
}

} // namespace jacinthpond

#endif
