/** @file exchange_suspect.cpp Requests that may crash back ends: what this one
 * shows of itself, and whether it may still be sent.
 */

#include "forward/exchange.h"

#include "admission/part_history_func.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forward/suspects.h"
#include "forwarding/request_identity_func.h"
#include "forwarding/server_notice_func.h"
#include "log/log.h"

#include <utility>

namespace jacinthpond {

namespace {

/** Most parts of a prompt that are looked at. */
constexpr size_t MaxParts = 64;
/** Time for the check of an address itself: several times the latency between
 * regions. */
constexpr Millis AddressCheckMargin{30};

} // namespace

/** Digest by which copies of the request are recognized on all hosts. */
const Digest &Exchange::fingerprint() const {
  if (Digests.Content.Value.empty())
    Digests.Content = routeFingerprint(
        Owner == nullptr ? WorkspaceName{} : Owner->Name,
        {toStringView(Incoming.method_string()), fieldValue(Incoming, "Host"),
         toStringView(Incoming.target()), Body->views()});
  return Digests.Content;
}

/** Digests of the parts of the prompt that other requests may share. */
const std::vector<Digest> &Exchange::partDigests() const {
  if (std::exchange(PartsDigested, true))
    return Digests.Parts;
  const ModelName Model{
      std::string(fieldValue(Incoming, Shared.Wire.headerNames().Model))};
  for (const PartId &One : sharedParts())
    if (Digests.Parts.size() < MaxParts)
      Digests.Parts.push_back(partFingerprint(Model, One));
  return Digests.Parts;
}

/** Digests of the content and of the parts of the prompt. */
const RequestDigests &Exchange::digests() const {
  fingerprint();
  partDigests();
  return Digests;
}

/** Parts of the prompt that other requests may share. */
std::vector<PartId> Exchange::sharedParts() const {
  return Shared.Wire.parseSharedParts(
      joinedFieldValue(Incoming, Shared.Wire.headerNames().PromptParts));
}

/** Says how the request is to be treated for crashes of back ends. */
Verdict Exchange::verdict() const {
  // Without suspects, avoids the cost of a digest of the body.
  if (Shared.Suspects.Suspects.empty() && Shared.Crashes.Runs.empty())
    return {};
  return verdictOn(Shared.Suspects, Shared.Crashes, digests(),
                   Shared.Clock.now());
}

/** Looks the request up among the suspects: says whether it must not be sent,
 * since it crashes back ends, and sets what a suspect needs of its back end. A
 * refused one may become a trial, which is a single attempt. */
bool Exchange::checkQuarantine() {
  const Verdict Found = verdict();
  Needs.Suspect = mustRunAlone(Found.How) ? Found.Suspect : Digest{};
  if (Found.How != Suspicion::Trial)
    return Found.How == Suspicion::Refuse;
  OnTrial = OnTrial || (AttemptsSent == 0 && beginTrial(Shared, Found.Suspect));
  return !OnTrial || AttemptsSent > (Next && Next->Call ? 1U : 0U);
}

/** Says whether a part of the prompt is suspected, so that the request may cost
 * one more back end. */
bool Exchange::hasSuspectedPart() {
  const bool Refused = checkQuarantine();
  return !Refused && !Needs.Suspect.Value.empty() &&
         Needs.Suspect != fingerprint();
}

/** Starts the next attempt; if a part is suspected, only once it is known
 * whether the back end has crashed. */
void Exchange::retryFailedAttempt() {
  if (!hasSuspectedPart()) {
    tryNextServer();
    return;
  }
  RetryAt = Shared.Clock.now() + AddressCheckDelay + AddressCheckMargin;
  armTimer();
}

/** Refuses the request, since copies of it, or others with the same part,
 * crashed back ends. */
void Exchange::endQuarantined() {
  const Digest Suspect = verdict().Suspect;
  const Millis Left =
      refusalTimeLeft(Shared.Suspects, Suspect, Shared.Clock.now());
  Shared.Counters.add(ForwardCount::QuarantineRefused);
  logLine(LogPart::Requests, LogLevel::Info,
          "event=quarantine_refusal id=" + logValue(Id) +
              " content=" + fingerprint().Value +
              " suspect=" + shortDigest(Suspect) + " parts=" + partsText() +
              " refused_ms=" + std::to_string(Left.count()));
  endWithoutServer({ErrorKind::CrashesBackEnds, "", Left}, "quarantined");
}

void Exchange::handleQuarantineChange() {
  const auto Self = shared_from_this();
  if (Session && Next && Next->AwaitingSlot && checkQuarantine()) {
    const auto Refused = Next;
    concludeAttempt(*Refused, AttemptEnd::NotSent);
    tryNextServer();
  }
}

/** Reports that the back end broke off the current attempt. One that is
 * shutting down ends without a crash. */
void Exchange::reportBrokenAnswer(const Attempt &One) {
  const ServerView *Server = findServer(Shared.Pool, One.ServerId);
  const bool Ending = Server != nullptr && isShuttingDown(*Server);
  const bool Begun = One.BodyBeganAt &&
                     Shared.Clock.now() - *One.BodyBeganAt >= AnswerBegunAfter;
  if (!One.ServerRun.empty() && !Ending)
    handleBrokenAnswer(Shared, One.ServerRun, One.ServerAt, digests(), Begun);
}

/** Reports that an answer was begun and that its back end lives on. */
void Exchange::reportBegun(Attempt &One) {
  const bool Success = One.AnswerStatus >= 200 && One.AnswerStatus < 300;
  if (One.BegunReported || !Success)
    return;
  One.BegunReported = true;
  handleBegunParts(Shared, partDigests(),
                   One.BodyBeganAt.value_or(One.CallStartTime));
}

/** Reports that a back end answered the request to its end. */
void Exchange::reportCompletion(Attempt &One) {
  reportBegun(One);
  handleCompletedRequest(Shared,
                         [this]() -> const Digest & { return fingerprint(); });
}

} // namespace jacinthpond
