/** @file back_end_call_test.cpp Tests for calls to back ends. */
// Labels: routes

#include "forward/back_end_call.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace jacinthpond;
using Tcp = boost::asio::ip::tcp;

namespace {

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
  /** @param Events Receives the response; outlives the call. */
  explicit SentCall(BackEndCallHandler &Events)
      : Listening(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Worker(Io) {
    BackEndRequest Request;
    At.Value = "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
    Request.To = At;
    Request.Bytes = "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n";
    Request.MaxIdle = 1;
    Call = std::make_shared<BackEndCall>(Io, Pool, Request, Events);
    Call->start(Millis(1000));
    Worker = Listening.accept();
    while (Worker.available() < Request.Bytes.size())
      Io.run_one_for(std::chrono::milliseconds(10));
  }

  boost::asio::io_context Io;
  Tcp::acceptor Listening;
  Tcp::socket Worker;
  BackEndConnectionPool Pool;
  Address At;
  std::shared_ptr<BackEndCall> Call;
};

} // namespace

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

namespace {

/** Keeps what is reported of a response. */
struct Recording : NoEvents {
  void handleNotices(const ResponseHead &) override {}
  void handleAnswerHead(const ResponseHead &) override {}
  void handleAnswerBody(std::string Bytes) override { Body += Bytes; }
  void handleAnswerEnd(ResponseEnd How) override { Ended = How; }
  void handleCallFailure(CallFailure Why, ConnectionEnd End) override {
    Failed = Why;
    FailedBy = End;
  }
  bool isOver() const { return Ended || Failed; }

  std::string Body;
  std::optional<ResponseEnd> Ended;
  std::optional<CallFailure> Failed;
  std::optional<ConnectionEnd> FailedBy;
};

/** A call whose request is larger than the kernel buffers, at a back end that
 * has read only its head. */
struct OpenUpload {
  explicit OpenUpload(BackEndCallHandler &Events)
      : Listening(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Worker(Io) {
    constexpr size_t Size = 16 << 20;
    Listening.set_option(boost::asio::socket_base::receive_buffer_size(16384));
    BackEndRequest Request;
    At.Value = "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
    Request.To = At;
    Request.Bytes = "POST /book/1 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                    std::to_string(Size) + "\r\n\r\n" + std::string(Size, 'x');
    Request.MaxIdle = 1;
    Call = std::make_shared<BackEndCall>(Io, Pool, Request, Events);
    Call->start(Millis(1000));
    Worker = Listening.accept();
    BOOST_REQUIRE(runUntil(Io, [&] { return Worker.available() > 1000; }));
    std::string Head;
    boost::asio::read_until(Worker, boost::asio::dynamic_buffer(Head, 16384),
                            "\r\n\r\n");
  }

  void send(const std::string &Text) {
    boost::asio::write(Worker, boost::asio::buffer(Text));
  }

  void endSending() {
    Worker.shutdown(boost::asio::socket_base::shutdown_send);
  }

  void reset() {
    Worker.set_option(boost::asio::socket_base::linger(true, 0));
    Worker.close();
  }

  /** Receives what has come of the request.
   * @return False once the other side has closed. */
  bool receive() {
    Worker.non_blocking(true);
    std::vector<char> Bytes(1 << 20);
    boost::system::error_code ec;
    while (Worker.read_some(boost::asio::buffer(Bytes), ec) > 0) {
    }
    return ec == boost::asio::error::would_block;
  }

  boost::asio::io_context Io;
  Tcp::acceptor Listening;
  Tcp::socket Worker;
  BackEndConnectionPool Pool;
  Address At;
  std::shared_ptr<BackEndCall> Call;
};

const std::string PlainHead = "HTTP/1.1 200 OK\r\n\r\n";

} // namespace

// Guards against a reset that only the write of the request is told, so that
// the end of file that the read is told ends a part of a response as a whole.
BOOST_AUTO_TEST_CASE(AResetDuringAnUploadCompletesNoResponse) {
  Recording Events;
  OpenUpload One(Events);
  One.send(PlainHead + "part");
  One.reset();
  BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.isOver(); }));
  BOOST_TEST(!Events.Ended.has_value());
  BOOST_CHECK(Events.FailedBy == ConnectionEnd::Reset);
}

