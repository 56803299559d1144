/** @file agent_type.h State of the agent beside one back end. */

#ifndef JACINTHPOND_CORE_AGENT_TYPE_H
#define JACINTHPOND_CORE_AGENT_TYPE_H

#include "admission/admission_type.h"
#include "admission/first_part_type.h"
#include "admission/quarantine_type.h"
#include "admission/reading_type.h"
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

/** One attempt as the agent knows it. */
struct Attempt {
  AttemptStart Asked;                         ///< What was asked.
  LinkId Link;                                ///< Who asked.
  TimePoint Arrived;                          ///< When it came.
  TimePoint Deadline;                         ///< When its answer is useless.
  TimePoint Began;                            ///< When the back end got it.
  TimePoint LastToken;                        ///< When its last token came.
  AttemptKnown State = AttemptKnown::Waiting; ///< How far it has come.
  Digest Weights;                             ///< Weights that began it.
  bool Begun = false;                ///< The back end said that it began.
  std::vector<std::string> Frames;   ///< Frames so far, from Asked.ResumeFrom.
  std::optional<TimePoint> LinkLost; ///< Since when nobody can be answered.
  bool Cancelled = false;            ///< Nobody waits for it.
  bool RanAlone = false;             ///< Nothing else ran beside it.
  std::optional<Failure> Broke;      ///< It broke off; being judged.
  uint32_t ReadsSinceBroke = 0;      ///< States of the back end read since.
  std::string BreakId;               ///< Death told to peers; empty: none.
};

/** A place at the back end for a request that an entry sends there itself. */
struct Place {
  LinkId Link;         ///< Who asked.
  PlaceAsk Ask;        ///< What was asked.
  TimePoint Asked;     ///< When it was asked for.
  TimePoint Since;     ///< When it was asked for, then when it was given.
  TimePoint WaitUntil; ///< After that it is of no use.
  bool Given = false;  ///< The request may be at the back end.
  Duration Reading{0}; ///< Prompts to be read when it was given.
  std::optional<TimePoint> LinkLost; ///< Since when nobody can speak of it.
};

/** Counters of an agent; read by metrics and status. */
struct AgentCounters {
  uint64_t Started = 0;        ///< Attempts given to the back end.
  uint64_t Completed = 0;      ///< Attempts answered whole.
  uint64_t KeyRepeats = 0;     ///< Repeats answered from a key's record.
  uint64_t RepeatedStarts = 0; ///< Starts of attempts known already.
  std::map<ErrorKind, uint64_t> Refused; ///< Attempts refused, by kind.
};

/** All state of an agent, owned by its control thread. */
struct AgentState {
  Settings Config;                       ///< Settings of this process.
  ConfigView View;                       ///< Published configuration.
  Membership Fleet;                      ///< Links to entries and agents.
  ReadingDebt Reading;                   ///< Prompts given, not read yet.
  FirstPartTime FirstPart;               ///< How long first parts take.
  Admission Gate;                        ///< Running and waiting work.
  ServerRate Rate;                       ///< Limit of the back end itself.
  ServerRate Cold;                       ///< What it bears while cold.
  TimePoint ColdUntil;                   ///< It is cold until then.
  BackEndServer Listed;                  ///< What the document says of it.
  bool RateReported = false;             ///< Its reports named that limit.
  TimePoint ReportedAt;                  ///< When its last report came.
  WeightsState Weights;                  ///< Weights of the engine.
  TransferState Transfer;                ///< Exchange of chunks.
  RolloutState Rollout;                  ///< Waiting for the turn to load.
  bool BackEndUp = false;                ///< The back end answers.
  uint64_t BreaksWithdrawn = 0;          ///< Broken runs that were no death.
  std::string ServiceRun;                ///< Incarnation of the plain service.
  std::string BackEndRun;                ///< Last incarnation that answered.
  Quarantine Suspects;                   ///< Requests that were at a death.
  std::map<AttemptId, Attempt> Attempts; ///< Waiting and running.
  std::map<AttemptId, Place> Places;     ///< Waiting and given.
  std::deque<AttemptId> SparePlaces;     ///< Those that wait for spare room.
  TimePoint SpareRoomAt;                 ///< When there was such room last.
  EndedAttempts Ended;                   ///< Attempts of the last while.
  KeyBook Keys;                          ///< Non-repeatable calls.
  ModelVersion
      Listing; ///< Version whose chunk list is being read; may be empty.
  std::optional<ChunkList> ListRead; ///< What the first reading gave.
  ChunkListTold LastTold; ///< List that an agent told last; may be empty.
  TimePoint NextListRead; ///< Earliest time of the next reading.
  bool ListAsked = false; ///< A reading is under way.
  uint32_t ToldWork = 0;  ///< Work in the last heartbeat before its time.
  bool Stopping = false;  ///< No new work is taken.
  AgentCounters Counters; ///< What happened so far.
};

} // namespace jacinthpond

#endif
