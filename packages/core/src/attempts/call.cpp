/** @file call.cpp Calls of an entry host: attempts, frames and ends. */

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

/** Attempts of one call, the first included. */
constexpr uint32_t MaxTries = 4;
/**
 * How long a lost attempt is asked after before it is tried elsewhere. Above
 * the time to reopen a link, below what a caller notices much.
 */
constexpr Millis AskRepeatable{1500};
/** The same for a call that may not be repeated: only its home can answer. */
constexpr Millis AskKeyed{5000};
/** How long a keyed call waits for a link to its home. */
constexpr Millis HomeWait{2000};
/** An agent gives up waiting work this long before the entry's deadline. */
constexpr Millis DeadlineMargin{200};

/** Forgets the attempt under way. */
void dropAttempt(EntryState &Entry, Call &One) {
  if (One.Attempt.Id.Value.empty())
    return;
  Entry.Attempts.erase(One.Attempt.Id);
  const auto Open = Entry.OpenAt.find(One.Attempt.Worker);
  if (Open != Entry.OpenAt.end() && --Open->second == 0)
    Entry.OpenAt.erase(Open);
  One.Attempt = OpenAttempt{};
}

/** Gives the call of an attempt under way, or null for a late message. */
Call *callOf(EntryState &Entry, const AttemptId &Attempt) {
  const auto it = Entry.Attempts.find(Attempt);
  if (it == Entry.Attempts.end())
    return nullptr;
  return &Entry.Calls.at(it->second);
}

bool repeatable(const EntryState &Entry, const Call &One) {
  const WorkClass *Class = findClass(*Entry.View.InForce, One.Asked.Class);
  return Class != nullptr && Class->Repeatable;
}

/**
 * Deadline as an agent gets it. The agent says "not run" of work that waited
 * too long, and the word must be here before the deadline; otherwise the entry
 * could only say "unknown".
 */
uint64_t remainingFor(const Call &One, TimePoint Now) {
  const Millis Left = toMillis(One.Deadline - Now);
  const Millis Margin = std::min(DeadlineMargin, Left / 4);
  return static_cast<uint64_t>((Left - Margin).count());
}

/** Joins what is known of two attempts: one that ran outweighs a guess. */
Ran worseOf(Ran A, Ran B) {
  if (A == Ran::Yes || B == Ran::Yes)
    return Ran::Yes;
  return A == Ran::Unknown ? A : B;
}

/** Tries again elsewhere, or ends the call when nothing may be tried. */
void retryOrEnd(EntryState &Entry, Call &One, const Failure &Why, Ran Executed,
                TimePoint Now, Effects &Out) {
  One.Tried.push_back(One.Attempt.Worker);
  One.Executed = worseOf(One.Executed, Executed);
  dropAttempt(Entry, One);
  // A home that refused a key has barred it: trying again would be in vain.
  const bool Harmless =
      (Executed == Ran::No && !One.HomeSaidNo) || repeatable(Entry, One);
  const bool Passing = answerFor(Why.Kind).RetryAfterMillis > 0 ||
                       Why.Kind == ErrorKind::OutcomeUnknown;
  const bool InTime = One.Tries < MaxTries && Now < One.Deadline;
  if (Harmless && Passing && InTime &&
      spendRetry(Entry.Retries, One.Asked.Class, One.Asked.Tenant)) {
    startAttempt(Entry, One, Now, Out);
    return;
  }
  endCallWithError(Entry, One.Asked.Call, Why, Executed, Out);
}

void sendAttempt(EntryState &Entry, Call &One, const Candidate &To,
                 TimePoint Now, Effects &Out) {
  OpenAttempt &Next = One.Attempt;
  Next.Id.Value = std::to_string(Entry.Fleet.Self.Run.Value) + "-" +
                  std::to_string(Entry.NextAttempt++);
  Next.Worker = To.Name;
  Next.Link = To.Link;
  Next.Run = Entry.Fleet.Links.at(To.Link).Peer.Run;
  Next.FirstFrame = One.NextFrame;
  Next.TextOffset = One.Text.size();
  ++One.Tries;
  ++Entry.OpenAt[To.Name];
  noteSent(Entry.Fleet, To.Link);
  Entry.Attempts[Next.Id] = One.Asked.Call;
  AttemptStart m;
  m.Attempt = Next.Id;
  m.Request = One.Asked.Request;
  m.Class = One.Asked.Class;
  m.Tenant = One.Asked.Tenant;
  m.Body = One.Asked.Body;
  m.RemainingMillis = One.OnlyAsked ? 0 : remainingFor(One, Now);
  m.Key = One.Asked.Key;
  m.Token = One.Asked.Token;
  m.ResumeOn = One.Weights;
  m.ResumeFrom = One.NextFrame;
  m.Alone = suspicionOf(Entry, One, Now) == Suspicion::RunAlone;
  Out.push_back(SendMessage{To.Link, m});
}

