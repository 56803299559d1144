/** @file early_answer_test.cpp Answers that come while their requests are still
 * being sent.
 */
// Labels: routes

#include "scripted_server.h"

#include <poll.h>

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

using namespace jacinthpond::fleet;

namespace {

/** Larger than what the kernel takes of an upload that is not read. */
constexpr size_t BodyBytes = 4 << 20;

/** What a server does after its answer, with most of the upload unread. */
enum class Afterwards : uint8_t {
  ReadOn,
  StopReading,
  Close,
  Reset,
  EndSending,
  EndSendingThenReset
};

struct AfterwardsRow {
  const char *Name; ///< For messages.
  Afterwards What;  ///< What it does.
};

constexpr std::array<AfterwardsRow, 5> AllAfterwards = {
    {{"reads on", Afterwards::ReadOn},
     {"stops reading", Afterwards::StopReading},
     {"closes", Afterwards::Close},
     {"resets", Afterwards::Reset},
     {"ends sending", Afterwards::EndSending}}};

/** Receives until the other side closes, or the server is to end. */
void receiveAll(ScriptedRequest &Request) {
  std::vector<char> Bytes(65536);
  boost::system::error_code ec;
  while (!ec && !Request.Stopped)
    Request.Socket.read_some(boost::asio::buffer(Bytes), ec);
}

/** Waits until the other side closes, or the server is to end, and reads
 * nothing meanwhile. */
void holdUnread(ScriptedRequest &Request) {
  const auto End = std::chrono::steady_clock::now() + 2s;
  pollfd One{Request.Socket.native_handle(), 0, 0};
  while (!Request.Stopped && std::chrono::steady_clock::now() < End)
    if (poll(&One, 1, 20) > 0)
      return;
}

/** Gives the script of a server that answers after the head of a request. */
ServerScript answerEarly(const std::string &Answer, Afterwards Then) {
  return [Answer, Then](ScriptedRequest &Request) {
    boost::system::error_code ec;
    boost::asio::write(Request.Socket,
                       boost::asio::buffer(Request.withId(Answer)), ec);
    switch (Then) {
    case Afterwards::ReadOn:
      receiveAll(Request);
      return;
    case Afterwards::StopReading:
      holdUnread(Request);
      return;
    case Afterwards::Close:
      return;
    case Afterwards::EndSendingThenReset:
      Request.Socket.shutdown(boost::asio::socket_base::shutdown_send, ec);
      [[fallthrough]];
    case Afterwards::Reset:
      Request.Socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
      return;
    case Afterwards::EndSending:
      Request.Socket.shutdown(boost::asio::socket_base::shutdown_send, ec);
      receiveAll(Request);
      return;
    }
  };
}

RouteAsk uploadTo(const std::string &Path) {
  RouteAsk What;
  What.Method = "POST";
  What.Path = Path;
  What.Body = std::string(BodyBytes, 'x');
  return What;
}

/** One entry that takes long uploads, before a sound server and one that
 * answers early. */
struct EarlyFleet : ScriptedEntry {
  EarlyFleet() : ScriptedEntry(SmallReceiveBuffer, limits()) {}

  static Json limits() { return {{"max_body_bytes", BodyBytes}}; }

  /** Sends uploads, some of them to the server that answers early. */
  std::vector<httplib::Response> upload(const std::string &Path,
                                        const ServerScript &Script) {
    Bad.setScript(Script);
    enterAnew();
    const RouteAsk What = uploadTo(Path);
    meet(What);
    std::chrono::milliseconds Slowest{0};
    return askAll(What, 4, 1, Slowest);
  }

  bool isRunning() {
    return !All->process("entry-0").waitExit(0ms) && All->ask(0, {}).status > 0;
  }
};

/** Says whether an answer is the sound server's, or an error of the entry. */
bool isSoundOrError(const httplib::Response &Answer) {
  return (Answer.status == 200 && Answer.body.starts_with("answer to")) ||
         Answer.status == 502 || Answer.status == 503;
}

/** Paths of requests that may be sent once, and again. */
constexpr std::array<const char *, 2> Paths = {"/book/1", "/read/1"};

} // namespace

