/** @file place_search.cpp Looking for a back end that can begin at once. */

#include "forwarding/place_search_func.h"

#include <array>

namespace jacinthpond {

namespace {

/**
 * What a back end may have to read to be taken at the first asks, from a
 * fraction of a usual prompt up to one. The longer the search, the less is
 * gained by another ask, which costs a way to another region and back, 6 ms.
 */
constexpr std::array<Millis, 5> MostReadingByAsk = {
    Millis(5), Millis(10), Millis(20), Millis(40), Millis(60)};
/** Agents asked at most: after the choosy asks, who is told by three that they
 * are full would seldom find room at a fourth. */
constexpr uint32_t MaxAsks = MostReadingByAsk.size() + 3;

} // namespace

bool mayAskMore(const PlaceSearch &Search) { return Search.Asks < MaxAsks; }

Millis mostReading(const PlaceSearch &Search) {
  return Search.Asks < MostReadingByAsk.size() ? MostReadingByAsk[Search.Asks]
                                               : Millis{0};
}

void placeAsked(PlaceSearch &Search) {
  Search.Choosy = mostReading(Search).count() > 0;
  ++Search.Asks;
}

void placeRefused(PlaceSearch &Search, ServerNeeds &Needs, const InstanceId &Id,
                  bool OnlyBusy) {
  Needs.Full.insert(Id);
  if (Search.Choosy && OnlyBusy)
    Search.Busy.insert(Id);
  if (mostReading(Search).count() == 0)
    takeBusyOnes(Search, Needs);
}

bool takeBusyOnes(PlaceSearch &Search, ServerNeeds &Needs) {
  const bool Any = !Search.Busy.empty();
  for (const InstanceId &Id : Search.Busy)
    Needs.Full.erase(Id);
  Search.Busy.clear();
  while (mostReading(Search).count() > 0)
    ++Search.Asks;
  return Any;
}

} // namespace jacinthpond
