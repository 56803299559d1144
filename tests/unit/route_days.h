/** @file route_days.h Seeded days of the model of route_model.h, in a test.
 *
 * JACINTHPOND_MODEL_SEEDS=FIRST:COUNT plays other days than the fixed ones;
 * with JACINTHPOND_MODEL_LOG=1 the log of a shrunk day is printed as well.
 */

#ifndef JACINTHPOND_TESTS_UNIT_ROUTE_DAYS_H
#define JACINTHPOND_TESTS_UNIT_ROUTE_DAYS_H

#include "route_schedule.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

namespace jacinthpond::model {

constexpr uint64_t FixedSeeds = 60;
/** Days of each rule whose story is looked for; the others are counted. */
constexpr size_t StoriesOfARule = 2;

/** First seed and how many. */
inline std::pair<uint64_t, uint64_t> seeds() {
  const char *Given = std::getenv("JACINTHPOND_MODEL_SEEDS");
  if (Given == nullptr)
    return {1, FixedSeeds};
  const std::string Text = Given;
  const size_t Sign = Text.find(':');
  if (Sign == std::string::npos)
    return {1, std::stoull(Text)};
  return {std::stoull(Text.substr(0, Sign)),
          std::stoull(Text.substr(Sign + 1))};
}

inline std::string text(const Broken &One) {
  return std::to_string(One.At.count()) + " ms: " + One.Rule + ": " + One.Text;
}

/**
 * Plays the days of the seeds and reports the rules that they break.
 * @param Make Gives the day of a seed.
 */
inline void playDays(const std::function<Schedule(uint64_t)> &Make) {
  std::map<std::string, std::vector<uint64_t>> Found;
  uint64_t Started = 0, Refusals = 0;
  const auto [First, Count] = seeds();
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    const Schedule Whole = Make(Seed);
    const DayEnd Came = play(Whole);
    Started += Came.Started;
    Refusals += Came.Refusals;
    if (!Came.Fault)
      continue;
    std::vector<uint64_t> &Same = Found[Came.Fault->Rule];
    Same.push_back(Seed);
    if (Same.size() > StoriesOfARule)
      continue;
    const Schedule Short = shrink(Whole, Came.Fault->Rule);
    BOOST_ERROR("seed " << Seed << ", " << text(*Came.Fault) << "\nshrunk to "
                        << text(Short) << text(*play(Short).Fault));
    if (std::getenv("JACINTHPOND_MODEL_LOG") != nullptr)
      play(Short, &std::cout);
  }
  for (const auto &[Rule, Seeds] : Found) {
    std::string List;
    for (const uint64_t Seed : Seeds)
      List += " " + std::to_string(Seed);
    BOOST_TEST_MESSAGE(Rule << ": " << Seeds.size() << " days:" << List);
  }
  BOOST_TEST_MESSAGE(Count << " days, " << Started << " requests begun, "
                           << Refusals << " refused");
  // A fleet that does nothing breaks no rule.
  BOOST_TEST(Started > Count * 500);
}

} // namespace jacinthpond::model

#endif
