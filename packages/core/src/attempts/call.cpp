/** @file call.cpp Attempts, answer frames and final results of calls. */

#include "attempts/call_func.h"

#include "admission/quarantine_func.h"
#include "attempts/keyed_call_func.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "membership/departure_func.h"
#include "membership/membership_func.h"
#include "routing/entry_addresses_func.h"
#include "routing/load_view_func.h"
#include "routing/retry_budget_func.h"
#include "routing/worker_choice_func.h"

#include <algorithm>
#include <string>

namespace jacinthpond {

namespace {

/** Including the first attempt. */
constexpr uint32_t MaxAttemptsPerCall = 4;
/**
 * How long a repeatable call waits for news of a lost attempt before it is
 * retried elsewhere. Longer than it takes to reopen a link, yet short enough
 * that callers hardly notice.
 */
constexpr Millis LostRepeatableTimeout{1500};
/** The same for a keyed call, longer because only its home can answer. */
constexpr Millis LostKeyedTimeout{5000};
/** How long a keyed call waits for a ready link to its home. */
constexpr Millis HomeLinkTimeout{2000};
/** How much earlier than the entry an agent's deadline expires. */
constexpr Millis DeadlineMargin{200};

/** Removes the open attempt of a call from the state, if there is one. */
void dropAttempt(EntryState &Entry, Call &ActiveCall) {
  if (ActiveCall.Attempt.Id.Value.empty())
    return;
  Entry.Attempts.erase(ActiveCall.Attempt.Id);
  const auto Open = Entry.OpenByWorker.find(ActiveCall.Attempt.Worker);
  if (Open != Entry.OpenByWorker.end() && --Open->second == 0)
    Entry.OpenByWorker.erase(Open);
  ActiveCall.Attempt = OpenAttempt{};
}

/** Finds the call of an open attempt; null for an attempt that has ended. */
Call *findCall(EntryState &Entry, const AttemptId &Attempt) {
  const auto it = Entry.Attempts.find(Attempt);
  if (it == Entry.Attempts.end())
    return nullptr;
  return &Entry.Calls.at(it->second);
}

/** True when the class of a call is in force and repeatable. */
bool isRepeatable(const EntryState &Entry, const Call &ActiveCall) {
  const WorkClass *Class =
      findClass(*Entry.View.InForce, ActiveCall.Received.Class);
  return Class != nullptr && Class->Repeatable;
}

/**
 * Time that is left for an attempt, as sent to the agent, in milliseconds. The
 * agent reports work that waited too long as not run. The report must arrive
 * before the entry's deadline, or the entry could only report "unknown".
 */
uint64_t remainingMillisForAgent(const Call &ActiveCall, TimePoint Now) {
  const Millis Left = toMillis(ActiveCall.Deadline - Now);
  const Millis Margin = std::min(DeadlineMargin, Left / 4);
  return static_cast<uint64_t>((Left - Margin).count());
}

/** Combines the outcomes of two attempts: Yes over Unknown, Unknown over No. */
Ran combineExecuted(Ran A, Ran B) {
  if (A == Ran::Yes || B == Ran::Yes)
    return Ran::Yes;
  return A == Ran::Unknown ? A : B;
}

/**
 * Ends the open attempt and retries the call elsewhere; ends the call when no
 * retry is allowed.
 */
void retryOrEnd(EntryState &Entry, Call &ActiveCall, const Failure &Why,
                Ran Executed, TimePoint Now, Effects &Out) {
  ActiveCall.Tried.push_back(ActiveCall.Attempt.Worker);
  ActiveCall.Executed = combineExecuted(ActiveCall.Executed, Executed);
  dropAttempt(Entry, ActiveCall);
  // A home that has refused a key keeps refusing it: a retry would fail too.
  const bool MayRunAgain =
      (Executed == Ran::No && !ActiveCall.HomeConfirmedNotRun) ||
      isRepeatable(Entry, ActiveCall);
  const bool IsTransient = errorAnswerFor(Why.Kind).RetryAfterMillis > 0 ||
                           Why.Kind == ErrorKind::OutcomeUnknown;
  const bool CanStillTry =
      ActiveCall.Tries < MaxAttemptsPerCall && Now < ActiveCall.Deadline;
  if (MayRunAgain && IsTransient && CanStillTry &&
      trySpendRetry(Entry.Retries, ActiveCall.Received.Class,
                    ActiveCall.Received.Workspace)) {
    startAttempt(Entry, ActiveCall, Now, Out);
    return;
  }
  endCallWithError(Entry, ActiveCall.Received.Call, Why, Executed, Out);
}

/** Opens an attempt of a call and sends it to a worker. */
void sendAttempt(EntryState &Entry, Call &ActiveCall, const Candidate &To,
                 TimePoint Now, Effects &Out) {
  OpenAttempt &Next = ActiveCall.Attempt;
  Next.Id.Value = std::to_string(Entry.Fleet.Self.Run.Value) + "-" +
                  std::to_string(Entry.NextAttempt++);
  Next.Worker = To.Name;
  Next.Link = To.Link;
  Next.Run = Entry.Fleet.Links.at(To.Link).Peer.Run;
  Next.FirstFrame = ActiveCall.NextFrame;
  Next.TextOffset = ActiveCall.Text.size();
  ++ActiveCall.Tries;
  ++Entry.OpenByWorker[To.Name];
  countSentAttempt(Entry.Fleet, To.Link);
  Entry.Attempts[Next.Id] = ActiveCall.Received.Call;
  AttemptStart m;
  m.Attempt = Next.Id;
  m.Request = ActiveCall.Received.Request;
  m.Class = ActiveCall.Received.Class;
  m.Workspace = ActiveCall.Received.Workspace;
  m.Body = ActiveCall.Received.Body;
  m.RemainingMillis =
      ActiveCall.QueryOnly ? 0 : remainingMillisForAgent(ActiveCall, Now);
  m.Key = ActiveCall.Received.Key;
  m.Token = ActiveCall.Received.Token;
  m.ResumeOn = ActiveCall.Weights;
  m.ResumeFrom = ActiveCall.NextFrame;
  m.MustRunAlone = mustRunAlone(suspicionOf(Entry, ActiveCall, Now));
  Out.push_back(SendMessage{To.Link, m});
}

/** Ends a call whose request has made too many back ends fail. */
void endQuarantinedCall(EntryState &Entry, const Call &ActiveCall,
                        TimePoint Now, Effects &Out) {
  const Millis Left = refusalTimeLeft(
      Entry.Suspects,
      fingerprintOf(ActiveCall.Received.Workspace, ActiveCall.Received.Class,
                    ActiveCall.Received.Body),
      Now);
  // Earlier attempts did run, though none to completion.
  endCallWithError(Entry, ActiveCall.Received.Call,
                   {ErrorKind::Quarantined, "it made back ends fail", Left},
                   ActiveCall.Tries > 0 ? Ran::Unknown : Ran::No, Out);
}

/**
 * Starts a call again whose attempt never reached its agent. No back end did
 * any work, so it does not count against the retry budget, and the same worker
 * may be chosen again.
 */
void resendUndelivered(EntryState &Entry, Call &ActiveCall, TimePoint Now,
                       Effects &Out) {
  dropAttempt(Entry, ActiveCall);
  if (ActiveCall.Tries < MaxAttemptsPerCall && Now < ActiveCall.Deadline) {
    startAttempt(Entry, ActiveCall, Now, Out);
    return;
  }
  endCallWithError(Entry, ActiveCall.Received.Call,
                   {ErrorKind::Unreachable, "never arrived", {}}, Ran::No, Out);
}

/** Retries or ends a call whose lost attempt cannot be recovered. */
void abandonLostAttempt(EntryState &Entry, Call &ActiveCall, TimePoint Now,
                        Effects &Out) {
  if (ActiveCall.NextFrame > 0)
    ++Entry.Counters.Resumes;
  retryOrEnd(Entry, ActiveCall, {ErrorKind::OutcomeUnknown, "agent lost", {}},
             Ran::Unknown, Now, Out);
}

/** Retries or ends the calls with a lost attempt that meet a condition. */
template <typename Predicate>
void abandonLostAttemptsIf(EntryState &Entry, Predicate IsSelected,
                           TimePoint Now, Effects &Out) {
  std::vector<CallId> Selected;
  for (const auto &[Id, ActiveCall] : Entry.Calls)
    if (ActiveCall.Attempt.LinkLostAt && IsSelected(ActiveCall))
      Selected.push_back(Id);
  for (const CallId Id : Selected)
    abandonLostAttempt(Entry, Entry.Calls.at(Id), Now, Out);
}

/** Sends a keyed call to its home, or lets it wait for a ready link. */
void startKeyedAttempt(EntryState &Entry, Call &ActiveCall, TimePoint Now,
                       Effects &Out) {
  const HostName Home = homeOfCall(Entry, ActiveCall);
  const PeerLink *Link = readyLink(Entry.Fleet, Home);
  if (Link == nullptr && ActiveCall.QueryOnly) {
    endCallWithError(Entry, ActiveCall.Received.Call,
                     {ErrorKind::Leaving, "", {}}, Ran::No, Out);
    return;
  }
  if (Link == nullptr) {
    if (!ActiveCall.WaitingForHomeSince)
      ActiveCall.WaitingForHomeSince = Now;
    return;
  }
  ActiveCall.WaitingForHomeSince.reset();
  sendAttempt(Entry, ActiveCall, {Home, Link->Link, Link->Load, 0}, Now, Out);
}

/**
 * Ends the keyed calls that wait for a link to their home and meet a
 * condition.
 */
template <typename Predicate>
void endCallsWaitingForHomeIf(EntryState &Entry, Predicate IsSelected,
                              Effects &Out) {
  std::vector<CallId> Selected;
  for (const auto &[Id, ActiveCall] : Entry.Calls)
    if (ActiveCall.WaitingForHomeSince && IsSelected(ActiveCall))
      Selected.push_back(Id);
  for (const CallId Id : Selected)
    endCallWithError(Entry, Id,
                     {ErrorKind::NoWorker, "the key's home is not reached", {}},
                     Ran::No, Out);
}

} // namespace

void startAttempt(EntryState &Entry, Call &ActiveCall, TimePoint Now,
                  Effects &Out) {
  const WorkClass *Class =
      findClass(*Entry.View.InForce, ActiveCall.Received.Class);
  if (Class == nullptr) {
    endCallWithError(
        Entry, ActiveCall.Received.Call,
        {ErrorKind::NotFound, "class " + ActiveCall.Received.Class.Value, {}},
        Ran::No, Out);
    return;
  }
  if (suspicionOf(Entry, ActiveCall, Now) == Suspicion::Refuse) {
    endQuarantinedCall(Entry, ActiveCall, Now, Out);
    return;
  }
  if (!Class->Repeatable) {
    startKeyedAttempt(Entry, ActiveCall, Now, Out);
    return;
  }
  const std::vector<Candidate> Candidates =
      candidatesFor(Entry, *Class, ActiveCall);
  const size_t n = chooseCandidate(Entry, *Class, ActiveCall, Candidates, Now);
  if (n < Candidates.size()) {
    if (ActiveCall.Tries > 0)
      ++Entry.Counters.Retries;
    sendAttempt(Entry, ActiveCall, Candidates[n], Now, Out);
    return;
  }
  // No worker is left. The error depends on whether the caller already has a
  // part of the answer.
  if (ActiveCall.NextFrame > 0)
    endCallWithError(Entry, ActiveCall.Received.Call,
                     {ErrorKind::PartialAnswer, "no worker to resume on", {}},
                     Ran::Yes, Out);
  else
    endCallWithError(Entry, ActiveCall.Received.Call,
                     {ErrorKind::NoWorker, "no worker is ready", {}}, Ran::No,
                     Out);
}

void endCallWithError(EntryState &Entry, CallId Id, const Failure &Why,
                      Ran Executed, Effects &Out) {
  const auto it = Entry.Calls.find(Id);
  if (it == Entry.Calls.end())
    return;
  Call &ActiveCall = it->second;
  dropAttempt(Entry, ActiveCall);
  // A last attempt that did not run does not mean that the call did not run: an
  // earlier attempt may have run, or the caller may hold a part of the answer.
  const Ran Part = ActiveCall.NextFrame > 0 ? Ran::Yes : Ran::No;
  const Ran Reported = executionToReport(
      Entry, ActiveCall, Why,
      combineExecuted(combineExecuted(ActiveCall.Executed, Executed), Part));
  const bool KeyRefused =
      ActiveCall.HomeConfirmedNotRun && Reported == Ran::No &&
      !ActiveCall.Received.Token.empty() && Why.Kind != ErrorKind::KeyConflict;
  Failure Final = Why;
  if (ActiveCall.NextFrame > 0 && Why.Kind != ErrorKind::PartialAnswer)
    Final = {ErrorKind::PartialAnswer,
             std::string(errorAnswerFor(Why.Kind).Name) + " " + Why.Detail,
             Why.RetryAfter};
  ++Entry.Counters.Errors[Final.Kind];
  CallError Error{Id, Final, Reported, {}, {}};
  if (KeyRefused)
    Error.Token = makeHomeToken(Entry, ActiveCall.Received.Class);
  // These errors concern this entry only: the caller may try another one.
  if (Final.Kind == ErrorKind::Leaving || Final.Kind == ErrorKind::StaleView)
    Error.AlternativeEntries =
        entryAddressesFor(Entry, ActiveCall.Received.Caller);
  Out.push_back(std::move(Error));
  Entry.Calls.erase(it);
}

void handleAttemptStarted(EntryState &Entry, const AttemptStarted &m,
                          Effects &Out) {
  Call *ActiveCall = findCall(Entry, m.Attempt);
  if (ActiveCall == nullptr) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  ActiveCall->Attempt.Started = true;
  if (ActiveCall->NextFrame == 0) {
    ActiveCall->Weights = m.Weights;
    return;
  }
  if (ActiveCall->Weights == m.Weights)
    return;
  // The agent loaded other weights after it was chosen. Resuming would mix the
  // answers of two sets of weights.
  Out.push_back(
      SendMessage{ActiveCall->Attempt.Link, AttemptCancel{m.Attempt}});
  endCallWithError(Entry, ActiveCall->Received.Call,
                   {ErrorKind::PartialAnswer, "weights changed", {}}, Ran::Yes,
                   Out);
}

void handleAnswerFrame(EntryState &Entry, const AnswerFrame &m, Effects &Out) {
  Call *ActiveCall = findCall(Entry, m.Attempt);
  if (ActiveCall == nullptr || m.Sequence != ActiveCall->NextFrame) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  ++ActiveCall->NextFrame;
  ActiveCall->Text += m.Data;
  Out.push_back(CallPart{ActiveCall->Received.Call, m.Data});
}

void handleAnswerEnd(EntryState &Entry, const AnswerEnd &m, TimePoint Now,
                     Effects &Out) {
  Call *ActiveCall = findCall(Entry, m.Attempt);
  if (ActiveCall == nullptr) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  const std::string Part =
      ActiveCall->Text.substr(ActiveCall->Attempt.TextOffset);
  if (m.Count != ActiveCall->NextFrame || m.Content != sha256(Part)) {
    // A frame was lost or changed in transit. The part that the caller has may
    // be wrong, so the answer must not be continued.
    const Failure Why{ErrorKind::PartialAnswer, "count or digest differs", {}};
    if (ActiveCall->NextFrame > 0)
      endCallWithError(Entry, ActiveCall->Received.Call, Why, Ran::Yes, Out);
    else
      retryOrEnd(Entry, *ActiveCall, Why, Ran::Unknown, Now, Out);
    return;
  }
  dropAttempt(Entry, *ActiveCall);
  Out.push_back(CallEnd{ActiveCall->Received.Call, m.Status, m.Count,
                        sha256(ActiveCall->Text), ActiveCall->Weights});
  Entry.Calls.erase(ActiveCall->Received.Call);
}

void handleAttemptFailed(EntryState &Entry, const AttemptFailed &m,
                         TimePoint Now, Effects &Out) {
  Call *ActiveCall = findCall(Entry, m.Attempt);
  if (ActiveCall == nullptr) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  ActiveCall->HomeConfirmedNotRun =
      m.Executed == Ran::No && isKeyed(Entry, *ActiveCall);
  const bool Refused = ActiveCall->QueryOnly &&
                       m.Kind != ErrorKind::KeyConflict &&
                       m.Kind != ErrorKind::OutcomeUnknown;
  const Failure Why{Refused ? ErrorKind::Leaving : m.Kind, m.Detail,
                    Millis(static_cast<int64_t>(m.RetryAfterMillis))};
  retryOrEnd(Entry, *ActiveCall, Why, m.Executed, Now, Out);
}

void markAttemptsLost(EntryState &Entry, LinkId Link, TimePoint Now) {
  for (auto &[Id, ActiveCall] : Entry.Calls) {
    OpenAttempt &Attempt = ActiveCall.Attempt;
    if (Attempt.Link != Link || Attempt.Id.Value.empty() || Attempt.LinkLostAt)
      continue;
    Attempt.LinkLostAt = Now;
    Attempt.Link = LinkId{};
  }
}

void handleAgentReached(EntryState &Entry, const HostName &Worker, LinkId Link,
                        TimePoint Now, Effects &Out) {
  for (auto &[Id, ActiveCall] : Entry.Calls) {
    OpenAttempt &Attempt = ActiveCall.Attempt;
    if (!Attempt.LinkLostAt || Attempt.Worker != Worker)
      continue;
    Attempt.Link = Link;
    Out.push_back(
        SendMessage{Link, AttemptQuery{Attempt.Id, ActiveCall.NextFrame}});
  }
  for (auto &[Id, ActiveCall] : Entry.Calls)
    if (ActiveCall.WaitingForHomeSince &&
        homeOfCall(Entry, ActiveCall) == Worker)
      startKeyedAttempt(Entry, ActiveCall, Now, Out);
}

void handleAttemptStatus(EntryState &Entry, const AttemptStatus &m,
                         TimePoint Now, Effects &Out) {
  Call *ActiveCall = findCall(Entry, m.Attempt);
  if (ActiveCall == nullptr || !ActiveCall->Attempt.LinkLostAt) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  if (m.Known != KnownAttemptState::NeverSeen) {
    ActiveCall->Attempt.LinkLostAt.reset();
    ++Entry.Counters.Recovered;
    return;
  }
  // Only the incarnation that the attempt was sent to can tell that it never
  // received it. With this reply it also commits itself not to run it later.
  if (m.Run == ActiveCall->Attempt.Run)
    resendUndelivered(Entry, *ActiveCall, Now, Out);
  else
    abandonLostAttempt(Entry, *ActiveCall, Now, Out);
}

void handleAgentUnreachable(EntryState &Entry, const HostName &Worker,
                            TimePoint Now, Effects &Out) {
  abandonLostAttemptsIf(
      Entry,
      [&](const Call &ActiveCall) {
        return ActiveCall.Attempt.Worker == Worker &&
               isRepeatable(Entry, ActiveCall);
      },
      Now, Out);
  endCallsWaitingForHomeIf(
      Entry,
      [&](const Call &ActiveCall) {
        return homeOfCall(Entry, ActiveCall) == Worker;
      },
      Out);
}

void expireLostAttempts(EntryState &Entry, TimePoint Now, Effects &Out) {
  abandonLostAttemptsIf(
      Entry,
      [&](const Call &ActiveCall) {
        const Millis Wait = isRepeatable(Entry, ActiveCall)
                                ? LostRepeatableTimeout
                                : LostKeyedTimeout;
        return Now - *ActiveCall.Attempt.LinkLostAt >= Wait;
      },
      Now, Out);
  endCallsWaitingForHomeIf(
      Entry,
      [&](const Call &ActiveCall) {
        return Now - *ActiveCall.WaitingForHomeSince >= HomeLinkTimeout;
      },
      Out);
}

void endExpiredCalls(EntryState &Entry, TimePoint Now, Effects &Out) {
  std::vector<CallId> Expired;
  for (const auto &[Id, ActiveCall] : Entry.Calls)
    if (Now >= ActiveCall.Deadline)
      Expired.push_back(Id);
  for (const CallId Id : Expired) {
    const Call &ActiveCall = Entry.Calls.at(Id);
    const bool Sent = !ActiveCall.Attempt.Id.Value.empty();
    if (Sent && !ActiveCall.Attempt.LinkLostAt)
      Out.push_back(SendMessage{ActiveCall.Attempt.Link,
                                AttemptCancel{ActiveCall.Attempt.Id}});
    Failure Why{Sent ? ErrorKind::OutcomeUnknown : ErrorKind::Deadline,
                "deadline passed",
                {}};
    if (ActiveCall.QueryOnly)
      Why = {ErrorKind::Leaving, "the key's home did not answer", {}};
    endCallWithError(Entry, Id, Why, Sent ? Ran::Unknown : Ran::No, Out);
  }
}

} // namespace jacinthpond
