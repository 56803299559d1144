/** @file place_search.cpp Searching for a back end with a short prefill
 * backlog. */

#include "forwarding/place_search_func.h"

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

} // namespace

bool mayRequestMoreSlots(const SlotSearch &Search) {
  return Search.SlotRequests < MaxSlotRequests;
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
  const bool Any = !Search.Busy.empty();
  for (const InstanceId &Id : Search.Busy)
    Needs.Full.erase(Id);
  Search.Busy.clear();
  while (maxPrefillBacklog(Search).count() > 0)
    ++Search.SlotRequests;
  return Any;
}

} // namespace jacinthpond
