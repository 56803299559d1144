/** @file sent_call.h Calls to back ends whose responses a test writes. */

#ifndef JACINTHPOND_TESTS_UNIT_SENT_CALL_H
#define JACINTHPOND_TESTS_UNIT_SENT_CALL_H

#include "forward/back_end_call.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace jacinthpond {

using Tcp = boost::asio::ip::tcp;

/** Fails the test if any part of a response is reported. */
struct NoEvents : BackEndCallHandler {
  bool maySendRequest() override { return true; }
  void handleNotices(const ResponseHead &) override {
    BOOST_ERROR("unexpected response");
  }
  void handleAnswerHead(const ResponseHead &) override {
    BOOST_ERROR("unexpected response head");
  }
  void handleAnswerBody(std::string) override {
    BOOST_ERROR("unexpected response body");
  }
  void handleAnswerEnd(ResponseEnd) override {
    BOOST_ERROR("unexpected end of response");
  }
  void handleCallFailure(CallFailure, ConnectionEnd) override {
    BOOST_ERROR("unexpected failure");
  }
};

/** Skips the body of each response, and counts what is reported. */
struct Skipping : NoEvents {
  void handleNotices(const ResponseHead &) override {}
  void handleAnswerHead(const ResponseHead &) override { Call->skipBody(); }
  void handleAnswerEnd(ResponseEnd) override { ++Ended; }
  void handleCallFailure(CallFailure, ConnectionEnd) override { ++Failed; }
  std::shared_ptr<BackEndCall> Call;
  int Ended = 0;
  int Failed = 0;
};

/** Runs an event loop until a condition holds, for 5 s at most. */
template <typename Condition>
bool runUntil(boost::asio::io_context &Io, Condition &&Holds) {
  const auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Holds() && std::chrono::steady_clock::now() < Limit)
    Io.run_one_for(std::chrono::milliseconds(10));
  return Holds();
}

/** A call that was sent to a back end whose responses the test writes. */
struct SentCall {
  /**
   * Sends the request, and waits until its begin has come.
   * @param Events Receives the response; outlives the call.
   * @param Bytes The request.
   * @param ReceiveBuffer Size of the back end's receive buffer in bytes; 0: the
   *        usual one.
   */
  explicit SentCall(BackEndCallHandler &Events,
                    std::string Bytes = "GET /read/1 HTTP/1.1\r\n"
                                        "Host: a\r\n\r\n",
                    int ReceiveBuffer = 0)
      : Listening(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Worker(Io) {
    if (ReceiveBuffer > 0)
      Listening.set_option(
          boost::asio::socket_base::receive_buffer_size(ReceiveBuffer));
    BackEndRequest Request;
    At.Value = "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
    Request.To = At;
    Request.Bytes = std::move(Bytes);
    Request.MaxIdle = 1;
    const size_t Awaited = std::min<size_t>(Request.Bytes.size(), 1000);
    Call = std::make_shared<BackEndCall>(Io, Pool, std::move(Request), Events);
    Call->start(Millis(1000));
    Worker = Listening.accept();
    while (Worker.available() < Awaited)
      Io.run_one_for(std::chrono::milliseconds(10));
  }

  /** Sends a part of the response. */
  void send(const std::string &Text) {
    boost::asio::write(Worker, boost::asio::buffer(Text));
  }

  /** Ends what the back end sends, in order. */
  void endSending() {
    Worker.shutdown(boost::asio::socket_base::shutdown_send);
  }

  /** Resets the connection. */
  void reset() {
    Worker.set_option(boost::asio::socket_base::linger(true, 0));
    Worker.close();
  }

  boost::asio::io_context Io;
  Tcp::acceptor Listening;
  Tcp::socket Worker;
  BackEndConnectionPool Pool;
  Address At;
  std::shared_ptr<BackEndCall> Call;
};

} // namespace jacinthpond

#endif
