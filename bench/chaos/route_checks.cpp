/** @file route_checks.cpp What must hold, from what callers and workers saw. */

#include "chaos/route_checks.h"

#include <algorithm>
#include <sstream>

namespace jacinthpond::chaos {

using fleet::Json;
using namespace std::chrono_literals;

namespace {

/** An entry has to be undisturbed for so long before bounds hold for it. */
constexpr auto ContactTime = 3s;
/** Bounds from a publication until it is in force. */
constexpr auto ConfigBound = 2s;
constexpr auto ZoneBound = 5s;
/** How late an answer may be. */
constexpr auto AnswerSlack = 500ms;
/** An answer is not owed any more so shortly before the deadline. */
constexpr auto DeadlineRoom = 500ms;
/** Requests that may lose their answer through no fault around them. */
constexpr int MaxLost = 3;
/** Time after a back end named a rate limit from which it holds, and the window
 * in which it gets so many times the limit and a few requests more. */
constexpr auto RateTime = 3s;
constexpr auto RateWindow = 4s;
constexpr double RateOvershoot = 1.5;
constexpr double RateSlack = 5;
/** Attempts of the fleet's own checks; they are not judged. */
constexpr const char *OwnPrefix = "attempt-";

bool isStream(const std::string &Path) { return Path.starts_with("/write/"); }
bool isBooking(const std::string &Path) { return Path.starts_with("/book/"); }

std::string workspaceOf(const std::string &Key) {
  return Key == "key-3" ? "clubs" : "huts";
}

/** Name of a worker's zone, by the number at the end of its name. */
std::string zoneOf(const std::string &Worker) {
  return std::atoi(Worker.substr(Worker.rfind('-') + 1).c_str()) % 2 == 0
             ? "zone z0"
             : "zone z1";
}

/** A key or a route that some configurations do not allow; empty: none. */
std::string changingKey(const Exchange &Asked) {
  return Asked.Key == "key-2" ? "key key-2" : "";
}
std::string changingRoute(const Exchange &Asked) {
  return Asked.Path.starts_with("/extra/") ? "route extra" : "";
}

/** When a worker says that something came. */
Moment momentOf(const Json &From) {
  const std::chrono::duration<double, std::milli> At(
      From["at_ms"].get<double>());
  return Moment(std::chrono::duration_cast<Moment::duration>(At));
}

WorkerRun runOf(const std::string &Worker, const Json &From) {
  const Json &Headers = From["headers"];
  return {Worker,
          From["id"],
          From["version"],
          momentOf(From),
          From["attempt"],
          From["method"],
          From["path"],
          From["body"],
          Headers.value("X-Jacinthpond-Tenant", ""),
          Headers.contains("Authorization")};
}

} // namespace

RouteChecks::RouteChecks(const fleet::RouteFleet &All,
                         const fleet::RoutePlan &Plan, RouteLedger &Ledger,
                         const RouteHistory &Done)
    : Fleet(All), Seen(Ledger), History(Done),
      WeightsChange(Plan.WeightsChangeMillis), Start(Moment::clock::now()),
      Workers(fleet::serverNames(Plan)) {}

std::string RouteChecks::timeOf(Moment At) const {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(At - Start)
                 .count()) +
         " ms";
}

std::string RouteChecks::describe(const Exchange &Got) const {
  std::ostringstream Out;
  Out << Got.Attempt << ' ' << Got.Method << ' ' << Got.Path << " entry-"
      << Got.Entry << ' ' << Got.Key << " sent " << timeOf(Got.Sent)
      << " deadline " << Got.DeadlineMillis;
  if (Got.After > 0)
    Out << " after event " << Got.After;
  if (Got.Over)
    Out << " status " << Got.Status << (Got.Whole ? " whole" : " cut") << " at "
        << timeOf(Got.End);
  return Out.str();
}

std::string RouteChecks::describe(const WorkerRun &Run) const {
  return "run of " + Run.Attempt + " at " + Run.Worker + " (" + Run.Id +
         ", version " + std::to_string(Run.Version) + ") " + timeOf(Run.At);
}

