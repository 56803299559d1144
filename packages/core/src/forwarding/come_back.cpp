/** @file come_back.cpp When refused callers are told to come back. */

#include "forwarding/come_back_func.h"

#include "base/random_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Part of the time left for which callers wait before they come back. */
constexpr int PartToComeBack = 3;
/** Times differ by up to this percentage of themselves. */
constexpr uint64_t SpreadPercent = 60;

} // namespace

Millis comeBackAfter(const Failure &Why, Duration Left, uint64_t &Random) {
  const Millis Most = std::max(toMillis(Left / PartToComeBack), Millis{0});
  const auto Percent =
      static_cast<int64_t>(100 + nextRandom(Random) % (SpreadPercent + 1));
  const Millis Longest = retryAfter(Why) * Percent / 100;
  // Cut off at the end they would be told one time again.
  return std::min(Longest,
                  Most * Percent / static_cast<int64_t>(100 + SpreadPercent));
}

} // namespace jacinthpond
