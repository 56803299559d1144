/** @file fair_queue.cpp Queue of attempts, fair between workspaces. */

#include "admission/fair_queue_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** Dequeues from higher levels after which a lower one has its turn. */
constexpr uint32_t MaxPassedOver = 8;

using Rotation = std::deque<WorkspaceQueue>;

/** Finds the queue of a workspace; end() if it has none. */
Rotation::iterator findWorkspace(Rotation &All,
                                 const WorkspaceName &Workspace) {
  return std::ranges::find(All, Workspace, &WorkspaceQueue::Workspace);
}

/** Gives the level to dequeue from: a starved one, else the highest. */
auto selectLevel(FairQueue &Queue) {
  const auto Starved = std::ranges::find_if(Queue.Levels, [](const auto &Row) {
    return Row.second.PassedOver >= MaxPassedOver;
  });
  return Starved == Queue.Levels.end() ? Queue.Levels.begin() : Starved;
}

/** Gives the number of queued attempts per unit of weight. */
double lengthByWeight(const WorkspaceQueue &One) {
  return static_cast<double>(One.Waiting.size()) / One.Weight;
}

/** Removes a workspace's n-th attempt, and queues and levels left empty. */
AttemptId removeAt(FairQueue &Queue, uint32_t Priority,
                   const Rotation::iterator &Workspace, size_t n) {
  const auto At = Workspace->Waiting.begin() + static_cast<ptrdiff_t>(n);
  const AttemptId Which = *At;
  Workspace->Waiting.erase(At);
  --Queue.Size;
  PriorityLevel &Level = Queue.Levels.at(Priority);
  if (Workspace->Waiting.empty())
    Level.Rotation.erase(Workspace);
  if (Level.Rotation.empty())
    Queue.Levels.erase(Priority);
  return Which;
}

} // namespace

void enqueueWaiter(FairQueue &Queue, const Waiter &One) {
  Rotation &All = Queue.Levels[One.Priority].Rotation;
  auto it = findWorkspace(All, One.Workspace);
  if (it == All.end())
    it = All.insert(All.end(), WorkspaceQueue{One.Workspace, 1, 0, {}});
  it->Weight = std::max(1U, One.Weight);
  it->Waiting.push_back(One.Attempt);
  ++Queue.Size;
}

std::optional<AttemptId> dequeueWaiter(FairQueue &Queue) {
  if (Queue.Size == 0)
    return std::nullopt;
  const auto Row = selectLevel(Queue);
  const uint32_t Priority = Row->first;
  for (auto it = std::next(Row); it != Queue.Levels.end(); ++it)
    ++it->second.PassedOver;
  PriorityLevel &Level = Row->second;
  Level.PassedOver = 0;
  WorkspaceQueue &First = Level.Rotation.front();
  if (First.Credit == 0)
    First.Credit = First.Weight;
  --First.Credit;
  const bool TurnEnds = First.Credit == 0 && First.Waiting.size() > 1;
  const AttemptId Which =
      removeAt(Queue, Priority, Level.Rotation.begin(), size_t{0});
  if (TurnEnds) {
    Level.Rotation.push_back(std::move(Level.Rotation.front()));
    Level.Rotation.pop_front();
  }
  return Which;
}

bool removeWaiter(FairQueue &Queue, const AttemptId &Attempt) {
  for (auto &[Priority, Level] : Queue.Levels)
    for (auto it = Level.Rotation.begin(); it != Level.Rotation.end(); ++it) {
      const auto At = std::ranges::find(it->Waiting, Attempt);
      if (At == it->Waiting.end())
        continue;
      removeAt(Queue, Priority, it,
               static_cast<size_t>(At - it->Waiting.begin()));
      return true;
    }
  return false;
}

std::optional<AttemptId> evictForNewcomer(FairQueue &Queue,
                                          const Waiter &Newcomer) {
  if (Queue.Size == 0)
    return std::nullopt;
  const auto Lowest = std::prev(Queue.Levels.end());
  if (Lowest->first > Newcomer.Priority)
    return std::nullopt;
  Rotation &All = Lowest->second.Rotation;
  const auto Largest = std::ranges::max_element(All, {}, lengthByWeight);
  if (Lowest->first == Newcomer.Priority) {
    const auto Own = findWorkspace(All, Newcomer.Workspace);
    const double Held = Own == All.end() ? 0 : lengthByWeight(*Own);
    // With equal shares, eviction would only move the refusal to another
    // caller.
    if (lengthByWeight(*Largest) <= Held + 1.0 / std::max(1U, Newcomer.Weight))
      return std::nullopt;
  }
  return removeAt(Queue, Lowest->first, Largest, Largest->Waiting.size() - 1);
}

size_t countAhead(const FairQueue &Queue, const Waiter &Newcomer) {
  size_t Ahead = 0;
  for (const auto &[Priority, Level] : Queue.Levels) {
    if (Priority < Newcomer.Priority)
      break;
    size_t Own = 0;
    for (const WorkspaceQueue &One : Level.Rotation)
      if (One.Workspace == Newcomer.Workspace && Priority == Newcomer.Priority)
        Own = One.Waiting.size();
    const size_t Rounds = Own / std::max(1U, Newcomer.Weight) + 1;
    for (const WorkspaceQueue &One : Level.Rotation) {
      const bool SameWorkspace = One.Workspace == Newcomer.Workspace;
      const bool Fair = Priority == Newcomer.Priority && !SameWorkspace;
      Ahead += Fair ? std::min(One.Waiting.size(), Rounds * One.Weight)
                    : One.Waiting.size();
    }
  }
  return Ahead;
}

std::vector<AttemptId> allWaiters(const FairQueue &Queue) {
  std::vector<AttemptId> All;
  for (const auto &[Priority, Level] : Queue.Levels)
    for (const WorkspaceQueue &One : Level.Rotation)
      All.insert(All.end(), One.Waiting.begin(), One.Waiting.end());
  return All;
}

} // namespace jacinthpond
