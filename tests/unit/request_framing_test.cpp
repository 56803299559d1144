/** @file request_framing_test.cpp Tests for finding the end of a request. */
// Labels: product

#include "http/request_framing.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jacinthpond;

namespace {

const std::string Head = "POST /v1 HTTP/1.1\r\nHost: a\r\n";

/** Limits that short texts can exceed. */
FramingLimits smallLimits() {
  FramingLimits Limits;
  Limits.MaxHeadBytes = 100;
  Limits.MaxBodyBytes = 10;
  return Limits;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheLengthComesFromTheHeaders) {
  struct Case {
    std::string Text;
    size_t Bytes;       ///< Length; 0: incomplete head, or refused.
    const char *Detail; ///< Empty: not refused.
  };
  const std::string Ended = Head + "\r\n";
  const std::string Ten = Head + "content-LENGTH:  10 \r\n\r\n";
  const std::vector<Case> Cases = {
      {"", 0, ""},
      {Head, 0, ""},
      {Ended, Ended.size(), ""},
      {Ended + "next", Ended.size(), ""},
      {Ten, Ten.size() + 10, ""},
      {Head + "Content-Length: 11\r\n\r\n", 0, "the body is too long"},
      {Head + "Content-Length: -1\r\n\r\n", 0, "Content-Length is wrong"},
      {Head + "Content-Length: 1x\r\n\r\n", 0, "Content-Length is wrong"},
      {Head + "Content-Length:\r\n\r\n", 0, "Content-Length is wrong"},
      {Head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 0,
       "Content-Length is wrong"},
      {Head + "Transfer-Encoding: chunked\r\n\r\n", 0,
       "Content-Length is needed"},
      {std::string(99, 'x'), 0, ""},
      {std::string(100, 'x'), 0, "headers are too long"},
      {Head + std::string(100, 'x') + "\r\n\r\n", 0, "headers are too long"},
  };
  for (const Case &One : Cases) {
    const Framing Found = frameRequest(One.Text, smallLimits());
    BOOST_TEST(Found.Bytes == One.Bytes, One.Text);
    BOOST_TEST((Found.Why ? Found.Why->Detail : "") == One.Detail, One.Text);
  }
}