// Guards against a part of an answer that is delivered as a whole one, since
// only the write of the request was told of the reset.
BOOST_FIXTURE_TEST_CASE(PartsBeforeAResetAreNotWhole, EarlyFleet) {
  const std::string Part = "\r\na part of an answer";
  const std::string Old = "HTTP/1.0" + Good.substr(8);
  const std::string Created = "HTTP/1.1 201 Created" + Good.substr(15);
  const std::vector<std::pair<const char *, std::string>> Answers = {
      {"no length", Good + Part},
      {"Connection: close", Good + "Connection: close\r\n" + Part},
      {"HTTP/1.0", Old + Part},
      {"201", Created + Part},
      {"empty part", Good + "\r\n"},
      {"long part", Good + Part + std::string(200000, 'p')},
      {"transfer coding", Good + "Transfer-Encoding: gzip\r\n" + Part},
      {"events", Good + "Content-Type: text/event-stream\r\n\r\n"
                        "id: 1\ndata: part\n\n"}};
  for (const auto &[Name, Answer] : Answers)
    for (const Afterwards Then : {Afterwards::Reset, Afterwards::Close,
                                  Afterwards::EndSendingThenReset})
      for (const char *Path : Paths) {
        // A stream that has begun can only be broken off.
        const bool Streamed = Answer.find("event-stream") != std::string::npos;
        for (const httplib::Response &Got :
             upload(Path, answerEarly(Answer, Then)))
          BOOST_TEST((isSoundOrError(Got) || (Streamed && Got.status < 0)),
                     Name << Path << ": " << Got.status << " "
                          << Got.body.substr(0, 40));
      }
  BOOST_TEST(isRunning());
}

// Guards against an answer whose end frees the connection that the upload is
// still being written to, which ended the process.
BOOST_FIXTURE_TEST_CASE(WholeAnswersBeforeTheEndOfTheUpload, EarlyFleet) {
  const std::string Id = "\r\nX-Jacinthpond-Attempt-Id: ID\r\n";
  const std::string Body = "Content-Length: 5\r\n\r\nwhole";
  const std::vector<std::pair<unsigned, std::string>> Answers = {
      {200, Good + Body},
      {200, Good + Chunked + "5\r\nwhole\r\n0\r\n\r\n"},
      {413, "HTTP/1.1 413 Large" + Id + Body},
      {500, "HTTP/1.1 500 Failed" + Id + Body},
      {503,
       "HTTP/1.1 503 Full" + Id + "X-Jacinthpond-Not-Executed: 1\r\n" + Body}};
  for (const auto &[Status, Answer] : Answers)
    for (const AfterwardsRow &Row : AllAfterwards) {
      size_t Early = 0;
      for (const httplib::Response &Got :
           upload("/book/1", answerEarly(Answer, Row.What))) {
        const bool IsEarly =
            Got.status == static_cast<int>(Status) && Got.body == "whole";
        Early += IsEarly ? 1 : 0;
        BOOST_TEST((IsEarly || isSoundOrError(Got)),
                   Status << ", " << Row.Name << ": " << Got.status << " "
                          << Got.body.substr(0, 40));
      }
      BOOST_TEST_MESSAGE(Status << ", " << Row.Name << ": " << Early
                                << " of 4");
      BOOST_REQUIRE(isRunning());
    }
}

// Guards against whole answers that are lost since they end with their
// connection before the upload does.
BOOST_FIXTURE_TEST_CASE(AnOrderlyEndBeforeTheEndOfTheUpload, EarlyFleet) {
  size_t Early = 0;
  for (const httplib::Response &Got :
       upload("/book/1",
              answerEarly(Good + "\r\nwhole", Afterwards::EndSending))) {
    BOOST_TEST(Got.status == 200);
    Early += Got.body == "whole" ? 1 : 0;
  }
  BOOST_TEST(Early > 0U);
  BOOST_TEST(isRunning());
}
