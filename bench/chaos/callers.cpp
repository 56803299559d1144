/** @file callers.cpp Callers that remember what they asked and were told. */

#include "chaos/callers.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace jacinthpond::chaos {

using fleet::Answer;
using fleet::Ask;
using fleet::Json;

namespace {

/** Threads of each kind of caller. */
constexpr size_t ThreadsEach = 4;
/** Tries of one booking, through different entries. */
constexpr int BookingTries = 5;
/** Longest wait of one request; short, so that a run sees many. */
constexpr int DeadlineMillis = 4000;
/** Longest pause that a caller makes when told to come back later. */
constexpr int MaxPauseMillis = 200;

Told toldBy(const Answer &Got) {
  if (Got.Status == 200)
    return Told::Answered;
  if (!Got.Sent)
    return Told::NotRun;
  const Json Body = Got.json();
  if (Body.contains("error") && Body["error"].value("ran", "") == "no")
    return Told::NotRun;
  return Told::Unknown;
}

std::string kindOf(const Answer &Got) {
  const Json Body = Got.json();
  if (!Body.contains("error"))
    return Got.Sent ? "no_answer" : "not_connected";
  return Body["error"].value("kind", "no_kind") + " ran " +
         Body["error"].value("ran", "not told");
}

/** Waits as a well-behaved caller does before the next try. */
void pauseAfter(const Answer &Got) {
  if (Got.Status == 200)
    return;
  const Json Body = Got.json();
  const int Told = Body.contains("error")
                       ? Body["error"].value("retry_after_ms", 0)
                       : MaxPauseMillis;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::clamp(Told, 5, MaxPauseMillis)));
}

} // namespace

Callers::Callers(std::vector<std::string> At, uint64_t Seed, Ledger &Into)
    : Entries(std::move(At)), Seen(Into) {
  for (size_t n = 0; n < ThreadsEach; ++n) {
    const std::string Name = std::to_string(n);
    Threads.emplace_back([=, this] { askModel(Seed + 3 * n, Name); });
    Threads.emplace_back([=, this] { askService(Seed + 3 * n + 1, Name); });
    Threads.emplace_back([=, this] { book(Seed + 3 * n + 2, Name); });
  }
}

Callers::~Callers() {
  Stop = true;
  for (std::thread &One : Threads)
    One.join();
}

Answer Callers::askNoting(const std::string &At, const Ask &What) {
  Answer Got = fleet::askAt(At, What);
  {
    const std::lock_guard Lock(Seen.Guard);
    ++Seen.Requests;
    if (Got.Status != 200)
      ++Seen.Errors[kindOf(Got)];
    if (toldBy(Got) == Told::Unknown)
      ++Seen.UnknownAnswers;
  }
  pauseAfter(Got);
  return Got;
}

void Callers::askModel(uint64_t Seed, const std::string &Name) {
  std::mt19937_64 Random(Seed);
  for (size_t n = 0; !Stop; ++n) {
    Ask What;
    What.Body = {{"prompt", "model " + Name + " " + std::to_string(n)},
                 {"max_tokens", 1 + Random() % 30}};
    What.DeadlineMillis = DeadlineMillis;
    const Answer Got = askNoting(Entries[Random() % Entries.size()], What);
    if (Got.Status != 200)
      continue;
    const Json Body = Got.json();
    const std::lock_guard Lock(Seen.Guard);
    Seen.Answers.push_back(
        {What.Body.dump(), Body.value("text", ""), Body.value("weights", "")});
  }
}

void Callers::askService(uint64_t Seed, const std::string &Name) {
  std::mt19937_64 Random(Seed);
  for (size_t n = 0; !Stop; ++n) {
    Ask What;
    What.Class = "status";
    What.Body = {{"call", Name + "-" + std::to_string(n)}};
    What.DeadlineMillis = DeadlineMillis;
    const Answer Got = askNoting(Entries[Random() % Entries.size()], What);
    const std::lock_guard Lock(Seen.Guard);
    Seen.Calls[What.Body.dump()] = toldBy(Got);
  }
}

void Callers::book(uint64_t Seed, const std::string &Name) {
  std::mt19937_64 Random(Seed);
  for (size_t n = 0; !Stop; ++n) {
    Ask What;
    What.Class = "bookings";
    What.Key = "slot-" + Name + "-" + std::to_string(n);
    What.Body = {{"slot", What.Key}};
    What.DeadlineMillis = DeadlineMillis;
    Told Last = Told::NotRun;
    for (int i = 0; i < BookingTries && Last != Told::Answered; ++i) {
      const Answer Got = askNoting(Entries[Random() % Entries.size()], What);
      const Told Now = toldBy(Got);
      const std::lock_guard Lock(Seen.Guard);
      if (Now == Told::Answered)
        Seen.BookingAnswers[What.Key].insert(Got.Body);
      // One unknown try leaves the whole booking unknown: a later "not run"
      // speaks of the later try only.
      Last = Last == Told::Unknown && Now == Told::NotRun ? Last : Now;
      Seen.Bookings[What.Key] = Last;
    }
  }
}

} // namespace jacinthpond::chaos
