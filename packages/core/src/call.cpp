/** @file call.cpp Calls of an entry host: attempts, frames and ends. */

#include "call_func.h"

#include "departure_func.h"
#include "document_func.h"
#include "entry_addresses_func.h"
#include "hash_func.h"
#include "load_view_func.h"
#include "membership_func.h"
#include "quarantine_func.h"
#include "worker_choice_func.h"

#include <algorithm>
#include <string>

namespace jacinthpond {

namespace {

/** Attempts of one call, the first included. */
constexpr uint32_t MaxTries = 4;

/**
 * Gives the home of an idempotency key. It follows the published list only,
 * so that two entries with different views of liveness never run a key at two
 * workers.
 */
std::vector<Candidate> homeOf(const EntryState &Entry, const WorkClass &Class,
                              const Call &One) {
  std::vector<HostName> Names;
  for (const Worker *Host : workersOf(*Entry.View.InForce, Class))
    Names.push_back(Host->Name);
  if (Names.empty())
    return {};
  const std::string Key = Class.Name.Value + "/" + One.Asked.Tenant.Value +
                          "/" + One.Asked.Key.Value;
  const HostName Home = rendezvousOrder(Key, Names).front();
  std::vector<Candidate> Found = candidatesFor(Entry, Class, One);
  std::erase_if(Found, [&](const Candidate &c) { return c.Name != Home; });
  return Found;
}

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

/** Tries again elsewhere, or ends the call when nothing may be tried. */
void retryOrEnd(EntryState &Entry, Call &One, const Failure &Why, Ran Executed,
                TimePoint Now, Effects &Out) {
  One.Tried.push_back(One.Attempt.Worker);
  dropAttempt(Entry, One);
  const bool Harmless = Executed == Ran::No || repeatable(Entry, One);
  const bool Passing = answerFor(Why.Kind).RetryAfterMillis > 0 ||
                       Why.Kind == ErrorKind::OutcomeUnknown;
  if (Harmless && Passing && One.Tries < MaxTries && Now < One.Deadline) {
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
  m.RemainingMillis =
      static_cast<uint64_t>(toMillis(One.Deadline - Now).count());
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
  const bool Keyed = !Class->Repeatable;
  const std::vector<Candidate> Choice =
      Keyed ? homeOf(Entry, *Class, One) : candidatesFor(Entry, *Class, One);
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
  dropAttempt(Entry, it->second);
  ++Entry.Counters.Errors[Why.Kind];
  CallError Error{Id, Why, Executed, {}};
  // These say nothing of the work but that this entry is the wrong one.
  if (Why.Kind == ErrorKind::Leaving || Why.Kind == ErrorKind::StaleView)
    Error.Elsewhere = addressesFor(Entry, it->second.Asked.Caller);
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
  if (!Entry.Suspects.Suspects.empty())
    clearSuspect(
        Entry.Suspects,
        fingerprintOf(One->Asked.Tenant, One->Asked.Class, One->Asked.Body));
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
  const Failure Why{m.Kind, m.Detail,
                    Millis(static_cast<int64_t>(m.RetryAfterMillis))};
  retryOrEnd(Entry, *One, Why, m.Executed, Now, Out);
}

void attemptsLost(EntryState &Entry, LinkId Link, TimePoint Now, Effects &Out) {
  std::vector<CallId> Lost;
  for (const auto &[Id, One] : Entry.Calls)
    if (One.Attempt.Link == Link && !One.Attempt.Id.Value.empty())
      Lost.push_back(Id);
  for (const CallId Id : Lost) {
    Call &One = Entry.Calls.at(Id);
    if (One.NextFrame > 0)
      ++Entry.Counters.Resumes;
    retryOrEnd(Entry, One, {ErrorKind::OutcomeUnknown, "link lost", {}},
               Ran::Unknown, Now, Out);
  }
}

void endLateCalls(EntryState &Entry, TimePoint Now, Effects &Out) {
  std::vector<CallId> Late;
  for (const auto &[Id, One] : Entry.Calls)
    if (Now >= One.Deadline)
      Late.push_back(Id);
  for (const CallId Id : Late) {
    const Call &One = Entry.Calls.at(Id);
    const bool Sent = !One.Attempt.Id.Value.empty();
    if (Sent)
      Out.push_back(
          SendMessage{One.Attempt.Link, AttemptCancel{One.Attempt.Id}});
    const Failure Why{Sent ? ErrorKind::OutcomeUnknown : ErrorKind::Deadline,
                      "deadline passed",
                      {}};
    endCallWithError(Entry, Id, Why, Sent ? Ran::Unknown : Ran::No, Out);
  }
}

} // namespace jacinthpond
