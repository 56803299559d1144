/** @file suspects.cpp Evidence of requests that crash back ends. */

#include "forward/suspects.h"

#include "admission/part_history_func.h"
#include "base/hash_func.h"
#include "forward/address_check.h"
#include "forward/log_value.h"
#include "log/log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace jacinthpond {

namespace {

/** Least time between two trials of a request by the same entry. */
constexpr std::chrono::minutes TrialPeriod{10};
/** Time after a close from which the address of a back end that crashed refuses
 * connections: a process that ends closes its sockets one after the other. */
constexpr Millis CloseCheckDelay{20};

/** Lets requests that wait for a slot look at the quarantine again. */
void recheckWaitingRequests(ForwardContext &Shared) {
  std::vector<std::shared_ptr<SlotWaiter>> Waiting;
  for (const auto &[Slot, Waiter] : Shared.SlotWaiters)
    if (auto One = Waiter.lock())
      Waiting.push_back(std::move(One));
  for (const auto &One : Waiting)
    One->handleQuarantineChange();
}

/** Names a request, or a part and a request with it, for the log. */
std::string suspectText(const SuspectNotice &Notice) {
  if (Notice.Request.Value.empty())
    return "content=" + shortDigest(Notice.Fingerprint);
  return "part=" + shortDigest(Notice.Fingerprint) +
         " content=" + shortDigest(Notice.Request);
}

/** Applies a notice; says whether it is news. */
bool applyNotice(ForwardContext &Shared, const SuspectNotice &Notice) {
  const TimePoint Now = Shared.Clock.now();
  const Digest &Request = Notice.Fingerprint;
  const Suspicion Before = suspicionOf(Shared.Suspects, Request, Now);
  if (!applySuspectNotice(Shared.Suspects, Notice, Now))
    return false;
  const Suspicion After = suspicionOf(Shared.Suspects, Request, Now);
  if (After != Suspicion::Refuse || Before == Suspicion::Refuse)
    return true;
  Shared.Counters.add(ForwardCount::Quarantined);
  std::string Runs;
  for (const auto &[Run, Each] : Shared.Suspects.Suspects.at(Request).Deaths)
    Runs += (Runs.empty() ? "" : ",") + Run;
  logLine(LogPart::Requests, LogLevel::Warn,
          "event=quarantined " + suspectText(Notice) + " crashed=" + Runs +
              " refused_ms=" +
              std::to_string(
                  refusalTimeLeft(Shared.Suspects, Request, Now).count()));
  recheckWaitingRequests(Shared);
  return true;
}

/** Applies notices here and sends them to all peers. */
void publishNotices(ForwardContext &Shared,
                    const std::vector<SuspectNotice> &Notices) {
  for (const SuspectNotice &Notice : Notices)
    if (applyNotice(Shared, Notice))
      Shared.ReportSuspect(Notice);
}

/** Logs that a suspect was cleared of crashes, and tells all peers. */
void reportCleared(ForwardContext &Shared,
                   const std::vector<SuspectNotice> &Notices) {
  if (Notices.empty())
    return;
  logLine(LogPart::Requests, LogLevel::Info,
          "event=suspect_cleared " + suspectText(Notices.front()) +
              " crashes=" + std::to_string(Notices.size()));
  for (const SuspectNotice &Notice : Notices)
    Shared.ReportSuspect(Notice);
}

/** Logs what came of the check of an address. */
void logCheck(const std::string &Run, AddressCheck Result) {
  constexpr std::array<const char *, 3> Words = {"refused", "accepted",
                                                 "no_answer"};
  logLine(LogPart::Requests, LogLevel::Info,
          "event=address_check run=" + Run +
              " result=" + Words.at(static_cast<size_t>(Result)));
}

/** Records whether a back end has crashed. */
void handleAddressCheck(ForwardContext &Shared, const std::string &Run,
                        AddressCheck Result) {
  logCheck(Run, Result);
  if (Result == AddressCheck::Refused)
    Shared.Counters.add(ForwardCount::BackEndCrashes);
  recordAddressCheck(Shared.Crashes, Run, Result);
  publishCrashes(Shared);
}

} // namespace

/** Logs which requests were under way at crashed back ends, and publishes it.
 */
void publishCrashes(ForwardContext &Shared) {
  const std::vector<SuspectNotice> Notices = takeCrashNotices(
      Shared.Crashes, Shared.Clock.now(), Shared.Suspects.Seen);
  for (const SuspectNotice &Notice : Notices)
    logLine(LogPart::Requests, LogLevel::Info,
            "event=suspect " + suspectText(Notice) + " run=" + Notice.DeathId +
                " age_ms=" + std::to_string(Notice.AgeMillis));
  publishNotices(Shared, Notices);
}

