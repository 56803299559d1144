/** @file bench_silence.cpp Requests while sound servers fall silent for a
 * moment and go on, beside changes of the configuration.
 */

#include "bench.h"

#include "fleet/route_fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace jacinthpond::bench {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::chrono::seconds ReadyLimit{30};
constexpr size_t Entries = 3;
constexpr size_t ModelWorkers = 6;
constexpr size_t PlainServers = 2;
/** Events of a stream, and the time between two of them. */
constexpr int Events = 20;
constexpr int GapMillis = 60;
constexpr int DeadlineMillis = 4000;
/** An answer that ends earlier than this was not ended by its deadline. */
constexpr int EarlyMillis = DeadlineMillis * 7 / 10;
/** One request in this many goes to a plain back end. */
constexpr size_t PlainEvery = 4;
/** Longest time that a request is under way. */
constexpr double MaxOpenSeconds = 4.5;
constexpr milliseconds StepPeriod{10};
/** Time between two changes of the weights, and between others. */
constexpr milliseconds WeightsPeriod{6000};
constexpr milliseconds ChangePeriod{1000};

/** What became of one request. */
struct Sample {
  bool Stream = false; ///< For a model worker.
  int Status = 0;      ///< HTTP status; -1: it ended without an answer.
  int Millis = 0;      ///< Time until its end.
};

/** Stops servers at random for a while, and lets them go on. */
class Silences {
public:
  Silences(fleet::RouteFleet &All, const BenchOptions &Options)
      : All(All), Length(Options.SilentMillis), Period(Options.EveryMillis),
        PlainShare(Options.PlainShare), Random(Options.Seed),
        Next(Clock::now()) {}

  void step() {
    const auto Now = Clock::now();
    std::erase_if(Stopped, [&](const auto &Row) {
      if (Now < Row.second)
        return false;
      All.process(Row.first).signal(SIGCONT);
      return true;
    });
    if (Length.count() == 0 || Now < Next)
      return;
    Next += Period;
    const bool Plain =
        std::uniform_real_distribution<double>()(Random) < PlainShare;
    const std::string Name =
        (Plain ? "plain-" : "model-") +
        std::to_string(Random() % (Plain ? PlainServers : ModelWorkers));
    if (Stopped.contains(Name))
      return;
    All.process(Name).signal(SIGSTOP);
    Stopped[Name] = Now + Length;
    ++Count;
  }

  void endAll() {
    for (const auto &[Name, Until] : Stopped)
      All.process(Name).signal(SIGCONT);
    Stopped.clear();
  }

  size_t Count = 0; ///< Silences so far.

private:
  fleet::RouteFleet &All;
  milliseconds Length;
  milliseconds Period;
  double PlainShare;
  std::mt19937_64 Random;
  Clock::time_point Next;
  std::map<std::string, Clock::time_point> Stopped;
};

/** Changes the configuration again and again, in one way. */
class Changes {
public:
  Changes(fleet::RouteFleet &All, const std::string &Kind)
      : All(All), Kind(Kind), Next(Clock::now() + ChangePeriod) {}

  void step() {
    if (Kind.empty() || Clock::now() < Next)
      return;
    Next += Kind == "weights" ? WeightsPeriod : ChangePeriod;
    ++Count;
    change(Count % 2 == 1);
  }

  int Count = 0; ///< Changes so far.

private:
  void change(bool Odd) {
    Json &Routes = All.Config["routes"];
    if (Kind == "weights") {
      const Json Item = {{"model", "trail"}, {"version", Count + 1}};
      All.store({{"put", {{"op/version/trail", Item.dump()}}}});
      return;
    }
    if (Kind == "evacuate") {
      All.store(Odd ? Json{{"put", {{"op/evacuate/z1", "{}"}}}}
                    : Json{{"remove", {"op/evacuate/z1"}}});
      return;
    }
    if (Kind == "reload") {
      for (size_t n = 0; n < Entries; ++n)
        All.process("entry-" + std::to_string(n)).signal(SIGHUP);
      return;
    }
    if (Kind == "route" && Odd) {
      Json Extra = Routes[2];
      Extra["name"] = "extra";
      Extra["prefix"] = "/extra/";
      Routes.push_back(Extra);
    } else if (Kind == "route") {
      Routes.erase(Routes.size() - 1);
    } else if (Kind == "key") {
      All.Config["tenants"][0]["api_keys"] =
          Odd ? Json{"key-1"} : Json{"key-1", "key-2"};
    } else if (Kind == "timeout") {
      Routes[0]["timeout_ms"] = Odd ? 5000 : 4000;
    } else if (Kind == "many") {
      growRoutes();
    }
    All.publish(); // A kind without a change of its own: another version.
  }

  void growRoutes() {
    Json &Routes = All.Config["routes"];
    constexpr int Added = 200;
    for (int n = 0; n < Added; ++n) {
      Json One = Routes[2];
      One["name"] = "many-" + std::to_string(Routes.size());
      One["prefix"] = "/many-" + std::to_string(Routes.size()) + "/";
      Routes.push_back(One);
    }
  }

  fleet::RouteFleet &All;
  std::string Kind;
  Clock::time_point Next;
};