/** Ends a call whose request cost too many back ends. */
void endQuarantined(EntryState &Entry, const Call &One, TimePoint Now,
                    Effects &Out) {
  const Millis Left = refusedFor(
      Entry.Suspects,
      fingerprintOf(One.Asked.Tenant, One.Asked.Class, One.Asked.Body), Now);
  // Its earlier tries did run, though none to its end.
  endCallWithError(Entry, One.Asked.Call,
                   {ErrorKind::Quarantined, "it made back ends fail", Left},
                   One.Tries > 0 ? Ran::Unknown : Ran::No, Out);
}

/**
 * Sends an attempt again that its agent never saw. It cost no back end
 * anything, so it is no retry in the sense of the budget, and says nothing
 * against the worker.
 */
void sendUnseenAgain(EntryState &Entry, Call &One, TimePoint Now,
                     Effects &Out) {
  dropAttempt(Entry, One);
  if (One.Tries < MaxTries && Now < One.Deadline) {
    startAttempt(Entry, One, Now, Out);
    return;
  }
  endCallWithError(Entry, One.Asked.Call,
                   {ErrorKind::Unreachable, "never arrived", {}}, Ran::No, Out);
}

/** Goes on without an attempt whose agent did not answer for it. */
void giveUpLost(EntryState &Entry, Call &One, TimePoint Now, Effects &Out) {
  if (One.NextFrame > 0)
    ++Entry.Counters.Resumes;
  retryOrEnd(Entry, One, {ErrorKind::OutcomeUnknown, "agent lost", {}},
             Ran::Unknown, Now, Out);
}

template <typename Predicate>
void giveUpLostWhere(EntryState &Entry, Predicate Which, TimePoint Now,
                     Effects &Out) {
  std::vector<CallId> Chosen;
  for (const auto &[Id, One] : Entry.Calls)
    if (One.Attempt.Lost && Which(One))
      Chosen.push_back(Id);
  for (const CallId Id : Chosen)
    giveUpLost(Entry, Entry.Calls.at(Id), Now, Out);
}

/** Sends a keyed call to its home, or lets it wait a while for a link. */
void startKeyed(EntryState &Entry, Call &One, TimePoint Now, Effects &Out) {
  const HostName Home = homeOfCall(Entry, One);
  const PeerLink *Link = readyLink(Entry.Fleet, Home);
  if (Link == nullptr && One.OnlyAsked) {
    endCallWithError(Entry, One.Asked.Call, {ErrorKind::Leaving, "", {}},
                     Ran::No, Out);
    return;
  }
  if (Link == nullptr) {
    if (!One.HomeSought)
      One.HomeSought = Now;
    return;
  }
  One.HomeSought.reset();
  sendAttempt(Entry, One, {Home, Link->Link, Link->Load, 0}, Now, Out);
}

/** Ends keyed calls whose home cannot be reached. */
template <typename Predicate>
void endSeekingWhere(EntryState &Entry, Predicate Which, Effects &Out) {
  std::vector<CallId> Chosen;
  for (const auto &[Id, One] : Entry.Calls)
    if (One.HomeSought && Which(One))
      Chosen.push_back(Id);
  for (const CallId Id : Chosen)
    endCallWithError(Entry, Id,
                     {ErrorKind::NoWorker, "the key's home is not reached", {}},
                     Ran::No, Out);
}

} // namespace

