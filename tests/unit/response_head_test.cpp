/** @file response_head_test.cpp Tests for the checks of response heads. */
// Labels: product routes

#include "http/response_head.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace jacinthpond;

namespace {

const std::string Status = "HTTP/1.1 200 OK\r\n";

/** Feeds a check in pieces of a size; says whether all were accepted. */
bool accepts(const std::string &Bytes, size_t Piece) {
  ResponseHeadCheck Check;
  for (size_t n = 0; n < Bytes.size(); n += Piece)
    if (!Check.accept(std::string_view(Bytes).substr(n, Piece)))
      return false;
  return true;
}

} // namespace

// Guards against heads that are taken although their fields or their status
// mean nothing, and pass for those of an answer.
BOOST_AUTO_TEST_CASE(MalformedHeadsAreNotAccepted) {
  const std::vector<std::string> Heads = {
      "HTTP/1.1 000 None\r\n\r\n",
      "HTTP/1.1 099 None\r\n\r\n",
      "HTTP/1.1 20 OK\r\n\r\n",
      "HTTP/1.1 2000 OK\r\n\r\n",
      "HTTP/1.1 -20 OK\r\n\r\n",
      "HTTP/1.1 abc OK\r\n\r\n",
      "HTTP/1.1  OK\r\n\r\n",
      "HTTP/2.5 200 OK\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\n\r\n",
      Status + "A b: c\r\n\r\n",
      Status + "A : c\r\n\r\n",
      Status + "A\tb: c\r\n\r\n",
      Status + "A\x01: c\r\n\r\n",
      Status + std::string("A\0b: c", 6) + "\r\n\r\n",
      Status + "A\x7f: c\r\n\r\n",
      Status + "\xc3\xa4: c\r\n\r\n",
      Status + "(a): c\r\n\r\n",
      Status + ": c\r\n\r\n",
      Status + "no colon\r\n\r\n",
      Status + "A: b\x01\r\n\r\n",
      Status + std::string("A: \0", 4) + "\r\n\r\n",
      Status + "A: b\r\n folded\r\n\r\n",
      Status + "A: b\r\n\tfolded\r\nB: c\r\n\r\n",
      Status + "Content-Length: 5x\r\n\r\n",
      Status + "Content-Length: -1\r\n\r\n",
      Status + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
      Status + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      Status + "Transfer-Encoding: gzip\r\n\r\n",
      Status + "Transfer-Encoding: gzip, chunked\r\n\r\n",
      std::string(20000, 'x'),
      Status + "A: " + std::string(20000, 'x') + "\r\n\r\n"};
  for (const std::string &Head : Heads)
    for (const size_t Piece : {size_t{1}, size_t{7}, size_t{100000}})
      BOOST_TEST(!accepts(Head, Piece), Head.substr(0, 60) << " by " << Piece);
}

// Guards against answers that are refused for what their bodies hold, or for an
// interim response before them.
BOOST_AUTO_TEST_CASE(SoundHeadsAreAccepted) {
  const std::vector<std::string> Responses = {
      Status + "\r\n",
      "HTTP/1.0 404 Not Found\r\n\r\n",
      "HTTP/1.1 999 \r\nA: b\r\n\r\n",
      Status + "A:\r\nB: \xc3\xa4\r\nContent-Length: 9\r\n\r\n\r\n folded",
      Status + "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + Status + "\r\nA b: c\r\n\r\n",
      Status + "\r\n" + std::string(100000, 'x')};
  for (const std::string &Response : Responses)
    for (const size_t Piece : {size_t{1}, size_t{7}, size_t{100000}})
      BOOST_TEST(accepts(Response, Piece), Response.substr(0, 60)
                                               << " by " << Piece);
}

// Guards against folded lines that are overlooked where a head comes in pieces,
// or seen in a body.
BOOST_AUTO_TEST_CASE(FoldedLinesAreFoundInHeadsOnly) {
  BOOST_TEST(hasFoldedLine("A: b\r\n c\r\n\r\n"));
  BOOST_TEST(hasFoldedLine("A: b\r\n\tc\r\n"));
  BOOST_TEST(hasFoldedLine("A: b\r\nC: d\r\n \r\n\r\n"));
  BOOST_TEST(hasFoldedLine(" c\r\n"));
  BOOST_TEST(!hasFoldedLine(""));
  BOOST_TEST(!hasFoldedLine("A: b\r\nC:  d \r\n\r\n e\r\n"));
  BOOST_TEST(!hasFoldedLine("\r\n e\r\n"));
  BOOST_TEST(!hasFoldedLine("A: b"));
}
