/** @file caller_session_test.cpp A caller's connection: what is written and
 * read whole, whatever its timeouts.
 */
// Labels: routes path

#include "forward/caller_session.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace jacinthpond;
using Tcp = boost::asio::ip::tcp;

namespace {

/** A session on a loopback connection, and its caller. */
struct Connected {
  Connected() : Caller(Io) {
    Callbacks.OnRequest = [this](const auto &Session,
                                 const CallerRequest &Request) {
      Paths.emplace_back(Request.target());
      Open = Session;
      Last = Session;
      if (AnswerAtOnce)
        answer("done");
    };
    Callbacks.OnBadRequest = [](CallerRefusal Why) {
      CallerAnswer Out;
      Out.result(Why == CallerRefusal::Slow ? 408 : 400);
      return Out;
    };
    Callbacks.Limits = [this] {
      CallerLimits Limits;
      Limits.IdleTimeout = Millis(IdleMillis);
      Limits.HeadTimeout = Millis(1000);
      return Limits;
    };
    Callbacks.IsLeaving = [] { return false; };
    Tcp::acceptor Listener(
        Io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Caller.open(Tcp::v4());
    // Small, so that most of a large answer waits at the session.
    Caller.set_option(boost::asio::socket_base::receive_buffer_size(16 << 10));
    Caller.connect(Listener.local_endpoint());
    std::make_shared<CallerSession>(Listener.accept(), Callbacks)->start();
    Serving = std::thread([this] { Io.run(); });
  }
  ~Connected() {
    Io.stop();
    Serving.join();
  }
  Connected(const Connected &) = delete;
  Connected &operator=(const Connected &) = delete;

  /** Answers the request that is open; on the thread of the session. */
  void answer(const std::string &Body) {
    CallerAnswer Out;
    Out.result(200);
    Out.body() = Body;
    const auto To = std::exchange(Open, nullptr);
    To->answer(std::move(Out));
  }

  /** Runs something on the thread of the session, and waits for it. */
  template <typename Work> void run(Work Do) {
    std::atomic<bool> Done{false};
    boost::asio::post(Io, [&] {
      Do();
      Done = true;
      Done.notify_one();
    });
    Done.wait(false);
  }

  void send(const std::string &Path) {
    const std::string Text = "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::write(Caller, boost::asio::buffer(Text));
  }

  /** Waits until the session has handed on some requests. */
  bool waitForRequests(size_t Count) {
    for (int n = 0; n < 400; ++n) {
      size_t Seen = 0;
      run([&] { Seen = Paths.size(); });
      if (Seen >= Count)
        return true;
      std::this_thread::sleep_for(Millis(5));
    }
    return false;
  }

  /** Waits until the session has closed its connection. */
  bool waitForClose() {
    for (int n = 0; n < 2000; ++n) {
      bool Gone = false;
      run([&] { Gone = Last.expired(); });
      if (Gone)
        return true;
      std::this_thread::sleep_for(Millis(5));
    }
    return false;
  }

  /** Reads slowly, until the connection ends or so much has come. */
  size_t readSlowly(size_t Most, Millis Pause) {
    std::vector<char> Bytes(64 << 10);
    size_t Sum = 0;
    boost::system::error_code ec;
    while (Sum < Most && !ec) {
      Sum += Caller.read_some(boost::asio::buffer(Bytes), ec);
      std::this_thread::sleep_for(Pause);
    }
    return Sum;
  }

  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Io.get_executor()};
  std::atomic<int> IdleMillis{100};
  std::atomic<bool> AnswerAtOnce{false};
  SessionCallbacks Callbacks;
  std::vector<std::string> Paths; ///< Of the requests that were handed on.
  std::shared_ptr<CallerSession> Open;
  std::weak_ptr<CallerSession> Last; ///< Expires when the session has closed.
  Tcp::socket Caller;
  std::thread Serving;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerSessions, Connected)

// Guards against answers that are cut off by the idle timeout while they are
// still being written to a caller that reads slowly.
BOOST_AUTO_TEST_CASE(AnAnswerIsWrittenWholeWhateverTheIdleTimeout) {
  constexpr size_t BodyBytes = 8 << 20;
  IdleMillis = 1000;
  send("/large");
  BOOST_REQUIRE(waitForRequests(1));
  run([&] { answer(std::string(BodyBytes, 'x')); });
  BOOST_TEST(readSlowly(BodyBytes, Millis(10)) >= BodyBytes);
}

// Guards against callers that find their kept connection closed, since the
// idle timeout was raised while it was idle.
BOOST_AUTO_TEST_CASE(ARaisedIdleTimeoutHoldsForIdleConnections) {
  AnswerAtOnce = true;
  send("/first");
  BOOST_REQUIRE(waitForRequests(1));
  IdleMillis = 2000;
  std::this_thread::sleep_for(Millis(300));
  send("/second");
  BOOST_TEST(waitForRequests(2));
}

// Guards against connections that stay open although nothing is read or sent.
BOOST_AUTO_TEST_CASE(AnIdleConnectionIsClosed) {
  AnswerAtOnce = true;
  send("/first");
  BOOST_REQUIRE(waitForRequests(1));
  const auto Begin = std::chrono::steady_clock::now();
  readSlowly(1 << 20, Millis(0));
  const auto Took = std::chrono::steady_clock::now() - Begin;
  BOOST_TEST((Took >= Millis(80)));
  BOOST_TEST((Took < Millis(1000)));
}

// Guards against pipelined requests whose answers pile up, since nobody reads
// them.
BOOST_AUTO_TEST_CASE(ARequestWaitsUntilTheAnswersBeforeItAreRead) {
  constexpr size_t BodyBytes = 8 << 20;
  IdleMillis = 5000;
  send("/a");
  send("/b");
  BOOST_REQUIRE(waitForRequests(1));
  run([&] { answer(std::string(BodyBytes, 'x')); });
  std::this_thread::sleep_for(Millis(100));
  run([&] { BOOST_TEST(Paths.size() == 1U); });
  readSlowly(BodyBytes, Millis(0));
  BOOST_TEST(waitForRequests(2));
}

// Guards against callers that hold an answer for ever without reading it.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsNotReadIsGivenUp) {
  constexpr size_t BodyBytes = 8 << 20;
  send("/a");
  BOOST_REQUIRE(waitForRequests(1));
  run([&] { answer(std::string(BodyBytes, 'x')); });
  BOOST_TEST(waitForClose());
  BOOST_TEST(readSlowly(2 * BodyBytes, Millis(0)) < BodyBytes);
}

// Guards against requests that are lost, or run twice, when several are sent
// before the first is answered.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreReadInOrder) {
  IdleMillis = 5000;
  send("/a");
  BOOST_REQUIRE(waitForRequests(1));
  send("/b");
  std::this_thread::sleep_for(Millis(50)); // It is buffered meanwhile.
  run([&] { answer("a"); });
  BOOST_REQUIRE(waitForRequests(2));
  send("/c");
  std::this_thread::sleep_for(Millis(50));
  run([&] { answer("b"); });
  BOOST_REQUIRE(waitForRequests(3));
  run([&] {
    const std::vector<std::string> Expected = {"/a", "/b", "/c"};
    BOOST_TEST(Paths == Expected, boost::test_tools::per_element());
  });
}

BOOST_AUTO_TEST_SUITE_END()
