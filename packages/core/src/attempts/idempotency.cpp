/** @file idempotency.cpp Makes a home run each keyed call at most once. */

#include "attempts/idempotency_func.h"

#include "configuration/document_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** Epochs whose records are kept, including the current one. */
constexpr uint64_t KeptEpochs = 2;
/**
 * How long the previous home of a key may still run it: the time until a new
 * document is in force at every process, or a process that is cut off refuses
 * work.
 */
constexpr Millis MaxConfigDelay{10000};

/** Removes the record of a key, if there is one. */
void eraseRecord(KeyStore &Store, const KeyName &Key) {
  const auto it = Store.Records.find(Key);
  if (it == Store.Records.end())
    return;
  Store.ByExpiry.erase({it->second.ExpiresAt, Key});
  Store.WithAnswer.erase({it->second.ExpiresAt, Key});
  if (it->second.Answer)
    Store.AnswerBytes -= it->second.Answer->Body.size();
  Store.Records.erase(it);
}

/** Changes the time at which a record expires. */
void setExpiry(KeyStore &Store, const KeyName &Key, KeyRecord &Record,
               TimePoint When) {
  Store.ByExpiry.erase({Record.ExpiresAt, Key});
  Record.ExpiresAt = When;
  Store.ByExpiry.insert({When, Key});
}

/**
 * When a record made now under a token expires: later than any token that this
 * home accepts now.
 */
TimePoint tokenExpiry(const KeyStore &Store) {
  return Store.EpochStart + (KeptEpochs + 1) * KeyEpochLength;
}

/** Decides about a key without a record by its token. */
KeyDecision decideByToken(const KeyStore &Store, const HostName &Self,
                          const KeyedRequest &Request) {
  const auto Read = outcomeOf([&] { return readToken(Request.Token); });
  if (!Read.Value)
    return {KeyChoice::Unknown, Millis{0}, "unreadable token"};
  const TokenHome &Home = homeFromToken(*Read.Value, Request.Key);
  if (Home.Name != Self)
    return {KeyChoice::Unknown, Millis{0}, "another home by token"};
  // The records that the token refers to are gone, so nobody knows whether the
  // key ran. No other process may run it with this token either.
  if (!Store.KnownIncarnations.contains(Home.Run) ||
      Home.Epoch + KeptEpochs <= Store.Epoch)
    return {KeyChoice::Unknown, Millis{0}, "the home of the token is gone"};
  return {KeyChoice::Run, Millis{0}, ""};
}

/**
 * Decides about a key without a record or token by the current and past
 * documents. It may have run before this process started, or at its home by an
 * earlier document, so this home waits until callers have stopped repeating
 * calls from that time.
 */
KeyDecision decideByDocuments(const KeyStore &Store, const Document &Doc,
                              const HostName &Self, const KeyedRequest &Request,
                              TimePoint Now) {
  const Millis Horizon = keyRetryHorizon(Doc, Request.Key);
  if (homeFromDocument(Doc, Request.Key) != Self)
    return {KeyChoice::Warming, Millis{0}, "another home by list"};
  TimePoint CertainSince = Store.Started;
  for (const PastDocument &Past : Store.PastDocuments)
    if (homeFromDocument(*Past.Doc, Request.Key) != Self)
      CertainSince = std::max(CertainSince, Past.Until + MaxConfigDelay);
  if (Now < CertainSince + Horizon)
    return {KeyChoice::Warming, toMillis(CertainSince + Horizon - Now),
            "new to this home"};
  return {KeyChoice::Run, Millis{0}, ""};
}

/**
 * Decides about a key that was refused before; nothing when it comes with
 * another token.
 */
std::optional<KeyDecision> decideRefusedKey(const KeyRecord &Record,
                                            const KeyedRequest &Request,
                                            TimePoint Now) {
  if (Record.Token != Request.Token)
    return std::nullopt;
  // The caller was told "not run" and may have run it elsewhere since.
  if (!Request.Token.empty())
    return KeyDecision{KeyChoice::Refuse, Millis{0}, "refused before"};
  return KeyDecision{KeyChoice::Refuse,
                     std::max(Millis{1}, toMillis(Record.ExpiresAt - Now)),
                     "refused a moment ago"};
}

/** Decides about a key by its record; nothing when it counts as a new key. */
std::optional<KeyDecision> decideByRecord(const KeyRecord &Record,
                                          const KeyedRequest &Request,
                                          TimePoint Now) {
  if (Record.State == KeyState::Refused)
    return decideRefusedKey(Record, Request, Now);
  if (Record.Body != Request.Body)
    return KeyDecision{KeyChoice::Conflict, Millis{0}, ""};
  if (Record.State == KeyState::Done)
    return KeyDecision{KeyChoice::Answer, Millis{0}, ""};
  return KeyDecision{KeyChoice::Follow, Millis{0}, ""};
}

} // namespace

KeyStore makeKeyStore(TimePoint Now) {
  KeyStore Store;
  Store.Started = Now;
  Store.EpochStart = Now;
  return Store;
}

Millis keyRetryHorizon(const Document &Doc, const KeyName &Key) {
  const WorkClass *Class = findClass(Doc, std::get<ClassName>(Key));
  return Doc.RetryHorizon + (Class == nullptr ? Millis{0} : Class->Deadline);
}

