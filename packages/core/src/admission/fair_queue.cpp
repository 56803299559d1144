/** @file fair_queue.cpp Order of waiting work. */

#include "admission/fair_queue_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** Takes of higher levels after which a waiting lower one has its turn. */
constexpr uint32_t MaxPassedOver = 8;

using Turns = std::deque<TenantQueue>;

Turns::iterator findTenant(Turns &All, const TenantName &Tenant) {
  return std::ranges::find(All, Tenant, &TenantQueue::Tenant);
}

/** The level to take from: a starved one, else the highest. */
auto nextLevel(FairQueue &Queue) {
  const auto Starved = std::ranges::find_if(Queue.Levels, [](const auto &Row) {
    return Row.second.PassedOver >= MaxPassedOver;
  });
  return Starved == Queue.Levels.end() ? Queue.Levels.begin() : Starved;
}

/** Attempts held for each unit of weight. */
double heldShare(const TenantQueue &One) {
  return static_cast<double>(One.Waiting.size()) / One.Weight;
}

/** Removes the n-th attempt of a tenant and what is empty then. */
AttemptId removeAt(FairQueue &Queue, uint32_t Priority,
                   const Turns::iterator &Tenant, size_t n) {
  const auto At = Tenant->Waiting.begin() + static_cast<ptrdiff_t>(n);
  const AttemptId Which = *At;
  Tenant->Waiting.erase(At);
  --Queue.Size;
  PriorityLevel &Level = Queue.Levels.at(Priority);
  if (Tenant->Waiting.empty())
    Level.Turns.erase(Tenant);
  if (Level.Turns.empty())
    Queue.Levels.erase(Priority);
  return Which;
}

} // namespace

void pushWaiter(FairQueue &Queue, const Waiter &One) {
  Turns &All = Queue.Levels[One.Priority].Turns;
  auto it = findTenant(All, One.Tenant);
  if (it == All.end())
    it = All.insert(All.end(), TenantQueue{One.Tenant, 1, 0, {}});
  it->Weight = std::max(1U, One.Weight);
  it->Waiting.push_back(One.Attempt);
  ++Queue.Size;
}

std::optional<AttemptId> popWaiter(FairQueue &Queue) {
  if (Queue.Size == 0)
    return std::nullopt;
  const auto Row = nextLevel(Queue);
  const uint32_t Priority = Row->first;
  for (auto it = std::next(Row); it != Queue.Levels.end(); ++it)
    ++it->second.PassedOver;
  PriorityLevel &Level = Row->second;
  Level.PassedOver = 0;
  TenantQueue &First = Level.Turns.front();
  if (First.Credit == 0)
    First.Credit = First.Weight;
  --First.Credit;
  const bool TurnEnds = First.Credit == 0 && First.Waiting.size() > 1;
  const AttemptId Which =
      removeAt(Queue, Priority, Level.Turns.begin(), size_t{0});
  if (TurnEnds) {
    Level.Turns.push_back(std::move(Level.Turns.front()));
    Level.Turns.pop_front();
  }
  return Which;
}

bool dropWaiter(FairQueue &Queue, const AttemptId &Attempt) {
  for (auto &[Priority, Level] : Queue.Levels)
    for (auto it = Level.Turns.begin(); it != Level.Turns.end(); ++it) {
      const auto At = std::ranges::find(it->Waiting, Attempt);
      if (At == it->Waiting.end())
        continue;
      removeAt(Queue, Priority, it,
               static_cast<size_t>(At - it->Waiting.begin()));
      return true;
    }
  return false;
}

std::optional<AttemptId> makeRoom(FairQueue &Queue, const Waiter &Newcomer) {
  if (Queue.Size == 0)
    return std::nullopt;
  const auto Lowest = std::prev(Queue.Levels.end());
  if (Lowest->first > Newcomer.Priority)
    return std::nullopt;
  Turns &All = Lowest->second.Turns;
  const auto Largest = std::ranges::max_element(All, {}, heldShare);
  if (Lowest->first == Newcomer.Priority) {
    const auto Own = findTenant(All, Newcomer.Tenant);
    const double Held = Own == All.end() ? 0 : heldShare(*Own);
    // Equal shares stay as they are: pushing out would only move the refusal.
    if (heldShare(*Largest) <= Held + 1.0 / std::max(1U, Newcomer.Weight))
      return std::nullopt;
  }
  return removeAt(Queue, Lowest->first, Largest, Largest->Waiting.size() - 1);
}

size_t aheadOf(const FairQueue &Queue, const Waiter &Newcomer) {
  size_t Ahead = 0;
  for (const auto &[Priority, Level] : Queue.Levels) {
    if (Priority < Newcomer.Priority)
      break;
    size_t Own = 0;
    for (const TenantQueue &One : Level.Turns)
      if (One.Tenant == Newcomer.Tenant && Priority == Newcomer.Priority)
        Own = One.Waiting.size();
    const size_t Rounds = Own / std::max(1U, Newcomer.Weight) + 1;
    for (const TenantQueue &One : Level.Turns) {
      const bool SameTenant = One.Tenant == Newcomer.Tenant;
      const bool Fair = Priority == Newcomer.Priority && !SameTenant;
      Ahead += Fair ? std::min(One.Waiting.size(), Rounds * One.Weight)
                    : One.Waiting.size();
    }
  }
  return Ahead;
}

std::vector<AttemptId> allWaiters(const FairQueue &Queue) {
  std::vector<AttemptId> All;
  for (const auto &[Priority, Level] : Queue.Levels)
    for (const TenantQueue &One : Level.Turns)
      All.insert(All.end(), One.Waiting.begin(), One.Waiting.end());
  return All;
}

} // namespace jacinthpond
