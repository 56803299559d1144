/** @file heals.cpp Failures under way, each with what undoes it. */

#include "chaos/heals.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jacinthpond::chaos {

void Heals::later(const std::string &Target, std::chrono::milliseconds Length,
                  std::function<void()> Action) {
  Waiting.push_back({Clock::now() + Length, std::move(Action), Target});
}

bool Heals::isFaulty(const std::string &Target) const {
  return std::ranges::any_of(
      Waiting, [&](const Heal &One) { return One.Target == Target; });
}

void Heals::runDue() {
  std::vector<Heal> Due;
  const auto Now = Clock::now();
  const auto Later =
      std::partition(Waiting.begin(), Waiting.end(),
                     [&](const Heal &One) { return One.Due > Now; });
  std::move(Later, Waiting.end(), std::back_inserter(Due));
  Waiting.erase(Later, Waiting.end());
  for (const Heal &One : Due)
    One.Action();
}

void Heals::runAll() {
  // One by one: an action sees what has not been undone yet.
  while (!Waiting.empty()) {
    const Heal One = std::move(Waiting.front());
    Waiting.erase(Waiting.begin());
    One.Action();
  }
}

} // namespace jacinthpond::chaos