void startAttempt(EntryState &Entry, Call &One, TimePoint Now, Effects &Out) {
  const WorkClass *Class = findClass(*Entry.View.InForce, One.Asked.Class);
  if (Class == nullptr) {
    endCallWithError(
        Entry, One.Asked.Call,
        {ErrorKind::NotFound, "class " + One.Asked.Class.Value, {}}, Ran::No,
        Out);
    return;
  }
  if (suspicionOf(Entry, One, Now) == Suspicion::Refuse) {
    endQuarantined(Entry, One, Now, Out);
    return;
  }
  if (!Class->Repeatable) {
    startKeyed(Entry, One, Now, Out);
    return;
  }
  const std::vector<Candidate> Choice = candidatesFor(Entry, *Class, One);
  const size_t n = chooseFor(Entry, *Class, One, Choice, Now);
  if (n < Choice.size()) {
    if (One.Tries > 0)
      ++Entry.Counters.Retries;
    sendAttempt(Entry, One, Choice[n], Now, Out);
    return;
  }
  // Nobody is left: what the caller is told depends on what it already has.
  if (One.NextFrame > 0)
    endCallWithError(Entry, One.Asked.Call,
                     {ErrorKind::PartialAnswer, "no worker to resume on", {}},
                     Ran::Yes, Out);
  else
    endCallWithError(Entry, One.Asked.Call,
                     {ErrorKind::NoWorker, "no worker is ready", {}}, Ran::No,
                     Out);
}

void endCallWithError(EntryState &Entry, CallId Id, const Failure &Why,
                      Ran Executed, Effects &Out) {
  const auto it = Entry.Calls.find(Id);
  if (it == Entry.Calls.end())
    return;
  Call &One = it->second;
  dropAttempt(Entry, One);
  // The last attempt's "not run" says nothing of the ones before it: the
  // request may have run there, or the caller may hold a part of the answer.
  const Ran Part = One.NextFrame > 0 ? Ran::Yes : Ran::No;
  const Ran Told =
      ranOfKey(Entry, One, Why, worseOf(worseOf(One.Executed, Executed), Part));
  const bool Barred = One.HomeSaidNo && Told == Ran::No &&
                      !One.Asked.Token.empty() &&
                      Why.Kind != ErrorKind::KeyConflict;
  Failure Final = Why;
  if (One.NextFrame > 0 && Why.Kind != ErrorKind::PartialAnswer)
    Final = {ErrorKind::PartialAnswer,
             std::string(answerFor(Why.Kind).Name) + " " + Why.Detail,
             Why.RetryAfter};
  ++Entry.Counters.Errors[Final.Kind];
  CallError Error{Id, Final, Told, {}, {}};
  if (Barred)
    Error.Token = makeHomeToken(Entry, One.Asked.Class);
  // These say nothing of the work but that this entry is the wrong one.
  if (Final.Kind == ErrorKind::Leaving || Final.Kind == ErrorKind::StaleView)
    Error.Elsewhere = addressesFor(Entry, One.Asked.Caller);
  Out.push_back(std::move(Error));
  Entry.Calls.erase(it);
}

void attemptBegun(EntryState &Entry, const AttemptBegun &m, Effects &Out) {
  Call *One = callOf(Entry, m.Attempt);
  if (One == nullptr) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  One->Attempt.Begun = true;
  if (One->NextFrame == 0) {
    One->Weights = m.Weights;
    return;
  }
  if (One->Weights == m.Weights)
    return;
  // The agent loaded other weights between choice and start: a resumed answer
  // would mix two models.
  Out.push_back(SendMessage{One->Attempt.Link, AttemptCancel{m.Attempt}});
  endCallWithError(Entry, One->Asked.Call,
                   {ErrorKind::PartialAnswer, "weights changed", {}}, Ran::Yes,
                   Out);
}

void frameArrived(EntryState &Entry, const AnswerFrame &m, Effects &Out) {
  Call *One = callOf(Entry, m.Attempt);
  if (One == nullptr || m.Sequence != One->NextFrame) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  ++One->NextFrame;
  One->Text += m.Data;
  Out.push_back(CallPart{One->Asked.Call, m.Data});
}

void answerEnded(EntryState &Entry, const AnswerEnd &m, TimePoint Now,
                 Effects &Out) {
  Call *One = callOf(Entry, m.Attempt);
  if (One == nullptr) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  const std::string Part = One->Text.substr(One->Attempt.TextOffset);
  if (m.Count != One->NextFrame || m.Content != sha256(Part)) {
    // A frame was lost or changed on the way. The part that the caller has is
    // not known to be right, so nothing may be added to it.
    const Failure Why{ErrorKind::PartialAnswer, "count or digest differs", {}};
    if (One->NextFrame > 0)
      endCallWithError(Entry, One->Asked.Call, Why, Ran::Yes, Out);
    else
      retryOrEnd(Entry, *One, Why, Ran::Unknown, Now, Out);
    return;
  }
  dropAttempt(Entry, *One);
  Out.push_back(CallEnd{One->Asked.Call, m.Status, m.Count, sha256(One->Text),
                        One->Weights});
  Entry.Calls.erase(One->Asked.Call);
}

