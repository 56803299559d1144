/** @file unread_answers_test.cpp Clients that do not read their answers. */
// Labels: routes serial

#include "crowd.h"

using namespace jacinthpond::fleet;

// Guards against answers to pipelined requests that nobody reads, which take an
// entry's memory.
BOOST_AUTO_TEST_CASE(AnswersThatNobodyReads) {
  const CrowdedEntry One(Json{{"answer_bytes", 1 << 20}});
  const Script What{"unread",
                    {},
                    "GET /read/1 HTTP/1.1\r\nHost: h.example\r\n"
                    "Authorization: Bearer key-1\r\n\r\n",
                    20,
                    {}};
  auto Many = std::make_unique<Crowd>(One.address("route"), 24, What);
  Many->play();
  // All that are to be answered have been, once no request is open.
  BOOST_TEST(waitFor(30s, [&] {
    httplib::Client Admin("http://" + One.address("admin"));
    const auto Page = Admin.Get("/metrics");
    return Page &&
           Page->body.find("jacinthpond_route_open 0") != std::string::npos;
  }));
  One.checkMemory(What.Name);
  One.checkServed(What.Name);
  Many.reset();
  One.checkServed(What.Name + ", afterwards");
}
