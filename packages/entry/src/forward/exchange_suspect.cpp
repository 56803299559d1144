/** @file exchange_suspect.cpp Requests that may crash back ends: what this one
 * shows of itself, and whether it may still be sent.
 */

#include "forward/exchange.h"

#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forward/suspects.h"
#include "forwarding/request_identity_func.h"
#include "forwarding/server_notice_func.h"
#include "log/log.h"

namespace jacinthpond {

/** Digest by which copies of the request are recognized on all hosts. */
const Digest &Exchange::fingerprint() const {
  if (Fingerprint.Value.empty())
    Fingerprint = routeFingerprint(
        Owner == nullptr ? WorkspaceName{} : Owner->Name,
        {toStringView(Incoming.method_string()), fieldValue(Incoming, "Host"),
         toStringView(Incoming.target()), Incoming.body()});
  return Fingerprint;
}

/** Parts of the prompt that other requests may share. */
std::vector<PartId> Exchange::sharedParts() const {
  return Shared.Wire.parseSharedParts(
      joinedFieldValue(Incoming, Shared.Wire.headerNames().PromptParts));
}

/** Says how the request is to be treated for crashes of back ends. */
Suspicion Exchange::suspicion() const {
  // Without suspects, avoids the cost of a digest of the body.
  if (Shared.Suspects.Suspects.empty() && Shared.Crashes.Runs.empty())
    return Suspicion::None;
  return suspicionOf(Shared.Suspects, Shared.Crashes, fingerprint(),
                     Shared.Clock.now());
}

/** Looks the request up among the suspects: says whether it must not be sent,
 * since it crashes back ends, and sets what a suspect needs of its back end. A
 * refused one may become a trial, which is a single attempt. */
bool Exchange::checkQuarantine() {
  const Suspicion Found = suspicion();
  Needs.Suspect = mustRunAlone(Found) ? fingerprint() : Digest{};
  if (Found != Suspicion::Trial)
    return Found == Suspicion::Refuse;
  OnTrial = OnTrial || (AttemptsSent == 0 && beginTrial(Shared, fingerprint()));
  return !OnTrial || AttemptsSent > (Call ? 1U : 0U);
}

/** Refuses the request, since copies of it crashed back ends. */
void Exchange::endQuarantined() {
  const Millis Left =
      refusalTimeLeft(Shared.Suspects, fingerprint(), Shared.Clock.now());
  Shared.Counters.add(ForwardCount::QuarantineRefused);
  logLine(LogPart::Requests, LogLevel::Info,
          "event=quarantine_refusal id=" + logValue(Id) +
              " content=" + fingerprint().Value +
              " refused_ms=" + std::to_string(Left.count()));
  endWithoutServer({ErrorKind::CrashesBackEnds, "", Left}, "quarantined");
}

void Exchange::handleQuarantineChange() {
  const auto Self = shared_from_this();
  if (Session && AwaitingSlot && checkQuarantine())
    endQuarantined();
}

/** Reports that the back end broke off the current attempt. One that is
 * shutting down ends without a crash. */
void Exchange::reportBrokenAnswer() {
  const ServerView *Server = findServer(Shared.Pool, ServerId);
  const bool Ending = Server != nullptr && isShuttingDown(*Server);
  if (!ServerRun.empty() && !Ending)
    handleBrokenAnswer(Shared, ServerRun, ServerAt, fingerprint());
}

/** Reports that a back end answered the request to its end. */
void Exchange::reportCompletion() {
  handleCompletedRequest(Shared,
                         [this]() -> const Digest & { return fingerprint(); });
}

} // namespace jacinthpond
