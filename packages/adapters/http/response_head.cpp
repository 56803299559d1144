/** @file response_head.cpp Checks of the heads of HTTP responses. */

#include "http/response_head.h"

namespace jacinthpond {

namespace {

constexpr std::string_view LineEnd = "\r\n";

} // namespace

bool hasFoldedLine(std::string_view Lines) {
  while (!Lines.empty() && !Lines.starts_with(LineEnd)) {
    if (Lines.front() == ' ' || Lines.front() == '\t')
      return true;
    const size_t End = Lines.find(LineEnd);
    if (End == std::string_view::npos)
      return false;
    Lines.remove_prefix(End + LineEnd.size());
  }
  return false;
}

} // namespace jacinthpond