fleet::RouteAsk requestNumber(size_t n) {
  fleet::RouteAsk What;
  What.DeadlineMillis = DeadlineMillis;
  if (n % PlainEvery != 0) {
    What.Method = "POST";
    What.Path = "/write/" + std::to_string(n);
    What.Body = "prompt " + std::to_string(n);
  } else if (n % (2 * PlainEvery) == 0) {
    What.Method = "POST";
    What.Path = "/book/" + std::to_string(n);
    What.Body = "slot " + std::to_string(n);
  } else {
    What.Path = "/read/" + std::to_string(n);
  }
  return What;
}

/** Sends requests on schedule; nobody waits for an earlier answer. */
std::vector<std::jthread> startCallers(const fleet::RouteFleet &All,
                                       const BenchOptions &Options,
                                       std::vector<Sample> &Into) {
  const auto Start = Clock::now();
  const auto Callers = static_cast<size_t>(
      static_cast<double>(Options.PerSecond) * MaxOpenSeconds);
  std::vector<std::jthread> Threads;
  for (size_t Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back([&All, &Options, &Into, Start, Callers, Caller] {
      for (size_t n = Caller; n < Into.size(); n += Callers) {
        std::this_thread::sleep_until(
            Start + milliseconds(1000 * n / Options.PerSecond));
        const auto Sent = Clock::now();
        Into[n].Stream = n % PlainEvery != 0;
        Into[n].Status = All.ask(n % Entries, requestNumber(n)).status;
        Into[n].Millis = static_cast<int>(
            std::chrono::duration_cast<milliseconds>(Clock::now() - Sent)
                .count());
      }
    });
  return Threads;
}

/** Counts the log lines of requests that ended without an answer of a back
 * end, by status and reason. */
std::map<std::string, int> endsByReason(const std::string &Folder) {
  std::map<std::string, int> Ends;
  for (size_t n = 0; n < Entries; ++n) {
    std::ifstream From(Folder + "/entry-" + std::to_string(n) + ".log");
    for (std::string Line; std::getline(From, Line);) {
      const auto Field = [&](const std::string &Name) {
        const size_t At = Line.find(" " + Name + "=");
        if (At == std::string::npos)
          return std::string();
        const size_t Begin = At + Name.size() + 2;
        return Line.substr(Begin, Line.find(' ', Begin) - Begin);
      };
      if (Line.find("event=end ") != std::string::npos &&
          Field("outcome") != "answered")
        ++Ends[Field("status") + " " + Field("reason")];
    }
  }
  return Ends;
}

/** Sum of a counter over all entries. */
double counterSum(const fleet::RouteFleet &All, const std::string &Name) {
  double Sum = 0;
  for (size_t n = 0; n < Entries; ++n) {
    httplib::Client Admin("http://" + All.addressOf(n, "admin"));
    const auto Page = Admin.Get("/metrics");
    std::istringstream Lines(Page ? Page->body : "");
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Name + " "))
        Sum += std::stod(Line.substr(Name.size() + 1));
  }
  return Sum;
}

Json outcomesOf(const std::vector<Sample> &All, bool Stream) {
  const auto Count = [&](const std::function<bool(const Sample &)> &Is) {
    return std::ranges::count_if(All, [&](const Sample &One) {
      return One.Stream == Stream && Is(One);
    });
  };
  const auto OfStatus = [&](int Status) {
    return Count([=](const Sample &One) { return One.Status == Status; });
  };
  return {{"sent", Count([](const Sample &) { return true; })},
          {"whole", OfStatus(200)},
          {"lost", Count([](const Sample &One) {
             return One.Status == -1 && One.Millis < EarlyMillis;
           })},
          {"lost_at_any_time", OfStatus(-1)},
          {"502", OfStatus(502)},
          {"503", OfStatus(503)},
          {"504", OfStatus(504)}};
}

} // namespace

int benchSilence(const BenchOptions &Options) {
  fleet::RoutePlan Plan;
  Plan.Entries = Entries;
  Plan.ModelWorkers = ModelWorkers;
  Plan.PlainServers = PlainServers;
  Plan.WorkerOptions = {{"events", Events}, {"gap_ms", GapMillis}};
  fleet::RouteFleet All(Plan);
  if (!All.waitServing(ReadyLimit)) {
    printRun("silence", Options, {{"error", "the fleet did not come up"}});
    return 1;
  }
  std::vector<Sample> Samples(Options.PerSecond * Options.Seconds);
  Silences Silent(All, Options);
  Changes Changing(All, Options.Changes);
  {
    const auto Callers = startCallers(All, Options, Samples);
    const auto End = Clock::now() + std::chrono::seconds(Options.Seconds);
    while (Clock::now() < End) {
      Silent.step();
      Changing.step();
      std::this_thread::sleep_for(StepPeriod);
    }
    Silent.endAll();
  }
  printRun("silence", Options,
           {{"per_second", Options.PerSecond},
            {"silent_ms", Options.SilentMillis},
            {"every_ms", Options.EveryMillis},
            {"plain_share", Options.PlainShare},
            {"changes", Options.Changes},
            {"changed", Changing.Count},
            {"silences", Silent.Count},
            {"streams", outcomesOf(Samples, true)},
            {"plain", outcomesOf(Samples, false)},
            {"repeats", counterSum(All, "jacinthpond_route_repeats_total")},
            {"ends", endsByReason(All.keepFolder())},
            {"logs", All.keepFolder()}});
  return 0;
}

} // namespace jacinthpond::bench
