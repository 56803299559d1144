/** @file idempotency.cpp Decisions of a home about non-repeatable calls. */

#include "attempts/idempotency_func.h"

#include "configuration/document_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** Epochs whose records are still here, the present one included. */
constexpr uint64_t EpochsKept = 2;
/**
 * How long the old home of a moved key may still run it: the time in which a
 * configuration is in force everywhere, or a process cut off refuses work.
 */
constexpr Millis ConfigLag{10000};

void forgetKey(KeyBook &Book, const KeyName &Key) {
  const auto it = Book.Records.find(Key);
  if (it == Book.Records.end())
    return;
  Book.ByExpiry.erase({it->second.Forget, Key});
  Book.WithAnswer.erase({it->second.Forget, Key});
  if (it->second.Answer)
    Book.AnswerBytes -= it->second.Answer->Body.size();
  Book.Records.erase(it);
}

void setForget(KeyBook &Book, const KeyName &Key, KeyRecord &Record,
               TimePoint When) {
  Book.ByExpiry.erase({Record.Forget, Key});
  Record.Forget = When;
  Book.ByExpiry.insert({When, Key});
}

/** When everything that this home was told under a token may be forgotten. */
TimePoint endOfToken(const KeyBook &Book) {
  return Book.EpochSince + (EpochsKept + 1) * KeyEpochLength;
}

/** Judges a key that this home has no record of, by its token. */
KeyVerdict judgeByToken(const KeyBook &Book, const HostName &Self,
                        const KeyAsked &Asked) {
  const auto Read = outcomeOf([&] { return readToken(Asked.Token); });
  if (!Read.Value)
    return {KeyChoice::Unknown, Millis{0}, "unreadable token"};
  const TokenHome &Home = homeInToken(*Read.Value, Asked.Key);
  if (Home.Name != Self)
    return {KeyChoice::Unknown, Millis{0}, "another home by token"};
  // The memory that the token names is gone, and with it the knowledge whether
  // the key ran. No other process may run it either: its one runner is dead.
  if (!Book.Runs.contains(Home.Run) || Home.Epoch + EpochsKept <= Book.Epoch)
    return {KeyChoice::Unknown, Millis{0}, "the home of the token is gone"};
  return {KeyChoice::Run, Millis{0}, ""};
}

/**
 * Judges a key that this home has no record of, by the published lists. It may
 * have run at an earlier incarnation or at the home by an earlier list, so this
 * home waits until every caller has stopped repeating what it began then.
 */
KeyVerdict judgeByList(const KeyBook &Book, const Document &Doc,
                       const HostName &Self, const KeyAsked &Asked,
                       TimePoint Now) {
  const Millis Horizon = horizonOf(Doc, Asked.Key);
  if (homeByList(Doc, Asked.Key) != Self)
    return {KeyChoice::Warming, Millis{0}, "another home by list"};
  TimePoint Since = Book.Started;
  for (const PastList &Past : Book.Lists)
    if (homeByList(*Past.Doc, Asked.Key) != Self)
      Since = std::max(Since, Past.Until + ConfigLag);
  if (Now < Since + Horizon)
    return {KeyChoice::Warming, toMillis(Since + Horizon - Now),
            "new to this home"};
  return {KeyChoice::Run, Millis{0}, ""};
}

/** Judges a key that did not run when it came before. */
std::optional<KeyVerdict> judgeRefused(const KeyRecord &Record,
                                       const KeyAsked &Asked, TimePoint Now) {
  if (Record.Token != Asked.Token)
    return std::nullopt;
  // The caller was told "not run" and may have run it elsewhere since.
  if (!Asked.Token.empty())
    return KeyVerdict{KeyChoice::Refuse, Millis{0}, "refused before"};
  return KeyVerdict{KeyChoice::Refuse,
                    std::max(Millis{1}, toMillis(Record.Forget - Now)),
                    "refused a moment ago"};
}

/** Judges a key by its record; nothing when it may be judged as a new one. */
std::optional<KeyVerdict> judgeRecord(const KeyRecord &Record,
                                      const KeyAsked &Asked, TimePoint Now) {
  if (Record.State == KeyState::Refused)
    return judgeRefused(Record, Asked, Now);
  if (Record.Body != Asked.Body)
    return KeyVerdict{KeyChoice::Conflict, Millis{0}, ""};
  if (Record.State == KeyState::Done)
    return KeyVerdict{KeyChoice::Answer, Millis{0}, ""};
  return KeyVerdict{KeyChoice::Follow, Millis{0}, ""};
}

} // namespace

KeyBook makeKeyBook(TimePoint Now) {
  KeyBook Book;
  Book.Started = Now;
  Book.EpochSince = Now;
  return Book;
}

Millis horizonOf(const Document &Doc, const KeyName &Key) {
  const WorkClass *Class = findClass(Doc, std::get<ClassName>(Key));
  return Doc.RetryHorizon + (Class == nullptr ? Millis{0} : Class->Deadline);
}

