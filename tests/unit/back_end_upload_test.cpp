/** @file back_end_upload_test.cpp Tests for calls to back ends whose responses
 * end before their requests, or with their connections.
 */
// Labels: routes

#include "sent_call.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace jacinthpond;

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

/** A call whose request is larger than what the kernel takes at once, at a back
 * end that has read only its head. */
struct OpenUpload : SentCall {
  explicit OpenUpload(BackEndCallHandler &Events)
      : SentCall(Events, upload(), 16384) {
    std::string Head;
    boost::asio::read_until(Worker, boost::asio::dynamic_buffer(Head, 16384),
                            "\r\n\r\n");
  }

  static std::string upload() {
    constexpr size_t Size = 16 << 20;
    return "POST /book/1 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(Size) + "\r\n\r\n" + std::string(Size, 'x');
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
};

/** Fills the kernel's buffers with the request, and empties them at the back
 * end: the next parts are written at once, while the response is read. */
void makeRoom(OpenUpload &One) {
  One.Io.run_for(std::chrono::milliseconds(50));
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
  while (std::chrono::steady_clock::now() < End)
    One.receive();
}

/** Checks that the connection is closed, once the pending write has gone on,
 * and that no other request gets it. */
void checkClosed(OpenUpload &One) {
  One.Io.run_for(std::chrono::milliseconds(20));
  BOOST_TEST(runUntil(One.Io, [&] { return !One.receive(); }));
  BOOST_TEST(One.Pool.take(One.At, std::chrono::steady_clock::now()) ==
             nullptr);
}

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
    One.send(PlainHead + "part");
    One.endSending();
    BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.isOver(); }));
    BOOST_CHECK(Events.Ended == ResponseEnd::Closed);
    if (Reset)
      One.reset();
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
    makeRoom(One);
    One.send(Response);
    BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.isOver(); }));
    BOOST_CHECK(Events.Ended == ResponseEnd::Marked);
    BOOST_TEST((Events.Body.empty() || Events.Body == "whole"));
    One.Call.reset();
    checkClosed(One);
  }
}

// Guards against the same for a response whose body is skipped, whole or not.
BOOST_AUTO_TEST_CASE(ASkippedBodyMayEndBeforeItsRequest) {
  for (const char *Body : {"xx", "x", ""}) {
    Skipping Events;
    OpenUpload One(Events);
    Events.Call = std::move(One.Call);
    makeRoom(One);
    One.send("HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\n" +
             std::string(Body));
    BOOST_REQUIRE(runUntil(One.Io, [&] { return Events.Ended == 1; }));
    Events.Call.reset();
    checkClosed(One);
    BOOST_TEST(Events.Failed == 0);
  }
}
