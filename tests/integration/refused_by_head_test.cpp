/** @file refused_by_head_test.cpp Requests that their heads rule out. */
// Labels: routes serial

#include "crowd.h"
#include "raw_caller.h"

using namespace jacinthpond::fleet;

namespace {

constexpr size_t Clients = 32;

std::string announce(const std::string &Head, size_t Body) {
  return Head + "Content-Length: " + std::to_string(Body) + "\r\n\r\n";
}

} // namespace

// Guards against bodies that are received although their requests are refused.
BOOST_AUTO_TEST_CASE(TheHeadOfARefusedRequestIsEnough) {
  const CrowdedEntry One;
  struct Case {
    std::string Head;
    const char *Status;
  };
  const std::vector<Case> Cases = {
      {announce(postHead("/nowhere/1"), MaxBody), "HTTP/1.1 404"},
      {announce(postHead("/read/1", "nobody"), MaxBody), "HTTP/1.1 401"},
      {announce(postHead("/read/1"), MaxBody + 1), "HTTP/1.1 413"},
  };
  for (const Case &Each : Cases) {
    const RawCaller Caller(One.address("route"));
    Caller.send(Each.Head);
    const std::string Answer = Caller.read();
    BOOST_TEST(Answer.starts_with(Each.Status), Answer);
    BOOST_TEST(Answer.find("\"ran\":\"no\"") != std::string::npos, Answer);
  }
  One.checkServed("refused heads");
}

// Guards against the same, from clients that send their bodies all the same.
BOOST_AUTO_TEST_CASE(BodiesOfRefusedRequestsTakeNoMemory) {
  const CrowdedEntry One;
  const Script What = lengthScript(postHead("/nowhere/1"), MaxBody);
  One.checkBeside(std::make_unique<Crowd>(One.address("route"), Clients, What),
                  "no route");
}

// Guards against a refusal that is lost since its connection is reset: a client
// that sends the whole body before it reads must get the answer.
BOOST_AUTO_TEST_CASE(ARefusalReachesAClientThatSendsOn) {
  const CrowdedEntry One;
  RouteAsk Ask;
  Ask.Method = "POST";
  Ask.Path = "/nowhere/1";
  Ask.Body = std::string(MaxBody, 'x');
  BOOST_TEST(One.All->ask(0, Ask).status == 404);
}