KeyVerdict judgeKey(const KeyBook &Book, const Document &Doc,
                    const HostName &Self, const KeyAsked &Asked,
                    TimePoint Now) {
  const auto it = Book.Records.find(Asked.Key);
  if (it != Book.Records.end())
    if (const auto Verdict = judgeRecord(it->second, Asked, Now))
      return *Verdict;
  KeyVerdict Verdict = Asked.Token.empty()
                           ? judgeByList(Book, Doc, Self, Asked, Now)
                           : judgeByToken(Book, Self, Asked);
  if (Verdict.Choice == KeyChoice::Run && Book.Records.size() >= MaxKeyRecords)
    Verdict = {KeyChoice::Warming, RefusedHold, "too many keys"};
  return Verdict;
}

KeyRecord &openKey(KeyBook &Book, const Document &Doc, const KeyAsked &Asked,
                   const AttemptId &First, TimePoint Now) {
  forgetKey(Book, Asked.Key);
  KeyRecord &Record = Book.Records[Asked.Key];
  Record.Body = Asked.Body;
  Record.Token = Asked.Token;
  Record.First = First;
  // A repeat may begin at the end of the horizon and last one deadline.
  const TimePoint End = Asked.Token.empty()
                            ? Now + 2 * horizonOf(Doc, Asked.Key)
                            : endOfToken(Book);
  setForget(Book, Asked.Key, Record, End);
  return Record;
}

std::vector<AttemptId> closeKey(KeyBook &Book, const KeyName &Key,
                                const std::optional<ServiceAnswer> &Answer) {
  const auto it = Book.Records.find(Key);
  if (it == Book.Records.end())
    return {};
  KeyRecord &Record = it->second;
  Record.State = KeyState::Done;
  Record.Answer = Answer;
  if (Answer) {
    Book.AnswerBytes += Answer->Body.size();
    Book.WithAnswer.insert({Record.Forget, Key});
  }
  std::vector<AttemptId> Told = std::move(Record.Followers);
  Record.Followers.clear();
  while (Book.AnswerBytes > MaxAnswerBytes) {
    const auto Oldest = Book.WithAnswer.begin();
    KeyRecord &Loses = Book.Records.at(Oldest->second);
    Book.AnswerBytes -= Loses.Answer->Body.size();
    Loses.Answer.reset();
    Book.WithAnswer.erase(Oldest);
  }
  return Told;
}

std::vector<AttemptId> refuseKey(KeyBook &Book, const KeyName &Key,
                                 TimePoint Now) {
  const auto it = Book.Records.find(Key);
  if (it == Book.Records.end())
    return {};
  KeyRecord &Record = it->second;
  Record.State = KeyState::Refused;
  if (Record.Token.empty())
    setForget(Book, Key, Record, Now + RefusedHold);
  std::vector<AttemptId> Told = std::move(Record.Followers);
  Record.Followers.clear();
  return Told;
}

void keepPastList(KeyBook &Book, const DocumentPtr &Before, TimePoint Now) {
  if (!Before) {
    // Nothing was in force, so nothing was run here yet.
    Book.Started = Now;
    return;
  }
  // While no class has keys no home could have run one; a fleet whose servers
  // come and go every second would keep dozens of documents for nothing.
  const bool HasKeys = std::ranges::any_of(
      Before->Classes, [](const WorkClass &One) { return !One.Repeatable; });
  if (!HasKeys && Book.Lists.empty())
    return;
  Book.Lists.push_back({Before, Now});
  if (Book.Lists.size() <= MaxPastLists)
    return;
  Book.Started = std::max(Book.Started, Book.Lists.front().Until);
  Book.Lists.pop_front();
}

void expireKeys(KeyBook &Book, Incarnation Run, TimePoint Now) {
  Book.Runs.insert(Run);
  if (Book.Runs.size() > MaxRuns)
    Book.Runs.erase(*Book.Runs.begin() == Run ? std::next(Book.Runs.begin())
                                              : Book.Runs.begin());
  // A process that slept through epochs forgets what was due in each of them,
  // so their tokens must end with them.
  const auto Passed = (Now - Book.EpochSince) / Duration(KeyEpochLength);
  Book.Epoch += static_cast<uint64_t>(Passed);
  Book.EpochSince += Passed * Duration(KeyEpochLength);
  const auto StillOpen = [&](const KeyName &Key) {
    const KeyState State = Book.Records.at(Key).State;
    return State == KeyState::Waiting || State == KeyState::Running;
  };
  auto it = Book.ByExpiry.begin();
  while (it != Book.ByExpiry.end() && it->first <= Now) {
    const KeyName Key = it->second;
    ++it;
    if (!StillOpen(Key))
      forgetKey(Book, Key);
  }
  while (!Book.Lists.empty() &&
         Now - Book.Lists.front().Until > 2 * KeyEpochLength)
    Book.Lists.pop_front();
}

} // namespace jacinthpond
