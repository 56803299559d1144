/** @file server_pool_type.h Back ends as seen by one entry. */

#ifndef JACINTHPOND_CORE_SERVER_POOL_TYPE_H
#define JACINTHPOND_CORE_SERVER_POOL_TYPE_H

#include "admission/first_part_type.h"
#include "admission/server_rate_type.h"
#include "configuration/document_type.h"
#include "forwarding/server_notice_type.h"
#include "wire/message_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jacinthpond {

/** State of a back end as its agent reports it. */
struct AgentReport {
  Address Server; ///< Where the back end accepts requests.
  WorkerState State = WorkerState::Empty; ///< Whether it can serve.
  uint32_t Busy = 0;                      ///< Requests that run or wait there.
  Digest Weights;      ///< Weights it has loaded; empty: no complete set.
  bool Fresh = false;  ///< The agent responds at present.
  LinkId Link;         ///< Link to the agent; 0: none.
  bool Silent = false; ///< Its link timed out instead of being closed.
  std::optional<double> PerSecond = {}; ///< Rate limit it enforces, per second.
};

/** State that this entry keeps of one back end. */
struct ServerView {
  BackEndServer Listed;                   ///< Its row in the document.
  std::optional<TimePoint> UnlistedSince; ///< When it left the list, if it has.
  TimePoint ListedSince;      ///< When this entry first heard of it.
  uint32_t Open = 0;          ///< Open attempts of this entry there.
  uint32_t OtherRequests = 0; ///< Requests of other entries, as last reported.
  Duration PrefillBacklog{0}; ///< Prefill time queued there, as last reported.
  TimePoint LoadReportedAt;   ///< When its load was last reported.
  std::optional<AgentReport> Agent; ///< Last report of its agent.
  TimePoint SilentSince;            ///< When the agent last stopped responding.
  Digest Weights;             ///< Weights it has loaded, as last reported.
  uint32_t Failures = 0;      ///< Consecutive failed attempts.
  TimePoint AvoidUntil;       ///< It gets no request before this time.
  uint32_t MissedReplies = 0; ///< Consecutive slot requests without a reply.
  TimePoint RankLastUntil;    ///< Ranked behind all others until this time.
  double ErrorShare = 0;      ///< Moving average of its share of errors.
  TimePoint LastByteAt;       ///< When the last byte of any answer arrived.
  /** When the liveness probe that its host has not answered yet was sent. */
  std::optional<TimePoint> ProbePendingSince;
  ServerNotices Notices; ///< What its run announced here.
  ServerRate Rate;       ///< Rate limit that it sets for itself.
  TimePoint NoSlotUntil; ///< Its agent grants no slot until then: rate limit.
  TimePoint ColdUntil;   ///< End of its cold start, with a reduced rate.
  ServerRate ColdLimit;  ///< Rate that it can take during its cold start.
};

/** Weights of a model that were replaced; requests may start on them until a
 * deadline. */
struct ReplacedWeights {
  Digest Set;          ///< Digest of the set.
  std::string Version; ///< Its version, as the publisher names it.
  TimePoint Until;     ///< No request may start on them from this time on.
};

/** Weights that the workers of one model should load. */
struct WantedWeights {
  Digest Set;          ///< Digest of the wanted set.
  std::string Version; ///< Its version, as the publisher names it.
  /** Earliest time at which its document can have been published; nothing:
   * unknown. */
  std::optional<TimePoint> PublishedAfter;
  std::vector<ReplacedWeights> ReplacedSets; ///< Replaced sets, oldest first.
};

/** Options of a server pool; from the settings. */
struct PoolOptions {
  HostName Self;                    ///< Name of this entry.
  DomainName Domain;                ///< Failure domain of this entry.
  Millis ReplacedWeightsTime{5000}; ///< Time for requests to start on replaced
                                    ///< weights.
  Millis LapseGrace{2200}; ///< Time for servers to register again after an
                           ///< outage of the list.
};

/** All back ends that routes lead to, and what one entry has learned of them.
 */
struct ServerPool {
  PoolOptions Options;                      ///< From the settings.
  DocumentPtr Doc;                          ///< Document in force.
  std::map<InstanceId, ServerView> Servers; ///< By instance.
  /** Notices of servers that have left Servers: their rows may come back. */
  std::map<InstanceId, ServerNotices> FormerNotices;
  std::map<ModelName, WantedWeights> Wanted; ///< By model.
  /** When an unknown instance at an address last said that it is leaving. */
  std::map<Address, TimePoint> LeavingAt;
  std::map<ServiceName, Duration> UsualAnswerTime; ///< Mean time of an answer.
  std::map<ServiceName, TimePoint> LastRetryTime;  ///< Last retry time given
                                                   ///< at the rate limit.
  std::map<ServiceName, FirstPartTime> FirstPartTimes; ///< Time to first part.
  TimePoint KeepUnlistedUntil; ///< Unlisted servers are used until then.
  uint32_t Entries = 1; ///< Entries that use the back ends, with this one.
  std::vector<HostName> Sharers; ///< Names of those entries; empty: unknown.
  uint64_t Random = 88172645463325252ULL; ///< State of the random generator.
};

/** What a request needs of a back end. */
struct ServerNeeds {
  ServiceName Service;                 ///< Service that it is for.
  const Route *MatchedRoute = nullptr; ///< Route that it matched.
  const Workspace *Owner =
      nullptr;                ///< Workspace that it belongs to; null: none.
  std::set<InstanceId> Tried; ///< Back ends that were already tried.
  std::set<InstanceId> Full;  ///< Back ends that just reported no free slot.
  Digest Weights; ///< The only set that can resume the answer, as long as
                  ///< requests may start on it; empty: any.
  /** Fingerprint of a request that may have crashed back ends; empty: no such
   * request. It goes to the same back end from all entries, apart from others.
   */
  Digest Suspect;
};

/** Why no back end was chosen. */
enum class PoolRefusal : uint8_t {
  NoneListed, ///< No back end of the service is usable.
  AllFull,    ///< All usable back ends are at their capacity.
  AllPaused   ///< All usable back ends have asked for a pause.
};

/** Result of choosing a back end for one attempt. */
struct ServerChoice {
  const ServerView *Server = nullptr;        ///< Chosen back end; null: none.
  PoolRefusal Why = PoolRefusal::NoneListed; ///< Meaningful without a server.
  Millis RetryAfter{0};                      ///< Time until there may be room.
  uint32_t Candidates = 0; ///< Usable back ends that were compared.
  uint32_t Limited = 0;    ///< Candidates at their rate limit.
  double PerSecond = 0;    ///< Sum of the rate limits of these.
  TimePoint LimitedUntil = TimePoint::max(); ///< When the first of them may
                                             ///< grant a slot again.
  uint32_t Paused = 0; ///< Back ends that would be usable but for a pause.
  TimePoint PausedUntil = TimePoint::max(); ///< When the first pause ends.
};

/** How an attempt ended at its back end. */
enum class AttemptEnd : uint8_t {
  Answered,  ///< A complete answer that is not an error.
  Error,     ///< A complete answer that is an error of the back end.
  Refused,   ///< The back end reported that it did not run the request.
  Unreached, ///< The connection could not be established.
  Broken,    ///< The answer was cut off or malformed.
  Dropped,   ///< Cancelled by this entry; says nothing about the back end.
  NotSent    ///< The agent granted no slot; the back end got nothing.
};

} // namespace jacinthpond

#endif
