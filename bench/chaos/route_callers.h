/** @file route_callers.h Callers of routes that remember what they saw. */

#ifndef JACINTHPOND_BENCH_CHAOS_ROUTE_CALLERS_H
#define JACINTHPOND_BENCH_CHAOS_ROUTE_CALLERS_H

#include "chaos/route_history.h"

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond::chaos {

/** Part of the path of requests that crash the back ends which run them. */
constexpr const char *CrashSign = "fatal";
/** Part of prompts that crashes the back ends which begin to answer it, and
 * part of the paths of requests with it. */
constexpr const char *CrashPart = "5c1e07a2";
constexpr const char *PartSign = "parted-";
/** What callers send to crash back ends. */
enum class CrashAsk : uint8_t {
  Nothing, ///< Nothing does.
  Copies,  ///< Copies of one request.
  Parts    ///< Requests, no two alike, that share a part of their prompts.
};
/** Events of each stream. */
constexpr int StreamEvents = 8;

/** One request and what came of it. */
struct Exchange {
  std::string Attempt;    ///< Its id.
  size_t Entry = 0;       ///< Where it was sent.
  std::string Method;     ///< HTTP method.
  std::string Path;       ///< Path.
  std::string Body;       ///< Content.
  std::string Key;        ///< API key.
  int DeadlineMillis = 0; ///< How long the caller waits.
  int After = 0;          ///< Last event that the caller has already.
  std::string Parts;      ///< Parts of its prompt; empty: none given.
  Moment Sent;            ///< When it was sent.

  bool Over = false;     ///< Whether the members below hold.
  Moment End;            ///< When the answer, or the connection, ended.
  int Status = 0;        ///< Status; 0: none came.
  bool Whole = false;    ///< Whether the answer came to its proper end.
  std::string Text;      ///< Content, as far as it came.
  std::string Signature; ///< Header of the answer.
  std::string Answers;   ///< Attempt that the answer says it is for.
  std::string Version;   ///< Version of the weights that it says.

  /** Whether the status promises that it has not run and never will. */
  bool isPromise() const {
    return Status == 408 || Status == 421 || Status == 429 || Status == 503;
  }
};

/** What all callers saw. */
struct RouteLedger {
  std::mutex Guard;                    ///< Guards the members below.
  std::map<std::string, Exchange> All; ///< By attempt.
  std::vector<std::string> Fresh;      ///< Attempts that ended; not judged yet.
};

/** Callers' threads; they end with this object. */
class RouteCallers {
public:
  /**
   * Starts the threads.
   * @param Entries Callers' addresses of all entries.
   * @param Seed Of their choices.
   * @param Into Where they write what they saw; outlives the callers.
   * @param Crashing What one of them sends to crash back ends.
   * @param Writers How many of them ask for streams.
   */
  RouteCallers(std::vector<std::string> Entries, uint64_t Seed,
               RouteLedger &Into, CrashAsk Crashing, size_t Writers);
  ~RouteCallers();
  RouteCallers(const RouteCallers &) = delete;
  RouteCallers &operator=(const RouteCallers &) = delete;

private:
  /** One caller, with a kept connection to each entry that it used. */
  struct Caller;

  void read(Caller &Self);
  void book(Caller &Self);
  void write(Caller &Self);
  void crash(Caller &Self);
  void crashByPart(Caller &Self);
  Exchange ask(Caller &Self, Exchange What);

  std::vector<std::string> Entries;
  RouteLedger &Seen;
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Threads;
};

/**
 * Gives the id of the last whole event.
 * @param Text Events, perhaps cut.
 * @param After What to give where there is none.
 * @return The id.
 */
int lastEvent(const std::string &Text, int After);

} // namespace jacinthpond::chaos

#endif
