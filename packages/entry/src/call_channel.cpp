/** @file call_channel.cpp Queues of events for callers' threads. */

#include "call_channel.h"

#include <utility>

namespace jacinthpond {

void CallChannel::push(CallEvent Event) {
  {
    const std::lock_guard Lock(Guard);
    Events.push_back(std::move(Event));
  }
  Changed.notify_one();
}

std::optional<CallEvent> CallChannel::pop(Millis Wait) {
  std::unique_lock Lock(Guard);
  if (!Changed.wait_for(Lock, Wait, [&] { return !Events.empty(); }))
    return std::nullopt;
  CallEvent Next = std::move(Events.front());
  Events.pop_front();
  return Next;
}

std::shared_ptr<CallChannel> CallTable::open(CallId &Id) {
  const std::lock_guard Lock(Guard);
  Id.Value = NextCall++;
  return Channels[Id] = std::make_shared<CallChannel>();
}

void CallTable::close(CallId Id) {
  const std::lock_guard Lock(Guard);
  Channels.erase(Id);
}

void CallTable::push(CallEvent Event) {
  const CallId Id = std::visit([](const auto &e) { return e.Call; }, Event);
  std::shared_ptr<CallChannel> Channel;
  {
    const std::lock_guard Lock(Guard);
    const auto it = Channels.find(Id);
    if (it == Channels.end())
      return;
    Channel = it->second;
  }
  Channel->push(std::move(Event));
}

size_t CallTable::size() {
  const std::lock_guard Lock(Guard);
  return Channels.size();
}

} // namespace jacinthpond
