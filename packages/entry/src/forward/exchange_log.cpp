/** @file exchange_log.cpp Log lines for requests on routes: one for each
 * attempt that starts, each that fails, and the end. Every line has the
 * caller's id and the inputs of the decision with their age or version.
 */

#include "forward/exchange.h"

#include "admission/server_rate_func.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forwarding/liveness_func.h"
#include "forwarding/server_notice_func.h"
#include "log/log.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace jacinthpond {

namespace {

/** Log value of each AttemptEnd, in enum order. */
constexpr std::array<std::string_view, 7> AttemptEndWords = {
    "answered", "back_end_error", "not_executed", "unreached",
    "broken",   "given_up",       "not_sent"};

/** Log value of each ConnectionEnd, in enum order. */
constexpr std::array<std::string_view,
                     static_cast<size_t>(ConnectionEnd::Count)>
    ConnectionEndWords = {"open",  "refused", "timed_out", "failed",
                          "reset", "closed",  "malformed"};

/** Log value of each AbandonReason, in enum order. */
constexpr std::array<const char *, static_cast<size_t>(AbandonReason::Count)>
    AbandonReasonWords = {"-",
                          "silent",
                          "host_unresponsive",
                          "overtaken",
                          "start_too_late",
                          "unusable",
                          "other_weights",
                          "broken_events",
                          "too_large",
                          "no_memory"};

/** Milliseconds since a time; the maximum if the time was never set. */
std::string millisSince(TimePoint Then, TimePoint Now) {
  constexpr int64_t MostMillis = 999999;
  return std::to_string(std::min(
      MostMillis, toMillis(Now - std::max(Then, TimePoint{})).count()));
}

/** Most parts of a prompt in a log line. */
constexpr size_t MaxPartsLogged = 10;

/** Id of the last event sent to the caller; "-" if there is none. */
std::string lastEventText(const std::optional<uint64_t> &LastId) {
  return LastId ? std::to_string(*LastId) : "-";
}

} // namespace

/** Shared parts of the prompt, so that lines of different requests can be told
 * apart or counted by what they share. */
std::string Exchange::partsText() const {
  std::vector<PartId> Parts = sharedParts();
  const bool Cut = Parts.size() > MaxPartsLogged;
  Parts.resize(std::min(Parts.size(), MaxPartsLogged));
  std::string Text;
  for (const PartId &One : Parts)
    Text += (Text.empty() ? "" : ",") + One.Value;
  return Text.empty() ? "-" : Text + (Cut ? ",..." : "");
}

/** Logs that the request waits until this entry is ready. */
void Exchange::logWaitForReadiness() const {
  const Duration Longest = Shared.Fleet.ReadyBy - Shared.Clock.now();
  logLine(LogPart::Requests, LogLevel::Info,
          "event=held id=" + logValue(Id) +
              " document=" + (Shared.Doc == nullptr ? "no" : "yes") +
              " longest_ms=" + std::to_string(toMillis(Longest).count()) +
              " held=" + std::to_string(Shared.ReadinessWaiters.size()));
}

/** Logs an attempt that is about to start, and why this back end was chosen. */
void Exchange::logAttempt(const ServerView &Server,
                          const ServerChoice &Choice) const {
  const TimePoint Now = Shared.Clock.now();
  const WantedWeights *Wanted = wantedWeightsFor(Shared.Pool, Server);
  logLine(LogPart::Requests, LogLevel::Info,
          "event=attempt id=" + logValue(Id) +
              " n=" + std::to_string(AttemptsSent + 1) + " server=" +
              Server.Listed.Id.Value + " at=" + Server.Listed.At.Value +
              " open=" + std::to_string(Server.Open) +
              " others=" + std::to_string(Server.OtherRequests) + " told_ms=" +
              millisSince(Server.LoadReportedAt, Now) + " left_ms=" +
              std::to_string(toMillis(RequestDeadline - Now).count()) +
              " caller_age_ms=" + std::to_string(toMillis(CallerAge).count()) +
              " candidates=" + std::to_string(Choice.Candidates) +
              " answers_open=" + std::to_string(Sent.size()) +
              " search=" + (Search.SpareOnly ? "spare" : "any") +
              " paused=" + std::to_string(Choice.Paused) +
              " weights=" + logValue(Server.Weights.Value) + " wanted=" +
              (Wanted == nullptr ? "-" : logValue(Wanted->Set.Value)) +
              " wanted_ms=" +
              (Wanted == nullptr || !Wanted->PublishedAfter
                   ? "-"
                   : millisSince(*Wanted->PublishedAfter, Now)) +
              " agent=" + (hasAgent(Server) ? "yes" : "no") +
              " rate=" + formatRateLimit(Server.Rate) + " rate_ms=" +
              (Server.Rate.PerSecond ? millisSince(Server.Rate.LimitSeenAt, Now)
                                     : "-"));
}

/** Logs a notice that could not be read, once for each run of a back end. */
void Exchange::logUnreadableNotice(const Attempt &One, const std::string &Name,
                                   std::string_view Value) {
  if (recordUnreadableNotice(Shared.Pool, One.ServerId, Shared.Clock.now()))
    logLine(LogPart::Requests, LogLevel::Warn,
            "event=server_notice_unreadable id=" + logValue(Id) +
                " server=" + One.ServerId.Value + " field=" + Name +
                " value=" + logValue(Value));
}

