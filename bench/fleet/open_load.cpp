/** @file open_load.cpp Requests at a fixed rate, whatever becomes of them. */

#include "fleet/open_load.h"

#include <algorithm>
#include <thread>

namespace jacinthpond::fleet {

namespace {

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

Offered sendOne(const Fleet &To, const Offer &What, size_t n,
                Clock::time_point Start) {
  const Ask Next = What.Next(n);
  Offered One;
  One.Workspace = Next.Workspace;
  One.Begin = secondsSince(Start);
  const Answer Got = To.ask(n % To.Plan.Entries, Next);
  One.End = secondsSince(Start);
  One.Status = Got.Status;
  One.RetryAfter = Got.json().value("/error/retry_after_ms"_json_pointer, 0);
  return One;
}

} // namespace

std::vector<Offered> offerLoad(const Fleet &To, const Offer &What) {
  const auto Count = static_cast<size_t>(What.PerSecond * What.Seconds);
  std::vector<Offered> All(Count);
  const auto Start = Clock::now();
  std::vector<std::thread> Threads;
  for (size_t Caller = 0; Caller < What.Callers; ++Caller)
    Threads.emplace_back([&, Caller] {
      for (size_t n = Caller; n < Count; n += What.Callers) {
        const std::chrono::duration<double> At(static_cast<double>(n) /
                                               What.PerSecond);
        std::this_thread::sleep_until(
            Start + std::chrono::duration_cast<Clock::duration>(At));
        All[n] = sendOne(To, What, n, Start);
      }
    });
  for (std::thread &One : Threads)
    One.join();
  return All;
}

double goodput(const std::vector<Offered> &All, double From, double Until) {
  const auto Good = std::ranges::count_if(All, [&](const Offered &One) {
    return One.Status == 200 && One.End >= From && One.End < Until;
  });
  return static_cast<double>(Good) / (Until - From);
}

double answeredShare(const std::vector<Offered> &All, const std::string &Large,
                     bool OfLarge) {
  size_t Sent = 0;
  size_t Good = 0;
  for (const Offered &One : All) {
    if ((One.Workspace == Large) != OfLarge)
      continue;
    ++Sent;
    Good += One.Status == 200 ? 1 : 0;
  }
  return Sent == 0 ? 0 : static_cast<double>(Good) / static_cast<double>(Sent);
}

} // namespace jacinthpond::fleet
