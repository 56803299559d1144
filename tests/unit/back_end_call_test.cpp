/** @file back_end_call_test.cpp Tests for calls to back ends. */
// Labels: routes

#include "sent_call.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace jacinthpond;

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

// Guards against a request that is written although its back end asked for a
// pause while the connection was being opened.
BOOST_AUTO_TEST_CASE(AWithheldRequestIsNotWritten) {
  struct Withholding : NoEvents {
    bool maySendRequest() override { return false; }
    void handleCallFailure(CallFailure Why, ConnectionEnd) override {
      Failed = Why;
    }
    std::optional<CallFailure> Failed;
  };
  boost::asio::io_context Io;
  Tcp::acceptor Listening(Io, {boost::asio::ip::address_v4::loopback(), 0});
  BackEndConnectionPool Pool;
  Withholding Events;
  BackEndRequest Request;
  Request.To.Value =
      "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
  Request.Bytes = "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto Call = std::make_shared<BackEndCall>(Io, Pool, Request, Events);
  Call->start(Millis(1000));
  Tcp::socket Worker = Listening.accept();
  while (!Events.Failed)
    Io.run_one_for(std::chrono::milliseconds(10));
  BOOST_CHECK(*Events.Failed == CallFailure::Withheld);
  BOOST_TEST(!Call->hasSent());
  std::string Received;
  boost::system::error_code Ignored;
  boost::asio::read(Worker, boost::asio::dynamic_buffer(Received), Ignored);
  BOOST_TEST(Received.empty());
}

// Guards against notices in a late response to an earlier request that are
// dropped with it.
BOOST_AUTO_TEST_CASE(NoticesOfALateResponseAreHandled) {
  struct Counting : NoEvents {
    void handleNotices(const ResponseHead &Head) override {
      Statuses.push_back(Head.result_int());
    }
    void handleAnswerHead(const ResponseHead &) override {}
    void handleAnswerEnd(ResponseEnd) override {}
    std::vector<unsigned> Statuses;
  };
  boost::asio::io_context Io;
  Tcp::acceptor Listening(Io, {boost::asio::ip::address_v4::loopback(), 0});
  BackEndConnectionPool Pool;
  Counting Events;
  BackEndRequest Request;
  Request.To.Value =
      "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
  Request.Bytes = "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n";
  Request.AttemptIdHeader = "Attempt";
  Request.AttemptId = "2";
  const auto Call = std::make_shared<BackEndCall>(Io, Pool, Request, Events);
  Call->start(Millis(1000));
  Tcp::socket Worker = Listening.accept();
  const std::string Late = "HTTP/1.1 503 Full\r\nAttempt: 1\r\n"
                           "Content-Length: 0\r\n\r\n";
  const std::string Own = "HTTP/1.1 200 Fine\r\nAttempt: 2\r\n"
                          "Content-Length: 0\r\n\r\n";
  boost::asio::write(Worker, boost::asio::buffer(Late + Own));
  const auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (Events.Statuses.size() < 2 && std::chrono::steady_clock::now() < Limit)
    Io.run_one_for(std::chrono::milliseconds(10));
  const std::vector<unsigned> Expected = {503, 200};
  BOOST_TEST(Events.Statuses == Expected, boost::test_tools::per_element());
}

namespace {

/** Expects a response to be malformed, sent in two parts. */
void checkMalformed(const std::string &First, const std::string &Rest) {
  struct Failing : NoEvents {
    void handleNotices(const ResponseHead &) override {}
    void handleCallFailure(CallFailure, ConnectionEnd End) override {
      Ended = End;
    }
    std::optional<ConnectionEnd> Ended;
  };
  Failing Events;
  SentCall One(Events);
  boost::asio::write(One.Worker, boost::asio::buffer(First));
  if (!Rest.empty()) {
    One.Io.run_for(std::chrono::milliseconds(20));
    boost::asio::write(One.Worker, boost::asio::buffer(Rest));
  }
  runUntil(One.Io, [&] { return Events.Ended.has_value(); });
  BOOST_TEST_REQUIRE(Events.Ended.has_value(), First << "..." << Rest);
  BOOST_CHECK(*Events.Ended == ConnectionEnd::Malformed);
}

} // namespace

// Guards against a status line without a status, which passed for an interim
// response, so that the request waited for its deadline.
BOOST_AUTO_TEST_CASE(AResponseWithoutAStatusIsMalformed) {
  checkMalformed("HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n", "");
}

// Guards against folded lines, which the parser joins to the value of the
// header before them: that value is not the back end's.
BOOST_AUTO_TEST_CASE(AResponseWithFoldedLinesIsMalformed) {
  const std::string Begin = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n";
  checkMalformed(Begin + " c\r\n\r\n", "");
  checkMalformed(Begin + "\tc\r\nD: e\r\n\r\n", "");
  checkMalformed(Begin, " c\r\n\r\n");
  checkMalformed(Begin + "C: d", "\r\n \r\n\r\n");
  checkMalformed("HTTP/1.1 100 Continue\r\nA: b\r\n c\r\n\r\n", "");
}

namespace {

/** A call whose response has a body that the handler does not want. The first
 * byte of it comes with the head. */
struct SkippedBody {
  explicit SkippedBody(size_t Length) {
    Events.Call = std::move(Sent.Call);
    send("HTTP/1.1 503 Full\r\nContent-Length: " + std::to_string(Length) +
         "\r\n\r\nx");
    BOOST_TEST(runUntil(Sent.Io, [&] { return Events.Ended == 1; }));
    Events.Call.reset();
  }

  /** Sends bytes and lets the entry's side read them. */
  void send(const std::string &Text) {
    boost::system::error_code Ignored; // The other side may have closed.
    boost::asio::write(Sent.Worker, boost::asio::buffer(Text), Ignored);
    Sent.Io.run_for(std::chrono::milliseconds(50));
  }

  /** Says whether the connection was kept for the next request. */
  bool isKept() {
    return Sent.Pool.take(Sent.At, std::chrono::steady_clock::now()) != nullptr;
  }

  /** Says whether the other side has closed the connection. */
  bool isClosed() {
    Sent.Worker.non_blocking(true);
    std::string Request;
    boost::system::error_code ec;
    boost::asio::read(Sent.Worker, boost::asio::dynamic_buffer(Request), ec);
    return ec != boost::asio::error::would_block;
  }

  Skipping Events;
  SentCall Sent{Events};
};

} // namespace

// Guards against refusals that cost a connection each, since their bodies come
// behind their heads.
BOOST_AUTO_TEST_CASE(TheConnectionOfASkippedBodyIsKept) {
  SkippedBody One(10);
  BOOST_TEST(!One.isKept());
  One.send(std::string(9, 'x'));
  BOOST_TEST(One.isKept());
  BOOST_TEST(One.Events.Failed == 0);
}

// Guards against a skipped body without end, which is read for ever.
BOOST_AUTO_TEST_CASE(ALongSkippedBodyEndsItsConnection) {
  SkippedBody Long(100000);
  for (int n = 0; n < 20; ++n)
    Long.send(std::string(5000, 'x'));
  BOOST_TEST(!Long.isKept());
  BOOST_TEST(Long.isClosed());
  SkippedBody Silent(10);
  Silent.Sent.Io.run_for(std::chrono::seconds(1));
  BOOST_TEST(Silent.isClosed());
  BOOST_TEST(Silent.Events.Failed == 0);
}
