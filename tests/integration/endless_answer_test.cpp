/** @file endless_answer_test.cpp Servers whose responses do not end. */
// Labels: routes

#include "flood_server.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond::fleet;

// Guards against responses without end that take an entry's memory, or hold
// their requests until the deadline: bookings may be sent once only.
BOOST_AUTO_TEST_CASE(BookingsAtAServerWithoutEndAreBrokenOff) {
  RouteAsk Book;
  Book.Method = "POST";
  Book.Path = "/book/1";
  Book.Body = "slot 7";
  for (const Flood &Kind : allFloods()) {
    ScriptedEntry One;
    One.Bad.setScript(floodScript(Kind));
    One.meet(Book);
    std::chrono::milliseconds Slowest{0};
    size_t Served = 0;
    for (const httplib::Response &Answer : One.askAll(Book, 4, 6, Slowest)) {
      BOOST_TEST((Answer.status == 200 || Answer.status == 502),
                 Kind.Name << ": " << Answer.status);
      Served += Answer.status == 200 ? 1 : 0;
    }
    BOOST_TEST((Slowest < AtOnce), Kind.Name << ": " << Slowest.count());
    BOOST_TEST(Served > 0U, Kind.Name);
    BOOST_TEST(One.peak() < MemoryLimit, Kind.Name << ": " << One.peak());
    BOOST_TEST_MESSAGE(Kind.Name << ": served " << Served << ", slowest "
                                 << Slowest.count() << " ms, peak "
                                 << One.peak() << " MB, met "
                                 << One.Bad.answered());
  }
}

// Guards against requests that wait for the rest of a refusal, though it says
// at its head that they have not run.
BOOST_AUTO_TEST_CASE(ARefusalWithoutEndIsSettledByItsHead) {
  ScriptedEntry One;
  One.Bad.setScript(
      floodScript({"refusal",
                   "HTTP/1.1 503 Full\r\nX-Jacinthpond-Attempt-Id: ID\r\n"
                   "X-Jacinthpond-Not-Executed: 1\r\n" +
                       Chunked,
                   "5\r\nhello\r\n"}));
  RouteAsk Book;
  Book.Method = "POST";
  Book.Path = "/book/1";
  Book.Body = "slot 7";
  for (const RouteAsk &What : {RouteAsk{}, Book}) {
    One.meet(What);
    std::chrono::milliseconds Slowest{0};
    for (const httplib::Response &Answer : One.askAll(What, 8, 6, Slowest))
      BOOST_TEST((Answer.status == 200 || Answer.status == 503),
                 What.Path << ": " << Answer.status);
    BOOST_TEST((Slowest < AtOnce), Slowest.count());
  }
  BOOST_TEST(One.peak() < MemoryLimit);
}
