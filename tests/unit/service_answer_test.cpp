/** @file service_answer_test.cpp Answers of services to their agents. */
// Labels: product

#include "http/http_backends.h"
#include "raw_server.h"

#include "base/error_func.h"

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace jacinthpond;

namespace {

const std::string StatusLine = "HTTP/1.1 200 OK\r\n";

/** A part of an answer without a length. */
const std::string Part = StatusLine + "\r\na part";

void reset(RawServer::Tcp::socket &Socket) {
  Socket.set_option(boost::asio::socket_base::linger(true, 0));
  Socket.close();
}

/** A body that no buffers of the kernel hold. */
const std::string LongBody(16 << 20, 'x');
/** Most bytes of a body that are read with the head before it. */
constexpr size_t MaxReadWithHead = 65536;

/** Sends a text, reads nothing for a while, and resets the connection. */
RawServer::Script thenReset(const std::string &Text,
                            std::chrono::milliseconds Wait) {
  return [Text, Wait](RawServer::Tcp::socket &Socket) {
    RawServer::sending(Text)(Socket);
    std::this_thread::sleep_for(Wait);
    reset(Socket);
  };
}

/** What an agent gets for a call to a service. */
Outcome<ServiceAnswer> callAt(const RawServer &Server,
                              const std::string &Body = "{}") {
  HttpService Service(Server.url());
  ServiceCall Call;
  Call.Class.Value = "book";
  Call.Body = Body;
  Call.Timeout = Millis(1000);
  return outcomeOf([&] { return Service.call(Call); });
}

/** Expects a call to have no answer and an unknown outcome. */
void checkUnknown(const Outcome<ServiceAnswer> &Got) {
  BOOST_TEST(!Got.Value.has_value());
  BOOST_CHECK(Got.Why.Kind == ErrorKind::OutcomeUnknown);
}

} // namespace

// Guards against answers that are taken although their heads are broken: their
// status means nothing, or their length is not what the service meant.
BOOST_AUTO_TEST_CASE(AnswersWithBrokenHeadsAreNone) {
  for (const std::string &Head : std::vector<std::string>{
           "HTTP/1.1 000 None\r\nContent-Length: 5\r\n",
           "HTTP/1.1 099 None\r\nContent-Length: 5\r\n",
           StatusLine + "A b: c\r\nContent-Length: 5\r\n",
           StatusLine + "A\x01: c\r\nContent-Length: 5\r\n",
           StatusLine + "Content-Length: 5\r\nA: b\r\n folded\r\n",
           StatusLine + "Content-Length: 3x\r\n",
           StatusLine + "Content-Length: 3\r\nContent-Length: 5\r\n",
           StatusLine + "Transfer-Encoding: gzip\r\n"}) {
    const RawServer Server({RawServer::sending(Head + "\r\nwhole")});
    BOOST_TEST_CONTEXT(Head) { checkUnknown(callAt(Server)); }
  }
}

// Guards against a part of an answer without a length that passes for the
// whole, since its service crashed, which closes the connection as well.
BOOST_AUTO_TEST_CASE(APartOfAnAnswerOfACrashedServiceIsNone) {
  const RawServer Server({RawServer::sending(Part)});
  checkUnknown(callAt(Server));
}

// Guards against the same for a service that lives on, and resets the
// connection after its end.
BOOST_AUTO_TEST_CASE(APartOfAnAnswerBeforeAResetIsNone) {
  const RawServer Server({[](RawServer::Tcp::socket &Socket) {
                            RawServer::sending(Part)(Socket);
                            Socket.shutdown(
                                boost::asio::socket_base::shutdown_send);
                            reset(Socket);
                          },
                          RawServer::sending(StatusLine + "\r\nrun 1")});
  checkUnknown(callAt(Server));
}

// Guards against the same for a reset of which only the write of a long body is
// told.
BOOST_AUTO_TEST_CASE(APartOfAnAnswerDuringAnUploadIsNone) {
  const RawServer Server({thenReset(Part, std::chrono::milliseconds(0)),
                          RawServer::sending(StatusLine + "\r\nrun 1")});
  checkUnknown(callAt(Server, LongBody));
}

// Guards against refusals that are told as unknown outcomes, since the service
// did not take the rest of a long request.
BOOST_AUTO_TEST_CASE(AnAnswerBeforeTheEndOfAnUploadIsTold) {
  const std::string Refusal =
      "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
  const std::string Whole = StatusLine + "Content-Length: 4\r\n\r\ndone";
  for (const std::string &Sent : {Refusal, Whole}) {
    const RawServer Server({thenReset(Sent, std::chrono::milliseconds(0)),
                            thenReset(Sent, std::chrono::milliseconds(1500)),
                            RawServer::sending(Sent)});
    for (const char *Then : {"resets", "stops reading", "reads on"}) {
      BOOST_TEST_CONTEXT(Sent << ", " << Then) {
        const auto Got = callAt(Server, LongBody);
        const ServiceAnswer Told = Got.Value.value_or(ServiceAnswer{});
        BOOST_TEST(Told.Status == (Sent == Whole ? 200 : 503));
        BOOST_TEST(Told.Body == (Sent == Whole ? "done" : "busy"));
      }
    }
  }
}

// Guards against the same for a part of such an answer, or a malformed one,
// that passes for the whole.
BOOST_AUTO_TEST_CASE(APartBeforeTheEndOfAnUploadIsNone) {
  for (const std::string &Sent : std::vector<std::string>{
           StatusLine + "Content-Length: 40\r\n\r\na part",
           StatusLine + "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
           Part, StatusLine + "Content-Le", "HTTP/1.1 100 Continue\r\n\r\n",
           "HTTP/1.1 000 None\r\nContent-Length: 6\r\n\r\na part"}) {
    const RawServer Server({thenReset(Sent, std::chrono::milliseconds(0)),
                            thenReset(Sent, std::chrono::milliseconds(1500)),
                            RawServer::sending(StatusLine + "\r\nrun 1")});
    for (const char *Then : {"resets", "stops reading"})
      BOOST_TEST_CONTEXT(Sent << ", " << Then) {
        checkUnknown(callAt(Server, LongBody));
      }
  }
}

// Guards against requests of which a part is sent only, since something came
// before their end.
BOOST_AUTO_TEST_CASE(AnInterimAnswerDoesNotEndAnUpload) {
  size_t Received = 0;
  const RawServer Server({[&](RawServer::Tcp::socket &Socket) {
    RawServer::sending("HTTP/1.1 100 Continue\r\n\r\n")(Socket);
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    std::string Into(LongBody.size() - MaxReadWithHead, '\0');
    boost::system::error_code ec;
    Received = boost::asio::read(Socket, boost::asio::buffer(Into), ec);
    RawServer::sending(StatusLine + "Content-Length: 4\r\n\r\ndone")(Socket);
  }});
  const auto Got = callAt(Server, LongBody);
  BOOST_REQUIRE(Got.Value.has_value());
  BOOST_TEST(Got.Value->Body == "done");
  BOOST_TEST(Received == LongBody.size() - MaxReadWithHead);
}

// Guards against whole answers that are lost since only the close of their
// connection ends them.
BOOST_AUTO_TEST_CASE(AnAnswerMayEndWithItsConnection) {
  const RawServer Server({RawServer::sending(StatusLine + "\r\nwhole"),
                          RawServer::sending(StatusLine + "\r\nrun 1")});
  const auto Got = callAt(Server);
  BOOST_REQUIRE(Got.Value.has_value());
  BOOST_TEST(Got.Value->Status == 200);
  BOOST_TEST(Got.Value->Body == "whole");
}