void attemptFailed(EntryState &Entry, const AttemptFailed &m, TimePoint Now,
                   Effects &Out) {
  Call *One = callOf(Entry, m.Attempt);
  if (One == nullptr) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  One->HomeSaidNo = m.Executed == Ran::No && isKeyed(Entry, *One);
  const bool Refused = One->OnlyAsked && m.Kind != ErrorKind::KeyConflict &&
                       m.Kind != ErrorKind::OutcomeUnknown;
  const Failure Why{Refused ? ErrorKind::Leaving : m.Kind, m.Detail,
                    Millis(static_cast<int64_t>(m.RetryAfterMillis))};
  retryOrEnd(Entry, *One, Why, m.Executed, Now, Out);
}

void attemptsLost(EntryState &Entry, LinkId Link, TimePoint Now) {
  for (auto &[Id, One] : Entry.Calls) {
    OpenAttempt &Attempt = One.Attempt;
    if (Attempt.Link != Link || Attempt.Id.Value.empty() || Attempt.Lost)
      continue;
    Attempt.Lost = Now;
    Attempt.Link = LinkId{};
  }
}

void askAfterAttempts(EntryState &Entry, const HostName &Worker, LinkId Link,
                      TimePoint Now, Effects &Out) {
  for (auto &[Id, One] : Entry.Calls) {
    OpenAttempt &Attempt = One.Attempt;
    if (!Attempt.Lost || Attempt.Worker != Worker)
      continue;
    Attempt.Link = Link;
    Out.push_back(SendMessage{Link, AttemptQuery{Attempt.Id, One.NextFrame}});
  }
  for (auto &[Id, One] : Entry.Calls)
    if (One.HomeSought && homeOfCall(Entry, One) == Worker)
      startKeyed(Entry, One, Now, Out);
}

void attemptStatusHeard(EntryState &Entry, const AttemptStatus &m,
                        TimePoint Now, Effects &Out) {
  Call *One = callOf(Entry, m.Attempt);
  if (One == nullptr || !One->Attempt.Lost) {
    ++Entry.Counters.DroppedFrames;
    return;
  }
  if (m.Known != AttemptKnown::NeverSeen) {
    One->Attempt.Lost.reset();
    ++Entry.Counters.Recovered;
    return;
  }
  // Only the incarnation that the start was sent to can say that it never saw
  // it; it also promises not to run it any more.
  if (m.Run == One->Attempt.Run)
    sendUnseenAgain(Entry, *One, Now, Out);
  else
    giveUpLost(Entry, *One, Now, Out);
}

void agentUnreachable(EntryState &Entry, const HostName &Worker, TimePoint Now,
                      Effects &Out) {
  giveUpLostWhere(
      Entry,
      [&](const Call &One) {
        return One.Attempt.Worker == Worker && repeatable(Entry, One);
      },
      Now, Out);
  endSeekingWhere(
      Entry, [&](const Call &One) { return homeOfCall(Entry, One) == Worker; },
      Out);
}

void endLostAttempts(EntryState &Entry, TimePoint Now, Effects &Out) {
  giveUpLostWhere(
      Entry,
      [&](const Call &One) {
        const Millis Wait = repeatable(Entry, One) ? AskRepeatable : AskKeyed;
        return Now - *One.Attempt.Lost >= Wait;
      },
      Now, Out);
  endSeekingWhere(
      Entry, [&](const Call &One) { return Now - *One.HomeSought >= HomeWait; },
      Out);
}

void endLateCalls(EntryState &Entry, TimePoint Now, Effects &Out) {
  std::vector<CallId> Late;
  for (const auto &[Id, One] : Entry.Calls)
    if (Now >= One.Deadline)
      Late.push_back(Id);
  for (const CallId Id : Late) {
    const Call &One = Entry.Calls.at(Id);
    const bool Sent = !One.Attempt.Id.Value.empty();
    if (Sent && !One.Attempt.Lost)
      Out.push_back(
          SendMessage{One.Attempt.Link, AttemptCancel{One.Attempt.Id}});
    Failure Why{Sent ? ErrorKind::OutcomeUnknown : ErrorKind::Deadline,
                "deadline passed",
                {}};
    if (One.OnlyAsked)
      Why = {ErrorKind::Leaving, "the key's home did not answer", {}};
    endCallWithError(Entry, Id, Why, Sent ? Ran::Unknown : Ran::No, Out);
  }
}

} // namespace jacinthpond
