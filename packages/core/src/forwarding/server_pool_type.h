/** @file server_pool_type.h Back ends as one entry uses them. */

#ifndef JACINTHPOND_CORE_SERVER_POOL_TYPE_H
#define JACINTHPOND_CORE_SERVER_POOL_TYPE_H

#include "admission/first_part_type.h"
#include "admission/server_rate_type.h"
#include "configuration/document_type.h"
#include "wire/message_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jacinthpond {

/** What an agent says of the back end beside it. */
struct AgentNews {
  Address Server; ///< Where that back end takes requests.
  WorkerState State = WorkerState::Empty; ///< How far it is from serving.
  uint32_t Busy = 0;                      ///< Requests that run or wait there.
  Digest Weights;      ///< What it has loaded; empty: nothing whole.
  bool Fresh = false;  ///< The agent answers now.
  LinkId Link;         ///< Link to the agent; 0: none.
  bool Silent = false; ///< Its link ended in silence, it was not closed.
  std::optional<double> PerSecond = {}; ///< Rate limit that it keeps.
};

/** One back end as this entry sees it. */
struct ServerView {
  BackEndServer Listed;              ///< What the document says.
  std::optional<TimePoint> Vanished; ///< Since when it is not listed.
  uint32_t Open = 0;                 ///< Attempts of this entry there.
  uint32_t OtherWork = 0;            ///< Work of other entries, as told last.
  Duration Reading{0};            ///< Prompts to be read there, as of ToldAt.
  TimePoint ToldAt;               ///< When OtherWork was told.
  std::optional<AgentNews> Agent; ///< Last word of its agent.
  TimePoint SilentSince;          ///< When the agent fell silent, if it has.
  Digest Weights;                 ///< What it has loaded, newest word.
  uint32_t Failures = 0;          ///< Attempts in a row that broke.
  TimePoint AvoidUntil;           ///< Left alone until then.
  uint32_t SlowAsks = 0;          ///< Asks in a row without a timely answer.
  TimePoint SlowUntil;            ///< Its agent is asked last until then.
  double ErrorShare = 0;          ///< Answers that were errors, weighed.
  TimePoint LastHeard;            ///< Last byte of any answer of it.
  /** Its host was asked for a sign of life then and has given none since. */
  std::optional<TimePoint> Unanswered;
  ServerRate Rate;        ///< Limit that it sets for itself.
  TimePoint NoPlaceUntil; ///< Its agent gives none, for that limit.
  TimePoint ColdUntil;    ///< Bears little until then.
  ServerRate Cold;        ///< What it bears until then.
};

/** Weights that were wanted before others, and may begin requests for a while.
 */
struct FormerWeights {
  Digest Set;          ///< Which set.
  std::string Version; ///< Its version, as the publisher names it.
  TimePoint Until;     ///< Until when it may begin requests.
};

/** Wanted weights of one model. */
struct WantedWeights {
  Digest Set;          ///< Wanted set.
  std::string Version; ///< Its version, as the publisher names it.
  /** Its document was not published before this; nothing: not known. */
  std::optional<TimePoint> PublishedAfter;
  std::vector<FormerWeights> Formers; ///< Sets wanted before, oldest first.
};

/** Bounds and habits of the choice; from the settings. */
struct PoolOptions {
  HostName Self;                 ///< Name of this entry.
  DomainName Domain;             ///< Failure domain of this entry.
  Millis FormerWeightsFor{5000}; ///< How long a former version may begin.
  Millis LapseGrace{2200};       ///< Wait for servers to be listed again.
};

/** All back ends that routes lead to. */
struct ServerPool {
  PoolOptions Options;                             ///< From the settings.
  DocumentPtr Doc;                                 ///< Document in force.
  std::map<InstanceId, ServerView> Servers;        ///< By run.
  std::map<ModelName, WantedWeights> Wanted;       ///< By model.
  std::map<ServiceName, Duration> UsualTime;       ///< Length of an answer.
  std::map<ServiceName, TimePoint> NextTurn;       ///< Of callers to come back.
  std::map<ServiceName, FirstPartTime> FirstParts; ///< Time to its first part.
  TimePoint ListingDoubtUntil;   ///< Till then a missing server may come back.
  uint32_t Entries = 1;          ///< Entries that share, this one included.
  std::vector<HostName> Sharers; ///< Their names; empty: not known.
  uint64_t Random = 88172645463325252ULL; ///< Breaks ties.
};

/** What a request needs of a back end. */
struct ServerNeeds {
  ServiceName Service;           ///< Which service.
  const Route *From = nullptr;   ///< Its route.
  const Tenant *Owner = nullptr; ///< Its tenant; null: none.
  std::set<InstanceId> Tried;    ///< Not these again.
  std::set<InstanceId> Full;     ///< Said to have no room just now.
  Digest Weights; ///< Only this set, to go on with an answer, as long as it
                  ///< may begin requests; empty: any.
};

/** Why no back end was given. */
enum class PoolRefusal : uint8_t {
  NoneListed, ///< No back end of the service may be used at all.
  AllFull     ///< Those that may be used have no room.
};

/** A back end for one attempt, or why there is none. */
struct ServerChoice {
  const ServerView *Server = nullptr;        ///< Chosen; null: none.
  PoolRefusal Why = PoolRefusal::NoneListed; ///< Meaningful without a server.
  Millis RetryAfter{0};                      ///< When there may be room.
  uint32_t Candidates = 0;                   ///< Back ends that were compared.
  uint32_t Limited = 0;                      ///< Those of them at their rate.
  double PerSecond = 0;                      ///< Requests that these take.
  TimePoint LimitedUntil = TimePoint::max(); ///< When the first of them may be
                                             ///< asked for a place again.
};

/** How an attempt ended, as far as its back end goes. */
enum class AttemptEnd : uint8_t {
  Answered,  ///< A whole answer that is no error.
  Error,     ///< A whole answer that is an error of the back end.
  Refused,   ///< It said that it did not run it.
  Unreached, ///< No connection came about.
  Broken,    ///< It broke off, or sent what cannot be read.
  Dropped,   ///< Given up here; says nothing about the back end.
  NotSent    ///< Its agent gave no place: the back end never heard of it.
};

} // namespace jacinthpond

#endif
