/** @file service_answer_test.cpp Answers of services to their agents. */
// Labels: product

#include "http/http_backends.h"
#include "raw_server.h"

#include "base/error_func.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace jacinthpond;

namespace {

const std::string StatusLine = "HTTP/1.1 200 OK\r\n";

/** What an agent gets for a call to a service. */
Outcome<ServiceAnswer> callAt(const RawServer &Server) {
  HttpService Service(Server.url());
  ServiceCall Call;
  Call.Class.Value = "book";
  Call.Body = "{}";
  Call.Timeout = Millis(1000);
  return outcomeOf([&] { return Service.call(Call); });
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
    const auto Got = callAt(Server);
    BOOST_TEST(!Got.Value.has_value(), Head);
    BOOST_CHECK(Got.Why.Kind == ErrorKind::OutcomeUnknown);
  }
}
