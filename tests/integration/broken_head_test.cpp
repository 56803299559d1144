/** @file broken_head_test.cpp Answers whose heads are broken. */
// Labels: routes

#include "scripted_server.h"

#include <array>
#include <string>
#include <vector>

using namespace jacinthpond::fleet;

namespace {

const std::string Body = "Content-Length: 5\r\n\r\nwrong";

/** Heads whose status line is broken. */
std::vector<std::string> brokenStatusLines() {
  std::vector<std::string> Answers;
  for (const char *Line :
       {"HTTP/1.1 000 None", "HTTP/1.1 001 None", "HTTP/1.1 099 None",
        "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK",
        "HTTP/1.1 -20 OK", "HTTP/1.1 abc OK", "HTTP/1.1  OK", "HTTP/9.9 200 OK",
        "HTTP 200 OK", "200 OK"})
    Answers.push_back(Line + Good.substr(Good.find('\r')) + Body);
  return Answers;
}

/** Heads with a broken field, at their begin and at their end. */
std::vector<std::string> brokenFields() {
  std::vector<std::string> Answers;
  const std::string StatusLine = Good.substr(0, Good.find('\n') + 1);
  for (const std::string &Field :
       {std::string("A b: c"), std::string("A : c"), std::string("A\tb: c"),
        std::string("A\x01: c"), std::string("A\0b: c", 6),
        std::string("A\x7f: c"), std::string("\xc3\xa4: c"),
        std::string("(a): c"), std::string(": c"), std::string("no colon"),
        std::string("A: b\x01"), std::string("A: \0b", 5),
        std::string("A: b\x7f"), std::string("A: b\rc"),
        std::string("A: b\r\n folded"), std::string("A: b\r\n\tfolded")}) {
    Answers.push_back(StatusLine + Field + "\r\n" +
                      Good.substr(StatusLine.size()) + Body);
    Answers.push_back(Good + Field + "\r\n" + Body);
  }
  Answers.push_back(Good + " folded\r\n" + Body); // Behind the signature.
  Answers.push_back(StatusLine + " folded\r\n" +
                    Good.substr(StatusLine.size()) + Body);
  return Answers;
}

/** Text of an answer in a form that a log can show. */
std::string shown(std::string Text) {
  std::ranges::replace_if(
      Text, [](unsigned char c) { return c < ' ' || c > '~'; }, '.');
  return Text;
}

/** Checks that no caller gets an answer of the faulty server. */
void checkNotDelivered(const std::vector<std::string> &Answers) {
  ScriptedEntry One;
  for (const std::string &Answer : Answers) {
    One.Bad.setScript([&](ScriptedRequest &Request) {
      boost::system::error_code Ignored;
      boost::asio::write(Request.Socket,
                         boost::asio::buffer(Request.withId(Answer)), Ignored);
    });
    for (const char *Path : {"/book/1", "/read/1"}) {
      RouteAsk What;
      What.Method = "POST";
      What.Path = Path;
      What.Body = "slot 7";
      One.enterAnew();
      One.meet(What);
      std::chrono::milliseconds Slowest{0};
      for (const httplib::Response &Got : One.askAll(What, 4, 1, Slowest)) {
        const bool Sound =
            Got.status == 200 && Got.body.starts_with("answer to");
        BOOST_TEST((Sound || Got.status == 502 || Got.status == 503),
                   shown(Answer) << " " << Path << ": " << Got.status << " "
                                 << shown(Got.body.substr(0, 40)));
      }
    }
  }
  BOOST_TEST(!One.All->process("entry-0").waitExit(0ms).has_value());
}

} // namespace

// Guards against answers whose status means nothing, which reach callers.
BOOST_AUTO_TEST_CASE(BrokenStatusLinesAreNotDelivered) {
  checkNotDelivered(brokenStatusLines());
}

// Guards against fields that are passed on though they are none, or that change
// another one: a folded line is joined to the value before it.
BOOST_AUTO_TEST_CASE(BrokenFieldsAreNotDelivered) {
  checkNotDelivered(brokenFields());
}
