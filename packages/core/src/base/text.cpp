/** @file text.cpp Functions on texts. */

#include "base/text_func.h"

#include <algorithm>
#include <cctype>

namespace jacinthpond {

std::string toLowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return Lower;
}

} // namespace jacinthpond