KeyDecision decideKeyedCall(const KeyStore &Store, const Document &Doc,
                            const HostName &Self, const KeyedRequest &Request,
                            TimePoint Now) {
  const auto it = Store.Records.find(Request.Key);
  if (it != Store.Records.end())
    if (const auto Verdict = decideByRecord(it->second, Request, Now))
      return *Verdict;
  KeyDecision Verdict = Request.Token.empty()
                            ? decideByDocuments(Store, Doc, Self, Request, Now)
                            : decideByToken(Store, Self, Request);
  if (Verdict.Choice == KeyChoice::Run && Store.Records.size() >= MaxKeyRecords)
    Verdict = {KeyChoice::Warming, RefusedKeyHold, "too many keys"};
  return Verdict;
}

KeyRecord &addKeyRecord(KeyStore &Store, const Document &Doc,
                        const KeyedRequest &Request, const AttemptId &First,
                        TimePoint Now) {
  eraseRecord(Store, Request.Key);
  KeyRecord &Record = Store.Records[Request.Key];
  Record.Body = Request.Body;
  Record.Token = Request.Token;
  Record.FirstAttempt = First;
  // A repeat may begin at the end of the horizon and take until its deadline.
  const TimePoint End = Request.Token.empty()
                            ? Now + 2 * keyRetryHorizon(Doc, Request.Key)
                            : tokenExpiry(Store);
  setExpiry(Store, Request.Key, Record, End);
  return Record;
}

std::vector<AttemptId> completeKey(KeyStore &Store, const KeyName &Key,
                                   const std::optional<ServiceAnswer> &Answer) {
  const auto it = Store.Records.find(Key);
  if (it == Store.Records.end())
    return {};
  KeyRecord &Record = it->second;
  Record.State = KeyState::Done;
  Record.Answer = Answer;
  if (Answer) {
    Store.AnswerBytes += Answer->Body.size();
    Store.WithAnswer.insert({Record.ExpiresAt, Key});
  }
  std::vector<AttemptId> Waiters = std::move(Record.RepeatAttempts);
  Record.RepeatAttempts.clear();
  while (Store.AnswerBytes > MaxAnswerBytes) {
    const auto Oldest = Store.WithAnswer.begin();
    KeyRecord &Evicted = Store.Records.at(Oldest->second);
    Store.AnswerBytes -= Evicted.Answer->Body.size();
    Evicted.Answer.reset();
    Store.WithAnswer.erase(Oldest);
  }
  return Waiters;
}

std::vector<AttemptId> refuseKey(KeyStore &Store, const KeyName &Key,
                                 TimePoint Now) {
  const auto it = Store.Records.find(Key);
  if (it == Store.Records.end())
    return {};
  KeyRecord &Record = it->second;
  Record.State = KeyState::Refused;
  if (Record.Token.empty())
    setExpiry(Store, Key, Record, Now + RefusedKeyHold);
  std::vector<AttemptId> Waiters = std::move(Record.RepeatAttempts);
  Record.RepeatAttempts.clear();
  return Waiters;
}

void recordPastDocument(KeyStore &Store, const DocumentPtr &Before,
                        TimePoint Now) {
  if (!Before) {
    // No document was in force, so nothing has run here yet.
    Store.Started = Now;
    return;
  }
  // Without keyed classes no home can have run a key. Keeping such documents
  // would waste memory in a fleet whose servers change every second.
  const bool HasKeys = std::ranges::any_of(
      Before->Classes, [](const WorkClass &One) { return !One.Repeatable; });
  if (!HasKeys && Store.PastDocuments.empty())
    return;
  Store.PastDocuments.push_back({Before, Now});
  if (Store.PastDocuments.size() <= MaxPastDocuments)
    return;
  Store.Started = std::max(Store.Started, Store.PastDocuments.front().Until);
  Store.PastDocuments.pop_front();
}

void expireKeys(KeyStore &Store, Incarnation Run, TimePoint Now) {
  Store.KnownIncarnations.insert(Run);
  if (Store.KnownIncarnations.size() > MaxIncarnations)
    Store.KnownIncarnations.erase(
        *Store.KnownIncarnations.begin() == Run
            ? std::next(Store.KnownIncarnations.begin())
            : Store.KnownIncarnations.begin());
  // Records expire at their time even if the process was paused for epochs, so
  // the tokens of the missed epochs must become invalid too.
  const auto PassedEpochs = (Now - Store.EpochStart) / Duration(KeyEpochLength);
  Store.Epoch += static_cast<uint64_t>(PassedEpochs);
  Store.EpochStart += PassedEpochs * Duration(KeyEpochLength);
  const auto IsOpen = [&](const KeyName &Key) {
    const KeyState State = Store.Records.at(Key).State;
    return State == KeyState::Waiting || State == KeyState::Running;
  };
  auto it = Store.ByExpiry.begin();
  while (it != Store.ByExpiry.end() && it->first <= Now) {
    const KeyName Key = it->second;
    ++it;
    if (!IsOpen(Key))
      eraseRecord(Store, Key);
  }
  while (!Store.PastDocuments.empty() &&
         Now - Store.PastDocuments.front().Until > 2 * KeyEpochLength)
    Store.PastDocuments.pop_front();
}

} // namespace jacinthpond
