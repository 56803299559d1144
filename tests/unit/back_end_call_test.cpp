/** @file back_end_call_test.cpp Tests for calls to back ends. */
// Labels: routes

#include "forward/back_end_call.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace jacinthpond;
using Tcp = boost::asio::ip::tcp;

namespace {

/** Fails the test if any part of a response is reported. */
struct NoEvents : BackEndCallHandler {
  void handleAnswerHead(const ResponseHead &) override {
    BOOST_ERROR("unexpected response head");
  }
  void handleAnswerBody(std::string) override {
    BOOST_ERROR("unexpected response body");
  }
  void handleAnswerEnd() override { BOOST_ERROR("unexpected end of response"); }
  void handleCallFailure(CallFailure) override {
    BOOST_ERROR("unexpected failure");
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(ACancelledCallResetsItsConnection) {
  // A cancelled request must not be executed by a worker whose host was
  // unresponsive meanwhile. After an orderly close the complete request stays
  // in the worker's socket: when their hosts resumed, workers had run 29 of
  // them, 2 s after the callers had left. A reset discards it.
  boost::asio::io_context Io;
  Tcp::acceptor Listening(Io, {boost::asio::ip::address_v4::loopback(), 0});
  BackEndConnectionPool Pool;
  NoEvents Events;
  BackEndRequest Request;
  Request.To.Value =
      "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
  Request.Bytes = "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto Call = std::make_shared<BackEndCall>(Io, Pool, Request, Events);
  Call->start(Millis(1000));
  Tcp::socket Worker = Listening.accept();
  while (Worker.available() < Request.Bytes.size())
    Io.run_one_for(std::chrono::milliseconds(10));
  Call->cancel();
  std::string Received;
  boost::system::error_code ReadError;
  boost::asio::read(Worker, boost::asio::dynamic_buffer(Received), ReadError);
  BOOST_TEST(ReadError == boost::asio::error::connection_reset);
}
