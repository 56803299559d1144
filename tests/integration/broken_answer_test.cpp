/** @file broken_answer_test.cpp Answers that break off where no other server
 * can take over at once.
 */
// Labels: routes platform

#include "busy_fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Sends a request for a stream, and gives all bytes until the connection ends.
 */
std::string rawStream(const RouteFleet &All, int Number) {
  const std::string At = All.addressOf(0, "route");
  const size_t Colon = At.find(':');
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket(Io);
  Socket.connect({boost::asio::ip::make_address(At.substr(0, Colon)),
                  static_cast<uint16_t>(std::stoi(At.substr(Colon + 1)))});
  const std::string Request =
      "POST /write/raw HTTP/1.1\r\nHost: h.example\r\n"
      "Authorization: Bearer key-1\r\nConnection: close\r\n"
      "X-Jacinthpond-Attempt-Id: raw-" +
      std::to_string(Number) +
      "\r\nX-Jacinthpond-Deadline-Remaining-Ms: 3000\r\n"
      "Content-Length: 0\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Request));
  std::string Text;
  boost::system::error_code ec;
  boost::asio::read(Socket, boost::asio::dynamic_buffer(Text), ec);
  return Text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenAnswers)

// Guards against streams that are broken off at the first refusal of a slot,
// though slots become free long before their callers would leave.
BOOST_AUTO_TEST_CASE(ABrokenStreamWaitsForASlot) {
  BusyFleet Busy(16, 100);
  Busy.All.control("model-0", {{"break_at", 3}});
  Busy.fill();
  Busy.checkWhole();
}

// Guards against the error of a back end that is replaced by one of ours, since
// another back end was to be tried and refused.
BOOST_AUTO_TEST_CASE(AnErrorIsPassedOnWhereTheOtherServerRefuses) {
  RouteFleet All(RoutePlan{});
  BOOST_REQUIRE(All.waitServing(30s));
  All.control("plain-0", {{"fail", 1000}});
  All.control("plain-1", {{"refuse", 1000}});
  for (int n = 0; n < 6; ++n)
    BOOST_TEST(All.ask(0, {}).status == 500);
}

// Guards against the error of a back end that is written into the middle of a
// stream, whose next server broke off as well.
BOOST_AUTO_TEST_CASE(AnErrorIsNotPutIntoAStream) {
  RouteFleet All(RoutePlan{});
  BOOST_REQUIRE(All.waitServing(30s));
  All.control("model-0", {{"fail", 1000}});
  int Begun = 0;
  for (int n = 0; n < 6; ++n) {
    All.control("model-1", {{"break_at", 3}});
    const std::string Text = rawStream(All, n);
    BOOST_TEST(Text.rfind("HTTP/1.1 ") == 0U); // Only one answer.
    if (Text.find("token 2") == std::string::npos)
      continue; // The error itself, since the other server is avoided.
    ++Begun;
    BOOST_TEST(!Text.ends_with("0\r\n\r\n"));
  }
  BOOST_TEST(Begun > 0);
}

BOOST_AUTO_TEST_SUITE_END()
