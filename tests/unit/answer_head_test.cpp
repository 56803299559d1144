/** @file answer_head_test.cpp Heads of responses that are passed on. */
// Labels: routes

#include "forward/forward_headers.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <string>

using namespace jacinthpond;
namespace http = boost::beast::http;

namespace {

/** Parses a head, copies it and gives the status line that a caller gets. */
std::string passedOn(const std::string &StatusLine) {
  http::response_parser<http::string_body> Parser;
  boost::system::error_code ec;
  const std::string Text = StatusLine + "\r\nContent-Length: 0\r\n\r\n";
  Parser.put(boost::asio::buffer(Text), ec);
  BOOST_REQUIRE_MESSAGE(!ec, StatusLine + ": " + ec.message());
  const ResponseHead Kept = Parser.get(); // As for an answer sent later.
  http::response<http::string_body> Out;
  Out.version(11);
  copyAnswerHead(Kept, Out);
  std::ostringstream Sent;
  Sent << Out;
  return Sent.str().substr(0, Sent.str().find("\r\n"));
}

} // namespace

// Guards against statuses that the HTTP library has no name for, which reached
// callers as 000.
BOOST_AUTO_TEST_CASE(EveryStatusIsPassedOnUnchanged) {
  for (unsigned Status = 200; Status <= 999; ++Status) {
    const std::string Line = "HTTP/1.1 " + std::to_string(Status);
    BOOST_TEST(passedOn(Line + " Some Reason") == Line + " Some Reason");
    BOOST_TEST(passedOn(Line + " ").starts_with(Line + " "));
    BOOST_TEST(passedOn(Line + " ").find('<') == std::string::npos);
  }
}