/** Logs a response whose headers ask for a pause or announce a shutdown. */
void Exchange::logServerNotice(const Attempt &One,
                               const ResponseHead &Received) const {
  const HeaderNames &Names = Shared.Wire.headerNames();
  const std::string *Leaving = usedHeaderName(Received, Names.Leaving);
  if (Received.count(Names.RetryAfter) == 0 && Leaving == nullptr)
    return;
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=server_notice id=" + logValue(Id) +
          " server=" + One.ServerId.Value +
          " status=" + std::to_string(Received.result_int()) + " retry_after=" +
          logValue(fieldValue(Received, Names.RetryAfter)) + " leaving=" +
          (Leaving == nullptr
               ? std::string("-")
               : *Leaving + ":" + logValue(fieldValue(Received, *Leaving))));
}

/** Logs and counts a change of a back end's rate limit. */
void Exchange::logRateChange(const Attempt &One, RateChange Change,
                             std::string_view Header) const {
  if (Change == RateChange::None)
    return;
  Shared.Counters.add(ForwardCount::RateChanges);
  const auto it = Shared.Pool.Servers.find(One.ServerId);
  logLine(LogPart::Requests, LogLevel::Info,
          "event=rate_limit id=" + logValue(Id) +
              " server=" + One.ServerId.Value + " per_second=" +
              (it == Shared.Pool.Servers.end()
                   ? "-"
                   : formatRateLimit(it->second.Rate)) +
              " field=" + logValue(Header));
}

/** Logs an attempt that got no usable response, and what could take its
 * place. */
void Exchange::logAttemptEnd(const Attempt &One, AttemptEnd How) const {
  const TimePoint Now = Shared.Clock.now();
  ServerNeeds Other = Needs;
  Other.Tried.insert(One.ServerId);
  const auto UnresponsiveFrom = unresponsiveFrom(Shared.Pool, One.ServerId);
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=attempt_end id=" + logValue(Id) +
          " n=" + std::to_string(One.Number) + " server=" + One.ServerId.Value +
          " outcome=" +
          std::string(AttemptEndWords.at(static_cast<size_t>(How))) +
          " status=" + std::to_string(One.AnswerStatus) + " connection=" +
          std::string(ConnectionEndWords.at(static_cast<size_t>(One.LastEnd))) +
          " content=" + shortDigest(fingerprint()) + " parts=" + partsText() +
          " begun_ms=" +
          (One.BodyBeganAt ? millisSince(*One.BodyBeganAt, Now) : "-") +
          " ms=" + std::to_string(toMillis(Now - One.CallStartTime).count()) +
          " heard_ms=" +
          millisSince(lastActivityTime(Shared.Pool, One.ServerId), Now) +
          " unanswered_ms=" +
          (UnresponsiveFrom ? millisSince(*UnresponsiveFrom, Now)
                            : std::string("-")) +
          " events_until=" + lastEventText(LastEventId) +
          " why=" + AbandonReasonWords.at(static_cast<size_t>(One.Abandoned)) +
          " silent_ms=" + millisSince(One.LastProgress, Now) + " left_ms=" +
          std::to_string(toMillis(nextPartDeadline() - Now).count()) +
          " others=" +
          std::to_string(chooseServer(Shared.Pool, Other, Now).Candidates) +
          " repeats_left=" +
          std::to_string(repeatsLeft(Shared.Repeats, Needs.Service,
                                     Shared.Pool.Entries, Now)) +
          " version=" + (Doc ? std::to_string(Doc->Version.Value) : "0") +
          " newest=" +
          (Shared.Doc ? std::to_string(Shared.Doc->Version.Value) : "0") +
          " newest_ms=" + millisSince(Shared.DocSince, Now));
}

/** Logs a search for a back end that ended without an attempt, and when the
 * next one may begin. */
void Exchange::logSearchEnd(const char *Outcome, const char *Why) const {
  const TimePoint Now = Shared.Clock.now();
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=search_end id=" + logValue(Id) + " outcome=" + Outcome + " why=" +
          Why + " answers_open=" + std::to_string(Sent.size()) + " silent_ms=" +
          (Sent.empty() ? "-" : millisSince(Sent.back()->LastProgress, Now)) +
          " failures=" + std::to_string(Search.Failures) +
          " next_ms=" + std::to_string(toMillis(Search.NextAt - Now).count()));
}

/** Logs the end of the request and records its latencies. */
void Exchange::logEnd(const char *Outcome, unsigned Status,
                      const char *Reason) {
  const TimePoint Now = Shared.Clock.now();
  const auto Since = [&](TimePoint Then) {
    return std::to_string(toMillis(Now - Then).count());
  };
  logLine(
      LogPart::Requests, LogLevel::Info,
      "event=end id=" + logValue(Id) + " outcome=" + Outcome + " status=" +
          std::to_string(Status) + " reason=" + Reason + " route=" +
          (RequestRoute == nullptr ? "-" : logValue(RequestRoute->Name)) +
          " tenant=" + (Owner == nullptr ? "-" : logValue(Owner->Name.Value)) +
          " attempts=" + std::to_string(AttemptsSent) +
          " servers=" + (TriedServers.empty() ? "-" : TriedServers) +
          " parts=" + partsText() + " ms=" + Since(ArrivalTime) + " first_ms=" +
          (FirstByteTime
               ? std::to_string(toMillis(*FirstByteTime - ArrivalTime).count())
               : "-") +
          " events_until=" + lastEventText(LastEventId) +
          " version=" + (Doc ? std::to_string(Doc->Version.Value) : "0") +
          " age_ms=" + Since(Shared.DocSince));
  if (RequestRoute != nullptr && FirstByteTime) {
    Shared.Timings.observeService(Timing::FirstToken, Needs.Service.Value,
                                  *FirstByteTime - ArrivalTime);
    Shared.Timings.observeService(Timing::Whole, Needs.Service.Value,
                                  Now - ArrivalTime);
  }
}

} // namespace jacinthpond
