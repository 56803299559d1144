/** @file callers.h Callers that remember what they asked and were told. */

#ifndef JACINTHPOND_BENCH_CHAOS_CALLERS_H
#define JACINTHPOND_BENCH_CHAOS_CALLERS_H

#include "fleet/fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond::chaos {

/** Last word that a caller had on one piece of work. */
enum class Told : uint8_t {
  Answered, ///< The whole answer.
  NotRun,   ///< Certainly not run.
  Unknown,  ///< It may have run, or no answer came at all.
  Count     ///< Number of values; not one of them.
};

/** One whole answer of a model. */
struct ModelAnswer {
  std::string Body;    ///< What was asked.
  std::string Text;    ///< What came.
  std::string Weights; ///< Weights that are said to have produced it.
};

/** All that callers saw, for the checks after the run. */
struct Ledger {
  std::mutex Guard;                     ///< Guards the members below.
  std::vector<ModelAnswer> Answers;     ///< Whole model answers.
  std::map<std::string, Told> Calls;    ///< Repeatable service calls by body.
  std::map<std::string, Told> Bookings; ///< Keyed calls by key.
  std::map<std::string, std::set<std::string>>
      BookingAnswers;                     ///< Distinct answers of each key.
  std::map<std::string, uint64_t> Errors; ///< Answers that failed, by kind.
  uint64_t Requests = 0;                  ///< Requests sent.
  uint64_t UnknownAnswers = 0;            ///< Requests told "unknown".
};

/** Callers' threads; they end with this object. */
class Callers {
public:
  /**
   * Starts the threads.
   * @param Entries Callers' addresses of all entries.
   * @param Seed Of their choices.
   * @param Into Where they write what they saw; outlives the callers.
   */
  Callers(std::vector<std::string> Entries, uint64_t Seed, Ledger &Into);
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

private:
  void askModel(uint64_t Seed, const std::string &Name);
  void askService(uint64_t Seed, const std::string &Name);
  void book(uint64_t Seed, const std::string &Name);
  fleet::Answer askNoting(const std::string &At, const fleet::Ask &What);

  std::vector<std::string> Entries;
  Ledger &Seen;
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Threads;
};

} // namespace jacinthpond::chaos

#endif