void RouteChecks::broken(const std::string &What) { Broken.push_back(What); }

std::optional<Exchange>
RouteChecks::exchangeOf(const std::string &Attempt) const {
  const std::lock_guard Lock(Seen.Guard);
  const auto it = Seen.All.find(Attempt);
  return it == Seen.All.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Moment> RouteChecks::calmEntry(size_t Entry, Moment At) const {
  const std::string n = std::to_string(Entry);
  return History.Harm.calmSince(
      {"entry-" + n, "entry-" + n + " stop", "link-store-" + n, "store"}, At);
}

bool RouteChecks::workerCalm(const std::string &Worker, Moment From,
                             Moment To) const {
  const auto Since = History.Harm.calmSince({Worker, "link-" + Worker}, To);
  return Since && *Since <= From - ContactTime;
}

void RouteChecks::look() {
  for (const std::string &Worker : Workers)
    if (History.Harm.calmSince({Worker}, Moment::clock::now()) &&
        History.Silence.calmSince({Worker}, Moment::clock::now()))
      lookAt(Worker);
  std::vector<Exchange> Fresh;
  {
    const std::lock_guard Lock(Seen.Guard);
    for (const std::string &Attempt : std::exchange(Seen.Fresh, {}))
      Fresh.push_back(Seen.All.at(Attempt));
  }
  for (const Exchange &Got : Fresh)
    judgeAnswer(Got);
}

void RouteChecks::lookAt(const std::string &Worker) {
  readArrivals(Worker);
  const Json New = Fleet.runsFrom(Worker, Read[Worker]);
  if (!New.is_array())
    return; // It did not answer; the next look gets them.
  Read[Worker] += New.size();
  for (const Json &One : New) {
    const WorkerRun Run = runOf(Worker, One);
    if (!Run.Attempt.starts_with(OwnPrefix))
      judgeRun(Run);
  }
}

void RouteChecks::readArrivals(const std::string &Worker) {
  const Json New = Fleet.arrivalsFrom(Worker, ReadArrivals[Worker]);
  if (!New.is_array())
    return;
  ReadArrivals[Worker] += New.size();
  for (const Json &One : New) {
    const std::string Attempt = One["attempt"];
    const std::optional<Exchange> Asked = exchangeOf(Attempt);
    if (!Asked)
      continue;
    const std::string Pause = One["retry_after"];
    Arrivals[{Worker, One["id"], Asked->Entry}].push_back(
        {momentOf(One), Asked->Sent, Attempt,
         std::chrono::milliseconds(
             static_cast<int>(1000 * std::atof(Pause.c_str()))),
         One["leaving"] != ""});
  }
}

void RouteChecks::judgeRun(const WorkerRun &Run) {
  ++Judged["runs"];
  const std::optional<Exchange> Asked = exchangeOf(Run.Attempt);
  if (!Asked)
    return broken("nobody asked: " + describe(Run));
  Runs[Run.Attempt].push_back(Run);
  if (Run.Method != Asked->Method || Run.Path != Asked->Path ||
      Run.Body != Asked->Body || Run.HasKey ||
      Run.Workspace != workspaceOf(Asked->Key))
    broken("changed on its way: " + describe(Run) + " with " + Run.Path + " '" +
           Run.Body + "' " + Run.Workspace + "; " + describe(*Asked));
  if (isBooking(Run.Path) && ++Bookings[Run.Body] > 1)
    broken("booked twice: " + describe(Run) + "; " + describe(*Asked));
  if (Asked->Over && Asked->isPromise())
    broken("ran, its caller was told not: " + describe(Run) + "; " +
           describe(*Asked));
  judgeConfig(Run, *Asked);
  if (isStream(Run.Path))
    judgeWeights(Run, *Asked);
}

void RouteChecks::forbidden(const std::string &What, Moment At,
                            std::chrono::milliseconds Bound,
                            const WorkerRun &Run, const Exchange &Asked) {
  const auto Since = History.Config.since(What, false, At);
  const auto Calm = calmEntry(Asked.Entry, At);
  if (!Since || !Calm || !workerCalm(Run.Worker, Run.At, Run.At))
    return;
  if (At < *Since + Bound || At - ContactTime - Bound < *Calm)
    return;
  broken(What + " was gone since " + timeOf(*Since) + ": " + describe(Run) +
         "; " + describe(Asked));
}

void RouteChecks::judgeConfig(const WorkerRun &Run, const Exchange &Asked) {
  forbidden("server " + Run.Id, Run.At, ConfigBound, Run, Asked);
  forbidden(zoneOf(Run.Worker), Run.At, ZoneBound, Run, Asked);
  for (const std::string &What : {changingKey(Asked), changingRoute(Asked)})
    if (!What.empty())
      forbidden(What, Asked.Sent, ConfigBound, Run, Asked);
}

void RouteChecks::judgeWeights(const WorkerRun &Run, const Exchange &Asked) {
  const auto Newer = std::ranges::find_if(
      History.Versions, [&](const RouteHistory::Version &One) {
        return One.Number > Run.Version;
      });
  if (Newer == History.Versions.end())
    return;
  const auto Calm = calmEntry(Asked.Entry, Run.At);
  const auto Store = History.Harm.calmSince({"store"}, Run.At);
  if (!Calm || *Calm > Run.At - ContactTime || !Store ||
      !workerCalm(Run.Worker, Run.At, Run.At))
    return;
  ++Judged["old weights in time"];
  // Time in which the store was away does not count.
  const Moment From = std::max(Newer->Published, *Store);
  if (Run.At > From + WeightsChange)
    broken("began on weights that were replaced at " +
           timeOf(Newer->Published) + ": " + describe(Run) + "; " +
           describe(Asked));
}

void RouteChecks::judgeAnswer(const Exchange &Got) {
  ++Judged["answers"];
  ++Statuses[Got.Status];
  const std::string Name = "entry-" + std::to_string(Got.Entry);
  const auto Calm = History.Harm.calmSince({Name, Name + " stop"}, Got.End);
  const auto Limit =
      std::chrono::milliseconds(Got.DeadlineMillis) + AnswerSlack;
  if (Calm && *Calm < Got.Sent - ContactTime && Got.End - Got.Sent > Limit)
    broken("ended late: " + describe(Got));
  if (Got.isPromise() && Runs.contains(Got.Attempt))
    broken("ran, its caller was told not: " +
           describe(Runs.at(Got.Attempt).front()) + "; " + describe(Got));
  if (Got.Status >= 200 && Got.Status < 300)
    judgeContent(Got);
  else if (Got.Status >= 300 && Got.Status < 500 && !Got.isPromise())
    judgeRefusal(Got);
  if (Got.Status == 0 || !Got.Whole)
    Unanswered.push_back(Got);
}

void RouteChecks::judgeContent(const Exchange &Got) {
  if (Got.Signature.empty() || Got.Answers != Got.Attempt)
    broken("success without signature or of another request (" + Got.Answers +
           "): " + describe(Got));
  if (isStream(Got.Path))
    return judgeStream(Got);
  const std::string Right =
      "answer to " + Got.Path + " of " + Got.Body + " on 0";
  if (Got.Text != Right && (Got.Whole || !Right.starts_with(Got.Text)))
    broken("wrong content '" + Got.Text + "': " + describe(Got));
}

void RouteChecks::judgeStream(const Exchange &Got) {
  std::string Version;
  int Last = Got.After;
  size_t At = 0;
  for (size_t End; (End = Got.Text.find("\n\n", At)) != std::string::npos;
       At = End + 2) {
    const std::string Event = Got.Text.substr(At, End - At);
    const std::string n = std::to_string(++Last);
    const std::string Begin =
        "id: " + n + "\ndata: token " + n + " of " + Got.Body + " on ";
    if (!Event.starts_with(Begin))
      return broken("event '" + Event + "' where " + n +
                    " is due: " + describe(Got));
    const std::string Own = Event.substr(Begin.size());
    if (!Version.empty() && Own != Version)
      return broken("versions " + Version + " and " + Own +
                    " joined: " + describe(Got));
    Version = Own;
  }
  ++Judged["streams"];
  if (!Version.empty() && Got.Version != Version)
    broken("weights of " + Version + " called " + Got.Version + ": " +
           describe(Got));
  if (Got.Whole && (Last != StreamEvents || At != Got.Text.size()))
    broken("complete with event " + std::to_string(Last) + ": " +
           describe(Got));
}

void RouteChecks::judgeRefusal(const Exchange &Got) {
  std::vector<std::string> Needed = {changingKey(Got), changingRoute(Got)};
  std::erase(Needed, "");
  if (Needed.empty())
    return broken("refused what is always allowed: " + describe(Got));
  const auto Calm = calmEntry(Got.Entry, Got.Sent);
  const bool Allowed = std::ranges::all_of(Needed, [&](const auto &What) {
    const auto Since = History.Config.since(What, true, Got.Sent);
    return Since && *Since < Got.Sent - ConfigBound;
  });
  if (!Calm || Got.Sent - ContactTime - ConfigBound < *Calm)
    return;
  ++Judged["refusals"];
  if (Allowed)
    broken("refused what is allowed again: " + describe(Got));
}

void RouteChecks::judgeLost(const Exchange &Got) {
  const auto it = Runs.find(Got.Attempt);
  if (it == Runs.end() ||
      Got.End - Got.Sent >
          std::chrono::milliseconds(Got.DeadlineMillis) - DeadlineRoom)
    return;
  const auto Calm =
      History.Harm.calmSince({"entry-" + std::to_string(Got.Entry)}, Got.End);
  const bool Sound = std::ranges::all_of(it->second, [&](const WorkerRun &Run) {
    return workerCalm(Run.Worker, Got.Sent, Got.End);
  });
  if (!Calm || *Calm > Got.Sent - ContactTime || !Sound)
    return;
  if (++Judged["answers lost"] > MaxLost)
    broken("lost the answer: " + describe(it->second.front()) + "; " +
           describe(Got));
}

/** Only what comes from entries that were not disturbed counts. */
void RouteChecks::judgeRate(const RouteHistory::RateLimit &Limit) {
  std::map<std::string, std::vector<WorkerRun>> ById;
  for (const auto &[Attempt, All] : Runs)
    for (const WorkerRun &Run : All)
      if (Run.Worker == Limit.Worker && Run.At >= Limit.Begin &&
          Run.At < Limit.End)
        ById[Run.Id].push_back(Run);
  for (auto &[Id, All] : ById) {
    std::ranges::sort(All, {}, &WorkerRun::At);
    const Moment From = All.front().At + RateTime; // Each start names it anew.
    std::erase_if(All, [&](const WorkerRun &Run) {
      const auto Asked = exchangeOf(Run.Attempt);
      const auto Calm = Asked ? calmEntry(Asked->Entry, Run.At) : std::nullopt;
      return Run.At < From || !Calm || *Calm > Run.At - ContactTime ||
             !workerCalm(Run.Worker, Run.At - RateWindow, Run.At);
    });
    const std::chrono::duration<double> Seconds = RateWindow;
    const double Most =
        RateOvershoot * Limit.PerSecond * Seconds.count() + RateSlack;
    ++Judged["rate limits"];
    for (auto it = All.begin(); it != All.end(); ++it) {
      const auto End = std::ranges::lower_bound(
          it, All.end(), it->At + RateWindow, {}, &WorkerRun::At);
      if (static_cast<double>(End - it) <= Most)
        continue;
      broken(std::to_string(End - it) + " runs in a window at a limit of " +
             std::to_string(Limit.PerSecond) + " a second: " + describe(*it));
      break;
    }
  }
}

void RouteChecks::finish() {
  look();
  for (const RouteHistory::RateLimit &Limit : History.Limits)
    judgeRate(Limit);
  judgeNotices();
  judgeCrashes();
  for (const Exchange &Got : Unanswered)
    judgeLost(Got);
  judgeSilences();
}

} // namespace jacinthpond::chaos
