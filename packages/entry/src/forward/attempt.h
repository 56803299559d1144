/** @file attempt.h One attempt of a request at a back end. */

#ifndef JACINTHPOND_ENTRY_FORWARD_ATTEMPT_H
#define JACINTHPOND_ENTRY_FORWARD_ATTEMPT_H

#include "base/ids_type.h"
#include "base/memory_budget.h"
#include "base/time_type.h"
#include "forward/back_end_call.h"
#include "forwarding/event_stream_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace jacinthpond {

struct Attempt;

/** How the response of an attempt is handled. */
enum class AnswerMode : uint8_t {
  Waiting, ///< Its head has not been received yet.
  Refusal, ///< Dropped: the back end did not run the request.
  Whole,   ///< Sent to the caller once it is complete.
  Events   ///< Streamed to the caller, event by event.
};

/** Why an answer that might still have come was given up. */
enum class AbandonReason : uint8_t {
  None,             ///< It was not: the call ended by itself.
  Silent,           ///< Another attempt took over from a silent back end.
  HostUnresponsive, ///< The same, and its host did not answer a ping.
  Overtaken,        ///< An earlier attempt went on before it.
  StartTooLate,     ///< It may not begin any more on its weights.
  Unusable,         ///< No signature, an encoding, or a failure in a stream.
  OtherWeights,     ///< It would resume a stream on other weights.
  BrokenEvents,     ///< Its events are out of order or cut off.
  TooLarge,         ///< It exceeds the buffer for whole answers.
  NoMemory,         ///< All answers together exceed theirs.
  Count             ///< Number of values; not a value.
};

/** Receives what becomes of the attempts of a request; see BackEndCallHandler.
 */
class AttemptOwner {
public:
  virtual ~AttemptOwner() = default;
  virtual bool maySendRequest(Attempt &One) = 0;
  virtual void handleNotices(Attempt &One, const ResponseHead &Received) = 0;
  virtual void handleAnswerHead(Attempt &One, const ResponseHead &Received) = 0;
  virtual void handleAnswerBody(Attempt &One, const std::string &Bytes) = 0;
  virtual void handleAnswerEnd(Attempt &One, ResponseEnd How) = 0;
  virtual void handleCallFailure(Attempt &One, CallFailure Why,
                                 ConnectionEnd End) = 0;
};

/** One attempt of a request: its slot, its call and what was received. */
struct Attempt final : BackEndCallHandler,
                       std::enable_shared_from_this<Attempt> {
  /**
   * Creates an attempt; nothing is sent yet.
   * @param Owner Receives its events; outlives its call.
   * @param ServerId Instance of the back end.
   * @param AnswerMemory Bounds what all answers hold together.
   */
  Attempt(AttemptOwner &Owner, InstanceId ServerId, MemoryBudget &AnswerMemory)
      : Owner(Owner), ServerId(std::move(ServerId)), Memory(AnswerMemory) {}

  bool maySendRequest() override;
  void handleNotices(const ResponseHead &Received) override;
  void handleAnswerHead(const ResponseHead &Received) override;
  void handleAnswerBody(std::string Bytes) override;
  void handleAnswerEnd(ResponseEnd How) override;
  void handleCallFailure(CallFailure Why, ConnectionEnd End) override;

  AttemptOwner &Owner;
  InstanceId ServerId;               ///< Back end.
  uint32_t Number = 0;               ///< Its number among those of the request.
  std::string ServerRun;             ///< Name of its run; empty: no call yet.
  Address ServerAt;                  ///< Its address.
  std::shared_ptr<BackEndCall> Call; ///< Null before and after the call.
  TimePoint CallStartTime;           ///< When the call was started.
  Digest WeightsWhenSent; ///< Weights there at sending; empty: no model.
  TimePoint LastProgress; ///< Last byte of the response, or CallStartTime.
  std::optional<TimePoint> BodyBeganAt; ///< First byte of the response's body.
  std::optional<TimePoint> FirstPartAt; ///< First part given to the caller.
  bool BegunReported = false; ///< Parts of the prompt are known to be sound.
  AnswerMode Mode = AnswerMode::Waiting;
  unsigned AnswerStatus = 0; ///< Status of the response; 0: none.
  ConnectionEnd LastEnd = ConnectionEnd::Open;   ///< How its call ended.
  AbandonReason Abandoned = AbandonReason::None; ///< Why it was given up.
  ResponseHead Head;                             ///< Head of the response.
  std::string Body;             ///< Body received so far in mode Whole.
  EventStream Events;           ///< Events received so far in mode Events.
  MemoryShare Memory;           ///< For Body, or the incomplete event.
  AttemptId Slot;               ///< Slot requested or held; empty: none.
  LinkId SlotAgentLink;         ///< Link to the agent that grants the slot.
  bool AwaitingSlot = false;    ///< The agent has not answered yet.
  TimePoint SlotAnswerDeadline; ///< Another back end is tried after this.
};

} // namespace jacinthpond

#endif
