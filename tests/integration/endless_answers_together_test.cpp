/** @file endless_answers_together_test.cpp Many responses at a time that do not
 * end. */
// Labels: routes

#include "flood_server.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond::fleet;

// Guards against responses without end that many callers meet at once: together
// they must fit as well, and the sound server answers all.
BOOST_AUTO_TEST_CASE(ManyResponsesWithoutEndFitTogether) {
  for (const Flood &Kind : allFloods()) {
    ScriptedEntry One;
    One.Bad.setScript(floodScript(Kind));
    std::chrono::milliseconds Slowest{0};
    size_t Served = 0;
    constexpr size_t Callers = 64;
    for (const httplib::Response &Answer :
         One.askAll(RouteAsk{}, Callers, 2, Slowest)) {
      // The sound server alone has too few slots for all of them.
      BOOST_TEST((Answer.status == 200 || Answer.status == 503),
                 Kind.Name << ": " << Answer.status);
      Served += Answer.status == 200 ? 1 : 0;
    }
    BOOST_TEST(Served >= Callers, Kind.Name << ": " << Served);
    BOOST_TEST((Slowest < AtOnce), Kind.Name << ": " << Slowest.count());
    BOOST_TEST(One.peak() < MemoryLimit, Kind.Name << ": " << One.peak());
    BOOST_TEST_MESSAGE(Kind.Name << ": served " << Served << ", slowest "
                                 << Slowest.count() << " ms, peak "
                                 << One.peak() << " MB, met "
                                 << One.Bad.answered());
  }
}