void handleBegunParts(ForwardContext &Shared, const std::vector<Digest> &Parts,
                      TimePoint BegunAt) {
  const TimePoint Now = Shared.Clock.now();
  for (const Digest &Part : Parts) {
    recordBegun(Shared.Suspects.Seen, Part, BegunAt, Now);
    forgetBegun(Shared.Crashes, Part, BegunAt);
    reportCleared(Shared, clearPart(Shared.Suspects, Part, BegunAt, Now));
  }
}

void handleBrokenAnswer(ForwardContext &Shared, const std::string &Run,
                        const Address &At, const RequestDigests &Request,
                        bool Begun) {
  const TimePoint Now = Shared.Clock.now();
  dropOldRuns(Shared.Crashes, Now);
  const bool NewRun =
      recordBrokenAnswer(Shared.Crashes, Run, Request.Content, Now);
  if (!Begun)
    recordUnbegunParts(Shared.Crashes, Run, Request);
  if (NewRun)
    checkAddress(Shared.Io, At, AddressCheckDelay,
                 [&Shared, Run](AddressCheck Result) {
                   handleAddressCheck(Shared, Run, Result);
                 });
  else
    publishCrashes(Shared);
}

void handleCompletedRequest(ForwardContext &Shared,
                            const std::function<const Digest &()> &Request) {
  if (Shared.Suspects.Suspects.empty() && Shared.Crashes.Runs.empty())
    return;
  forgetCompleted(Shared.Crashes, Request());
  reportCleared(Shared,
                clearSuspect(Shared.Suspects, Request(), Shared.Clock.now()));
}

void handleSignOfLife(ForwardContext &Shared, const std::string &Run,
                      TimePoint SentAt) {
  const std::vector<SuspectNotice> Withdrawn =
      recordSignOfLife(Shared.Crashes, Run, SentAt, Shared.Clock.now());
  if (Withdrawn.empty())
    return;
  logLine(LogPart::Requests, LogLevel::Info,
          "event=crash_withdrawn run=" + Run +
              " requests=" + std::to_string(Withdrawn.size()));
  publishNotices(Shared, Withdrawn);
}

void handleSuspectNotice(ForwardContext &Shared, const SuspectNotice &Notice) {
  if (applyNotice(Shared, Notice) || Notice.Cleared)
    return;
  // Nobody else may have seen an answer with a rare part. Of a part that is in
  // many requests, many entries have.
  const TimePoint Now = Shared.Clock.now();
  const TimePoint DiedAt = Now - Millis(static_cast<int64_t>(Notice.AgeMillis));
  const PartHistory &Seen = Shared.Suspects.Seen;
  if (hasBegunSince(Seen, Notice.Fingerprint, DiedAt) &&
      !isSilenceUsual(Seen, Notice.Fingerprint, Now, 1, Now)) {
    SuspectNotice Cleared = Notice;
    Cleared.Cleared = true;
    reportCleared(Shared, {Cleared});
  }
}

void confirmRunning(ForwardContext &Shared, const std::string &Run,
                    const Address &At, std::function<void(AddressCheck)> Done) {
  const auto [it, New] = Shared.RunChecks.try_emplace(Run);
  it->second.push_back(std::move(Done));
  if (!New)
    return;
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Shared.Io, CloseCheckDelay);
  Timer->async_wait([&Shared, Run, At, Timer](const auto &ec) {
    if (ec)
      return;
    // Connections that close from now on are not covered by this check.
    const auto Node = Shared.RunChecks.extract(Run);
    checkAddress(Shared.Io, At, Millis{0},
                 [&Shared, Run, All = Node.mapped()](AddressCheck Result) {
                   Shared.Counters.add(ForwardCount::CloseChecks);
                   if (Result != AddressCheck::Accepted)
                     logCheck(Run, Result);
                   for (const auto &One : All)
                     One(Result);
                 });
  });
}

bool beginTrial(ForwardContext &Shared, const Digest &Request) {
  const TimePoint Now = Shared.Clock.now();
  const std::vector<HostName> &Sharers = Shared.Pool.Sharers;
  if (!Sharers.empty() && rendezvousOrder(Request.Value, Sharers).front() !=
                              Shared.Pool.Options.Self)
    return false;
  const auto [it, New] = Shared.Trials.try_emplace(Request, Now);
  if (!New && Now - it->second < TrialPeriod)
    return false;
  it->second = Now;
  return true;
}

} // namespace jacinthpond
