/** @file place_search.cpp Searching for a back end with a short prefill
 * backlog. */

#include "forwarding/place_search_func.h"

#include "base/random_func.h"

#include <algorithm>
#include <array>

namespace jacinthpond {

namespace {

/**
 * Longest prefill backlog that is accepted at each of the first slot requests,
 * from a fraction of a usual prompt up to a whole one. It rises because further
 * slot requests gain less and less, and each costs a round trip to another
 * region, 6 ms.
 */
constexpr std::array<Millis, 5> MaxBacklogByRequest = {
    Millis(5), Millis(10), Millis(20), Millis(40), Millis(60)};
/** Limit of slot requests: after those that limit the backlog, three more. If
 * all three back ends are full, a fourth seldom has room. */
constexpr uint32_t MaxSlotRequests = MaxBacklogByRequest.size() + 3;
/** The same for spare slots: one of three back ends is nearly always idle. */
constexpr uint32_t MaxSpareRequests = 3;
/** Delay before a search that failed is repeated, and its doublings. A back end
 * frees a slot about every 100 ms at full load. */
constexpr Millis FirstSearchDelay{100};
constexpr uint32_t MaxSearchDoublings = 2;

} // namespace

void restartSearch(SlotSearch &Search, ServerNeeds &Needs, bool SpareOnly) {
  Needs.Full.clear();
  Search.Busy.clear();
  // What was busy a moment ago is seldom idle now: a repeated search queues.
  Search.SlotRequests =
      SpareOnly || Search.Failures == 0 ? 0 : MaxBacklogByRequest.size();
  Search.IdleOnly = false;
  Search.SpareOnly = SpareOnly;
}

void recordFailedSearch(SlotSearch &Search, TimePoint Now, uint64_t &Random) {
  const Millis Longest =
      FirstSearchDelay * (1U << std::min(Search.Failures, MaxSearchDoublings));
  ++Search.Failures;
  const auto Spread = static_cast<uint64_t>(Longest.count()) / 2;
  Search.NextAt = Now + Longest - Millis(nextRandom(Random) % Spread);
}

bool mayRequestMoreSlots(const SlotSearch &Search) {
  return Search.SlotRequests <
         (Search.SpareOnly ? MaxSpareRequests : MaxSlotRequests);
}

Millis maxPrefillBacklog(const SlotSearch &Search) {
  return Search.SlotRequests < MaxBacklogByRequest.size()
             ? MaxBacklogByRequest[Search.SlotRequests]
             : Millis{0};
}

void recordSlotRequest(SlotSearch &Search) {
  Search.IdleOnly = maxPrefillBacklog(Search).count() > 0;
  ++Search.SlotRequests;
}

void recordSlotRefusal(SlotSearch &Search, ServerNeeds &Needs,
                       const InstanceId &Id, bool OnlyBusy) {
  Needs.Full.insert(Id);
  if (Search.IdleOnly && OnlyBusy)
    Search.Busy.insert(Id);
  if (maxPrefillBacklog(Search).count() == 0)
    reconsiderBusyServers(Search, Needs);
}

bool reconsiderBusyServers(SlotSearch &Search, ServerNeeds &Needs) {
  if (Search.SpareOnly)
    return false;
  const bool Any = !Search.Busy.empty();
  for (const InstanceId &Id : Search.Busy)
    Needs.Full.erase(Id);
  Search.Busy.clear();
  while (maxPrefillBacklog(Search).count() > 0)
    ++Search.SlotRequests;
  return Any;
}

} // namespace jacinthpond
