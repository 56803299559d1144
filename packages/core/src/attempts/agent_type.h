/** @file agent_type.h State of the agent beside one back end. */

#ifndef JACINTHPOND_CORE_AGENT_TYPE_H
#define JACINTHPOND_CORE_AGENT_TYPE_H

#include "admission/admission_type.h"
#include "admission/first_part_type.h"
#include "admission/quarantine_type.h"
#include "admission/reading_type.h"
#include "admission/server_backoff_type.h"
#include "admission/server_rate_type.h"
#include "attempts/ended_attempts_type.h"
#include "attempts/idempotency_type.h"
#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"
#include "settings/settings_type.h"
#include "weights/rollout_type.h"
#include "weights/transfer_type.h"
#include "weights/weights_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

/** One attempt at this agent: queued or running. */
struct Attempt {
  AttemptStart StartMessage; ///< Request from the entry.
  LinkId Link;               ///< Link of the entry that gets the answer.
  TimePoint ArrivedAt;       ///< When the request arrived.
  TimePoint Deadline;        ///< After this the answer is of no use.
  TimePoint StartedAt;       ///< When it was sent to the back end.
  TimePoint LastTokenAt;     ///< When its latest token arrived; zero: none yet.
  KnownAttemptState State = KnownAttemptState::Waiting; ///< Waiting or running.
  Digest Weights; ///< Weights that produce the answer; empty: none.
  bool AttemptStartedSent =
      false; ///< The entry was told that the back end has it.
  std::vector<std::string>
      Frames; ///< Frames so far, from StartMessage.ResumeFrom.
  std::optional<TimePoint> LinkLostAt; ///< When the entry's link was lost.
  bool Cancelled = false;              ///< No caller waits for it.
  bool RanAlone = false;               ///< Nothing else ran beside it.
  std::optional<Failure> BreakFailure; ///< Set while it is undecided whether
                                       ///< the back end died with this run.
  uint32_t ReportsSinceBreak = 0; ///< Back end reports read since it broke off.
  std::string
      ReportedDeath; ///< Id of the death reported to peers; empty: none.
};

/**
 * A slot: permission for one request that an entry itself sends to the back
 * end. It counts against the concurrency limit while it is held.
 */
struct Slot {
  LinkId Link;                ///< Link of the entry that asked.
  SlotRequest RequestMessage; ///< The entry's request for this slot.
  TimePoint RequestedAt;      ///< When it was requested.
  TimePoint GrantedAt;  ///< When it was granted; until then, when requested.
  TimePoint WaitUntil;  ///< Time limit for granting it.
  bool Granted = false; ///< The request may be at the back end.
  Duration PrefillAtGrant{0}; ///< Time to read all prompts, at the grant.
  std::optional<TimePoint> LinkLostAt; ///< When the entry's link was lost.
};

/** Counters of an agent, shown in metrics and status. */
struct AgentCounters {
  uint64_t Started = 0;    ///< Attempts sent to the back end and slots granted.
  uint64_t Completed = 0;  ///< Those answered completely.
  uint64_t KeyRepeats = 0; ///< Repeats answered from a key's record.
  uint64_t Pauses = 0;     ///< Pauses that the back end asked for.
  uint64_t RepeatedStarts = 0; ///< AttemptStart messages for a known attempt.
  std::map<ErrorKind, uint64_t> Refused; ///< Refused or failed ones.
};

/** All state of an agent, owned by its control thread. */
struct AgentState {
  Settings Config;          ///< Settings of this process.
  ConfigView View;          ///< Published configuration.
  Membership Fleet;         ///< Links to entries and agents.
  PrefillQueue Prefill;     ///< Prompts sent to the back end and not read yet.
  FirstPartTime FirstPart;  ///< Observed time to the first part of an answer.
  Admission Gate;           ///< Concurrency limit, running and queued work.
  ServerRate Rate;          ///< Rate limit that the back end itself announces.
  ServerBackoff Backoff;    ///< Pause that the back end asked this host for.
  std::string PausedRun;    ///< Run of the back end that asked for it.
  std::string LeavingRun;   ///< Run of the back end that said that it is
                            ///< leaving; empty: none did.
  ServerRate ColdStartRate; ///< Rate limit during a cold start.
  TimePoint ColdUntil;      ///< End of the cold start.
  BackEndServer ListedServer;   ///< Row of this back end in the document.
  bool RateInReports = false;   ///< The back end's reports name its rate limit.
  TimePoint LastReportAt;       ///< When its latest report arrived.
  WeightsState Weights;         ///< Weights wanted and loaded.
  TransferState Transfer;       ///< Exchange of chunks with peers and origin.
  RolloutState Rollout;         ///< Turn of this agent to load new weights.
  bool BackEndUp = false;       ///< The back end answers.
  uint64_t WithdrawnDeaths = 0; ///< Suspected deaths that proved wrong.
  std::string ServiceRun;       ///< Incarnation of the plain service.
  std::string BackEndRun;       ///< Last known incarnation of the engine.
  Quarantine Suspects;          ///< Requests that ran when a back end died.
  std::map<AttemptId, Attempt> Attempts; ///< Queued and running attempts.
  std::map<AttemptId, Slot> SlotsById;   ///< Requested and granted slots.
  std::deque<AttemptId> SpareQueue;      ///< Slots for late requests, in order.
  TimePoint LastSpareCapacityAt;         ///< When spare capacity was last seen.
  EndedAttempts Ended;                   ///< Attempts that ended recently.
  KeyStore Keys;                         ///< Records of non-repeatable calls.
  ModelVersion PendingVersion; ///< Version whose chunk list is missing; may be
                               ///< empty.
  std::optional<ChunkList> UnconfirmedList; ///< Chunk list as first read.
  ChunkListNotice LastListNotice; ///< Latest list from a peer; may be empty.
  TimePoint NextListReadAt;     ///< Earliest time of the next read of the list.
  bool ListReadPending = false; ///< A read of the list is in progress.
  uint32_t InvalidLists = 0;    ///< Reads of it that were invalid or differed.
  uint32_t AnnouncedWork = 0;   ///< Work in the last heartbeat that was sent
                                ///< ahead of its period.
  bool Stopping = false;        ///< No new work is accepted.
  AgentCounters Counters;       ///< Event counts since the start.
};

} // namespace jacinthpond

#endif
