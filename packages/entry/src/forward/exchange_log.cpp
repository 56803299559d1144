/** @file exchange_log.cpp What is logged of a request on a route: one line for
 * each attempt that is decided on, each that fails, and the end. Every line has
 * the caller's id and the inputs of the decision with their age or version.
 */

#include "forward/exchange.h"

#include "admission/server_rate_func.h"
#include "forward/log_value.h"
#include "forwarding/liveness_func.h"
#include "log/log.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace jacinthpond {

namespace {

/** Word of each AttemptEnd in log lines, in enum order. */
constexpr std::array<std::string_view, 7> AttemptEndNames = {
    "answered", "back_end_error", "not_executed", "unreached",
    "broken",   "given_up",       "not_sent"};

/** Milliseconds since a moment; one that never was is the longest ago. */
std::string ageOf(TimePoint Then, TimePoint Now) {
  constexpr int64_t MostMillis = 999999;
  return std::to_string(std::min(
      MostMillis, toMillis(Now - std::max(Then, TimePoint{})).count()));
}

/** Id of the last event that the caller was sent. */
std::string lastEvent(const EventStream &Events) {
  return Events.LastId ? std::to_string(*Events.LastId) : "-";
}

} // namespace

void Exchange::logHeld() const {
  const Duration Longest = Shared.Fleet.ReadyBy - Shared.Clock.now();
  logLine(LogPart::Requests, LogLevel::Info,
          "event=held id=" + logValue(Id) +
              " document=" + (Shared.Doc == nullptr ? "no" : "yes") +
              " longest_ms=" + std::to_string(toMillis(Longest).count()) +
              " held=" + std::to_string(Shared.Held.size()));
}

void Exchange::logAttempt(const ServerView &Server,
                          const ServerChoice &Choice) const {
  const TimePoint Now = Shared.Clock.now();
  const WantedWeights *Wanted = wantedAt(Shared.Pool, Server);
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=attempt id=" + logValue(Id) + " n=" + std::to_string(Sent + 1) +
          " server=" + Server.Listed.Id.Value + " at=" +
          Server.Listed.At.Value + " open=" + std::to_string(Server.Open) +
          " others=" + std::to_string(Server.OtherWork) +
          " told_ms=" + ageOf(Server.ToldAt, Now) +
          " left_ms=" + std::to_string(toMillis(Limit - Now).count()) +
          " caller_age_ms=" + std::to_string(toMillis(Age).count()) +
          " candidates=" + std::to_string(Choice.Candidates) +
          " weights=" + logValue(Server.Weights.Value) +
          " wanted=" + (Wanted == nullptr ? "-" : logValue(Wanted->Set.Value)) +
          " wanted_ms=" +
          (Wanted == nullptr || !Wanted->PublishedAfter
               ? "-"
               : ageOf(*Wanted->PublishedAfter, Now)) +
          " agent=" + (hasAgent(Server) ? "yes" : "no") +
          " rate=" + rateText(Server.Rate) + " rate_ms=" +
          (Server.Rate.PerSecond ? ageOf(Server.Rate.NamedAt, Now) : "-"));
}

void Exchange::logRate(RateChange Change, std::string_view Came) const {
  if (Change == RateChange::None)
    return;
  Shared.Counters.add(ForwardCount::RateChanges);
  const auto it = Shared.Pool.Servers.find(At);
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=rate_limit id=" + logValue(Id) + " server=" + At.Value +
          " per_second=" +
          (it == Shared.Pool.Servers.end() ? "-" : rateText(it->second.Rate)) +
          " field=" + logValue(Came));
}

void Exchange::logAttemptEnd(AttemptEnd How, Duration Took) const {
  const TimePoint Now = Shared.Clock.now();
  const auto Still = standsStillFrom(Shared.Pool, At);
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=attempt_end id=" + logValue(Id) + " n=" + std::to_string(Sent) +
          " server=" + At.Value + " outcome=" +
          std::string(AttemptEndNames.at(static_cast<size_t>(How))) +
          " status=" +
          std::to_string(Mode == AnswerMode::Waiting ? 0 : Head.result_int()) +
          " ms=" + std::to_string(toMillis(Took).count()) +
          " heard_ms=" + ageOf(lastHeard(Shared.Pool, At), Now) +
          " unanswered_ms=" + (Still ? ageOf(*Still, Now) : std::string("-")) +
          " events_until=" + lastEvent(Events));
}

void Exchange::logEnd(const char *Outcome, unsigned Status,
                      const char *Reason) {
  const TimePoint Now = Shared.Clock.now();
  const auto Since = [&](TimePoint Then) {
    return std::to_string(toMillis(Now - Then).count());
  };
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=end id=" + logValue(Id) + " outcome=" + Outcome +
          " status=" + std::to_string(Status) + " reason=" + Reason +
          " route=" + (From == nullptr ? "-" : logValue(From->Name)) +
          " tenant=" + (Owner == nullptr ? "-" : logValue(Owner->Name.Value)) +
          " attempts=" + std::to_string(Sent) +
          " servers=" + (Places.empty() ? "-" : Places) +
          " ms=" + Since(Arrived) + " first_ms=" +
          (FirstByte ? std::to_string(toMillis(*FirstByte - Arrived).count())
                     : "-") +
          " events_until=" + lastEvent(Events) +
          " version=" + (Doc ? std::to_string(Doc->Version.Value) : "0") +
          " age_ms=" + Since(Shared.DocSince));
  if (From != nullptr && FirstByte) {
    Shared.Timings.observeService(Timing::FirstToken, Needs.Service.Value,
                                  *FirstByte - Arrived);
    Shared.Timings.observeService(Timing::Whole, Needs.Service.Value,
                                  Now - Arrived);
  }
}

} // namespace jacinthpond
