/** @file load_view.cpp Load of workers as entries learn it from answers. */

#include "routing/load_view_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Shortest and longest time for which a refusal steers away. */
constexpr Millis ShortestAvoid{50};
constexpr Millis LongestAvoid{1000};

template <typename M>
concept TellsLoad = requires(M m) {
  m.Load.Busy;
};

Millis avoidFor(const AttemptFailed &m) {
  const bool NoRoom =
      m.Kind == ErrorKind::Overloaded || m.Kind == ErrorKind::ColdStart;
  if (!NoRoom)
    return Millis{0};
  const auto Longest = static_cast<uint64_t>(LongestAvoid.count());
  const Millis Told(
      static_cast<int64_t>(std::min(m.RetryAfterMillis, Longest)));
  return std::max(Told, ShortestAvoid);
}

} // namespace

void stampLoad(const WorkerLoad &Load, Effects &Out) {
  for (Effect &One : Out)
    if (auto *Sent = std::get_if<SendMessage>(&One))
      std::visit(
          [&](auto &m) {
            if constexpr (TellsLoad<decltype(m)>)
              m.Load = {Load.Running + Load.Waiting, Load.Limit};
          },
          Sent->Content);
}

void noteLoad(Membership &Fleet, LinkId Link, const Message &m, TimePoint Now) {
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end())
    return;
  PeerLink &Peer = it->second;
  std::visit(
      [&](const auto &Told) {
        if constexpr (TellsLoad<decltype(Told)>) {
          if (Told.Load.Limit == 0)
            return;
          Peer.Load.Running = Told.Load.Busy;
          Peer.Load.Waiting = 0;
          Peer.Load.Limit = Told.Load.Limit;
          Peer.LoadAt = Now;
          Peer.SentSince = 0;
        }
      },
      m);
  if (const auto *Failed = std::get_if<AttemptFailed>(&m))
    if (const Millis Length = avoidFor(*Failed); Length.count() > 0)
      Peer.AvoidUntil = Now + Length;
}

void noteSent(Membership &Fleet, LinkId Link) {
  const auto it = Fleet.Links.find(Link);
  if (it != Fleet.Links.end())
    ++it->second.SentSince;
}

} // namespace jacinthpond
