/** @file response_head.cpp Checks of the heads of HTTP responses. */

#include "http/response_head.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>

namespace jacinthpond {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
/** The only interim status that the library skips. */
constexpr unsigned StatusContinue = 100;
/** Smallest status of a final response (RFC 9110, 15). */
constexpr unsigned MinFinalStatus = 200;

/** Parses a complete head; gives its status, or nothing if it is malformed or
 * its body has a coding that the library does not decode. */
std::optional<unsigned> parseStatus(std::string_view Head) {
  http::response_parser<http::empty_body> Parser;
  Parser.header_limit(MaxResponseHeadBytes);
  Parser.body_limit(boost::none);
  boost::system::error_code ec;
  Parser.put(boost::asio::buffer(Head.data(), Head.size()), ec);
  if (ec || !Parser.is_header_done() || hasFoldedLine(Head))
    return std::nullopt;
  const auto Coding = Parser.get()[http::field::transfer_encoding];
  if (!Coding.empty() && !boost::beast::iequals(Coding, "chunked"))
    return std::nullopt;
  return Parser.get().result_int();
}

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

bool ResponseHeadCheck::accept(std::string_view Bytes) {
  if (Complete)
    return true;
  Head += Bytes;
  for (size_t End = 0; (End = Head.find(HeadEnd)) != std::string::npos;) {
    const size_t Size = End + HeadEnd.size();
    const auto Status = parseStatus(std::string_view(Head).substr(0, Size));
    if (Status && *Status >= MinFinalStatus) {
      Complete = true;
      Head.clear();
      return true;
    }
    if (Status != StatusContinue)
      return false;
    Head.erase(0, Size);
  }
  return Head.size() <= MaxResponseHeadBytes;
}

} // namespace jacinthpond
