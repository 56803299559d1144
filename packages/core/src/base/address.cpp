/** @file address.cpp Checks of address syntax. */

#include "base/address_func.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace jacinthpond {

bool isAddress(std::string_view Text, bool AnyPort) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  in_addr Number{};
  const std::string Ip(Text.substr(0, Colon));
  if (inet_pton(AF_INET, Ip.c_str(), &Number) != 1)
    return false;
  const char *End = Text.data() + Text.size();
  uint16_t Port = 0;
  const auto Read = std::from_chars(Text.data() + Colon + 1, End, Port);
  return Read.ec == std::errc{} && Read.ptr == End && (Port > 0 || AnyPort);
}

bool isHttpUrl(std::string_view Text) {
  constexpr std::string_view Scheme = "http://";
  return Text.starts_with(Scheme) &&
         isAddress(Text.substr(Scheme.size()), false);
}

} // namespace jacinthpond
