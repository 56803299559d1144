/** @file load_view.cpp Load of workers as reported in their answers. */

#include "routing/load_view_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Shortest and longest time for which a worker that refused work is avoided.
 */
constexpr Millis MinAvoidTime{50};
constexpr Millis MaxAvoidTime{1000};

/** A message that reports the load of its sender. */
template <typename M>
concept HasLoadReport = requires(M m) {
  m.Load.Busy;
};

/**
 * How long a worker is avoided after a failed attempt; 0 when it was not
 * refused for lack of capacity.
 */
Millis avoidTime(const AttemptFailed &m) {
  const bool LacksRoom =
      m.Kind == ErrorKind::Overloaded || m.Kind == ErrorKind::ColdStart;
  if (!LacksRoom)
    return Millis{0};
  const auto Longest = static_cast<uint64_t>(MaxAvoidTime.count());
  const Millis Reported(
      static_cast<int64_t>(std::min(m.RetryAfterMillis, Longest)));
  return std::max(Reported, MinAvoidTime);
}

} // namespace

void attachLoad(const WorkerLoad &Load, Effects &Out) {
  for (Effect &One : Out)
    if (auto *Sent = std::get_if<SendMessage>(&One))
      std::visit(
          [&](auto &m) {
            if constexpr (HasLoadReport<decltype(m)>)
              m.Load = {Load.Running + Load.Waiting, Load.Limit};
          },
          Sent->Content);
}

void recordReportedLoad(Membership &Fleet, LinkId Link, const Message &m,
                        TimePoint Now) {
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end())
    return;
  PeerLink &Peer = it->second;
  std::visit(
      [&](const auto &Reported) {
        if constexpr (HasLoadReport<decltype(Reported)>) {
          if (Reported.Load.Limit == 0)
            return;
          Peer.Load.Running = Reported.Load.Busy;
          Peer.Load.Waiting = 0;
          Peer.Load.Limit = Reported.Load.Limit;
          Peer.LoadAt = Now;
          Peer.AttemptsSinceLoad = 0;
        }
      },
      m);
  if (const auto *Failed = std::get_if<AttemptFailed>(&m))
    if (const Millis Length = avoidTime(*Failed); Length.count() > 0)
      Peer.AvoidUntil = Now + Length;
}

void countSentAttempt(Membership &Fleet, LinkId Link) {
  const auto it = Fleet.Links.find(Link);
  if (it != Fleet.Links.end())
    ++it->second.AttemptsSinceLoad;
}

} // namespace jacinthpond
