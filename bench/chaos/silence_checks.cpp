/** @file silence_checks.cpp Whether requests whose servers are sound are
 * answered, also where those fall silent for a moment. Part of RouteChecks.
 */

#include "chaos/route_checks.h"

#include <algorithm>

namespace jacinthpond::chaos {

using namespace std::chrono_literals;

namespace {

/** An entry has to be undisturbed for so long before a request. */
constexpr auto ContactTime = 3s;
/** An answer is not owed any more so shortly before the deadline. */
constexpr auto DeadlineRoom = 500ms;
/** Crashes are noted no later than this after they began. */
constexpr auto NoteTime = 1s;
constexpr int BadGateway = 502;

} // namespace

/** Where nothing of a host answers, an entry may take it for gone; so its agent
 * has to be sound as well. */
bool RouteChecks::hostCalm(const std::string &Worker,
                           const Exchange &Got) const {
  std::vector<std::string> Host = {Worker, "link-" + Worker};
  if (const std::string Model = "model-"; Worker.starts_with(Model)) {
    const std::string Agent = "agent-" + Worker.substr(Model.size());
    Host.insert(Host.end(), {Agent, Agent + " stop", "link-" + Agent});
  }
  const auto Since = History.Harm.calmSince(Host, Got.End + NoteTime);
  return Since && *Since <= Got.Sent - ContactTime;
}

void RouteChecks::judgeSilences() {
  const std::lock_guard Lock(Seen.Guard);
  for (const auto &[Attempt, Got] : Seen.All)
    if (Got.Over)
      judgeSilence(Got);
}

void RouteChecks::judgeSilence(const Exchange &Got) {
  const bool Lost = Got.Status == 0 || !Got.Whole;
  const auto it = Runs.find(Got.Attempt);
  const bool Ran = it != Runs.end();
  const std::string Entry = "entry-" + std::to_string(Got.Entry);
  const auto Calm = History.Harm.calmSince({Entry, Entry + " stop"}, Got.End);
  if (!Calm || *Calm > Got.Sent - ContactTime || (Lost && !Ran) ||
      Got.End - Got.Sent >
          std::chrono::milliseconds(Got.DeadlineMillis) - DeadlineRoom)
    return;
  // Where no server ran it, it may have been at any that can.
  const std::string Kind =
      Got.Path.starts_with("/write/") ? "model-" : "plain-";
  const bool Sound =
      Ran ? std::ranges::all_of(
                it->second,
                [&](const WorkerRun &Run) { return hostCalm(Run.Worker, Got); })
          : std::ranges::all_of(Workers, [&](const std::string &Worker) {
              return !Worker.starts_with(Kind) || hostCalm(Worker, Got);
            });
  if (!Sound)
    return;
  ++Judged["answers of sound servers"];
  const std::string Where =
      (Ran ? describe(it->second.front()) : "no run") + "; " + describe(Got);
  if (Lost)
    broken("lost the answer beside a silent server: " + Where);
  else if (Got.Status == BadGateway)
    broken("502 for a request whose server is sound: " + Where);
}

} // namespace jacinthpond::chaos