// Guards against an end of file that a reset follows, before the back end has
// received the request, which ends a part of a response as a whole.
BOOST_AUTO_TEST_CASE(AResetAfterTheEndCompletesNoResponse) {
  Recording Events;
  OpenUpload One(Events);
  One.send(PlainHead + "part");
  One.endSending();
  One.Io.run_for(std::chrono::milliseconds(100));
  One.reset();
  BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.isOver(); }));
  BOOST_TEST(!Events.Ended.has_value());
  BOOST_CHECK(Events.FailedBy == ConnectionEnd::Reset);
}

// Guards against whole responses that are lost since their back end ends
// sending in order before it has received the request.
BOOST_AUTO_TEST_CASE(AnOrderlyEndDuringAnUploadCompletesAResponse) {
  for (const bool ReadsOn : {true, false}) {
    Recording Events;
    OpenUpload One(Events);
    One.send(PlainHead + "whole");
    One.endSending();
    BOOST_REQUIRE(runUntil(One.Io, [&] {
      if (ReadsOn)
        One.receive();
      return Events.isOver();
    }));
    BOOST_CHECK(Events.Ended == ResponseEnd::Closed);
    BOOST_TEST(Events.Body == "whole");
    BOOST_TEST(One.Call->closeEnded());
    BOOST_TEST(runUntil(One.Io, [&] { return !One.receive(); }));
  }
}

// Guards against a reset that follows the end of file of a response, while it
// is checked whether the back end lives on.
BOOST_AUTO_TEST_CASE(AResetIsSeenUntilTheConnectionIsClosed) {
  for (const bool Reset : {false, true}) {
    Recording Events;
    SentCall One(Events);
    boost::asio::write(One.Worker, boost::asio::buffer(PlainHead + "part"));
    One.Worker.shutdown(boost::asio::socket_base::shutdown_send);
    BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.isOver(); }));
    BOOST_CHECK(Events.Ended == ResponseEnd::Closed);
    if (Reset) {
      One.Worker.set_option(boost::asio::socket_base::linger(true, 0));
      One.Worker.close();
    }
    BOOST_TEST(One.Call->closeEnded() == !Reset);
  }
}

// Guards against a connection that is freed while the request is still being
// written to it, which ended the process.
BOOST_AUTO_TEST_CASE(AResponseMayEndBeforeItsRequest) {
  const std::vector<std::string> Responses = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\n\r\n",
      "HTTP/1.1 413 Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"};
  for (const std::string &Response : Responses) {
    Recording Events;
    OpenUpload One(Events);
    One.send(Response);
    BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.isOver(); }));
    BOOST_CHECK(Events.Ended == ResponseEnd::Marked);
    BOOST_TEST((Events.Body.empty() || Events.Body == "whole"));
    One.Call.reset();
    // The back end goes on reading, and so does the write.
    BOOST_TEST(runUntil(One.Io, [&] { return !One.receive(); }));
    BOOST_TEST(One.Pool.take(One.At, std::chrono::steady_clock::now()) ==
               nullptr);
  }
}

// Guards against the same for a response whose body is skipped, whole or not.
BOOST_AUTO_TEST_CASE(ASkippedBodyMayEndBeforeItsRequest) {
  for (const char *Body : {"xx", "x", ""}) {
    Skipping Events;
    OpenUpload One(Events);
    Events.Call = std::move(One.Call);
    One.send("HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\n" +
             std::string(Body));
    BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.Ended == 1; }));
    Events.Call.reset();
    BOOST_TEST(runUntil(One.Io, [&] { return !One.receive(); }));
    BOOST_TEST(One.Pool.take(One.At, std::chrono::steady_clock::now()) ==
               nullptr);
    BOOST_TEST(Events.Failed == 0);
  }
}
