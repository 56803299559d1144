/** @file route_history.cpp What was done to a fleet, and when. */

#include "chaos/route_history.h"

#include <algorithm>

namespace jacinthpond::chaos {

void Disturbances::begin(const std::string &Target) {
  std::vector<Span> &All = Spans[Target];
  if (All.empty() || All.back().To != Moment::max())
    All.push_back({Moment::clock::now(), Moment::max()});
}

void Disturbances::end(const std::string &Target) {
  std::vector<Span> &All = Spans[Target];
  if (!All.empty() && All.back().To == Moment::max())
    All.back().To = Moment::clock::now();
}

std::optional<Moment>
Disturbances::calmSince(const std::vector<std::string> &Targets,
                        Moment At) const {
  Moment Since = Moment::min();
  for (const std::string &Target : Targets) {
    const auto it = Spans.find(Target);
    if (it == Spans.end())
      continue;
    for (const Span &One : it->second) {
      if (One.From <= At && At < One.To)
        return std::nullopt;
      if (One.To <= At)
        Since = std::max(Since, One.To);
    }
  }
  return Since;
}

void Permissions::change(const std::string &What, bool Allowed, Moment Sent,
                         Moment Done) {
  std::vector<Change> &All = Changes[What];
  // A server that drains and then goes is not wanted since it drains.
  if ((All.empty() && Allowed) ||
      (!All.empty() && All.back().Allowed == Allowed))
    return;
  All.push_back({Allowed, Sent, Done});
}

std::optional<Moment> Permissions::since(const std::string &What, bool Allowed,
                                         Moment At) const {
  const auto it = Changes.find(What);
  const std::vector<Change> None;
  const std::vector<Change> &All = it == Changes.end() ? None : it->second;
  const auto Next = std::ranges::find_if(
      All, [&](const Change &One) { return One.Sent > At; });
  if (Next == All.begin())
    return Allowed ? std::optional(Moment::min()) : std::nullopt;
  const Change &Last = *std::prev(Next);
  if (Last.Allowed != Allowed || Last.Done > At)
    return std::nullopt;
  return Last.Done;
}

} // namespace jacinthpond::chaos
