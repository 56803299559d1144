/** @file no_server_test.cpp Requests for which no back end was found. */
// Labels: routes

#include "forwarding/no_server_func.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace jacinthpond;

namespace {

using Reason = NoServerReason;
using Action = UnplacedAction;

/** One decision. */
struct Row {
  UnplacedRequest Request;
  Reason Why;
  Action Expected;
};

std::ostream &operator<<(std::ostream &Out, const Row &One) {
  return Out << noServerReasonName(One.Why)
             << (One.Request.Begun ? " begun" : "")
             << (One.Request.MayHaveRun ? " may have run" : "");
}

const UnplacedRequest Fresh{};
const UnplacedRequest Broken{false, false, true};
const UnplacedRequest BrokenStream{false, true, true};

const std::vector<Row> Rows = {
    // What was never run is refused, whatever the reason.
    {Fresh, Reason::NoPlace, Action::Refuse},
    {Fresh, Reason::NoneUsable, Action::Refuse},
    {Fresh, Reason::Quarantined, Action::Refuse},
    // What may have run waits for what passes soon, and else is told at once.
    {Broken, Reason::NoPlace, Action::Wait},
    {Broken, Reason::AllFull, Action::Wait},
    {Broken, Reason::AllAtRate, Action::Wait},
    {Broken, Reason::RetryBudget, Action::Fail},
    {Broken, Reason::NoneUsable, Action::Fail},
    {Broken, Reason::AllPaused, Action::Fail},
    // The caller of a stream has a part of it, and waits for the rest.
    {BrokenStream, Reason::NoPlace, Action::Wait},
    {BrokenStream, Reason::RetryBudget, Action::Wait},
    {BrokenStream, Reason::NoneUsable, Action::Wait},
    {BrokenStream, Reason::AllPaused, Action::Wait},
    {BrokenStream, Reason::NoAttemptLeft, Action::Fail},
    {BrokenStream, Reason::Quarantined, Action::Fail},
};

} // namespace

BOOST_AUTO_TEST_SUITE(NoServer)

BOOST_DATA_TEST_CASE(EachRequestIsDecidedByWhatItMayLose,
                     boost::unit_test::data::make(Rows), One) {
  BOOST_TEST((unplacedAction(One.Request, One.Why) == One.Expected));
}

// Guards against answers that are given up before another back end has taken
// the request.
BOOST_AUTO_TEST_CASE(AnOpenAnswerIsKeptForEachReason) {
  for (size_t n = 0; n < static_cast<size_t>(Reason::Count); ++n)
    for (const bool Begun : {false, true})
      BOOST_TEST((unplacedAction({true, Begun, true}, static_cast<Reason>(n)) ==
                  Action::KeepAnswer));
}

BOOST_AUTO_TEST_SUITE_END()
