/** @file exchange.h One request on a route, from arrival to response. */

#ifndef JACINTHPOND_ENTRY_FORWARD_EXCHANGE_H
#define JACINTHPOND_ENTRY_FORWARD_EXCHANGE_H

#include "base/error_func.h"
#include "forward/forward_context.h"
#include "forwarding/crash_watch_type.h"
#include "forwarding/event_stream_func.h"
#include "forwarding/place_search_func.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

/**
 * Forwards one request to back ends, with retries, until it has a response.
 * The caller's session keeps it alive until then.
 */
class Exchange final : public DisconnectHandler,
                       public BackEndCallHandler,
                       public SlotWaiter,
                       public ReadinessWaiter,
                       public std::enable_shared_from_this<Exchange> {
public:
  /**
   * Creates an exchange; start() begins to work on it.
   * @param Shared State of the traffic thread.
   * @param Session Connection of the caller, which gets the response.
   * @param Incoming The request.
   */
  Exchange(ForwardContext &Shared, std::shared_ptr<CallerSession> Session,
           CallerRequest Incoming);
  ~Exchange() override;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /** Finds the route and forwards the request, or refuses it. */
  void start();

  void handleCallerDisconnect() override;
  void handleSlotAnswer(const SlotAnswer &Answer) override;
  void handleQuarantineChange() override;
  void handleEntryReady() override;
  bool maySendRequest() override;
  void handleNotices(const ResponseHead &Received) override;
  void handleAnswerHead(const ResponseHead &Head) override;
  void handleAnswerBody(std::string Bytes) override;
  void handleAnswerEnd(ResponseEnd How) override;
  void handleCallFailure(CallFailure Why, ConnectionEnd End) override;

private:
  /** How the current response is handled. */
  enum class AnswerMode : uint8_t {
    Waiting, ///< Its head has not been received yet.
    Refusal, ///< Dropped: the back end did not run the request.
    Whole,   ///< Sent to the caller once it is complete.
    Events   ///< Streamed to the caller, event by event.
  };

  /** Why an answer that might still have come was given up. */
  enum class AbandonReason : uint8_t {
    None,             ///< It was not: the call ended by itself.
    Silent,           ///< The back end was silent for too long.
    HostUnresponsive, ///< Its host did not answer a ping.
    StartTooLate,     ///< It may not begin any more on its weights.
    Unusable,         ///< No signature, an encoding, or a failure in a stream.
    OtherWeights,     ///< It would resume a stream on other weights.
    BrokenEvents,     ///< Its events are out of order or cut off.
    TooLarge,         ///< It exceeds the buffer for whole answers.
    Count             ///< Number of values; not a value.
  };

  bool isEntryReady() const;
  bool waitUntilReady();
  void startForwarding();
  bool findRoute();
  bool authenticateCaller();
  void readDeadline();
  void tryNextServer();
  bool canUseOtherServer(TimePoint Now);
  void requestSlot(const ServerView &Server);
  Millis firstPartTimeLeft(TimePoint Now) const;
  void releaseSlot(AttemptEnd How);
  void tryOtherServer(bool OnlyBusy);
  void handleSlotTimeout();
  void sendTo(const ServerView &Server);
  void handleNoServer(const ServerChoice &Choice);
  void concludeAttempt(AttemptEnd How);
  void confirmClosedAnswer();
  void completeAnswer();
  void abandonAnswer(AbandonReason Why);
  void sendWholeAnswer();
  void beginStream();
  bool isRepeatable() const;
  bool hasAttemptsLeft() const;
  void endWithError(const Failure &Why, Ran Executed, const char *Reason);
  void endWithoutServer(Failure Why, const char *Reason);
  void armTimer();
  void handleTimer();
  void handleDeadline();
  uint32_t rank() const;
  Duration silenceLimit(bool Alive) const;
  TimePoint nextPartDeadline() const;
  TimePoint nextCheckTime(TimePoint Now) const;
  Duration silenceBeforePing() const;
  void pingSilentHost(TimePoint Now);
  void discardProbeAfterStall(TimePoint Now);
  bool isServerHostUnresponsive(TimePoint Now) const;
  std::optional<TimePoint> attemptStartDeadline() const;
  bool isSilentTooLong(TimePoint Now) const;
  void readRateLimit(const ResponseHead &Received, bool Success);
  void applyRateLimit(std::optional<double> PerSecond, std::string_view Field);
  const Digest &fingerprint() const;
  const std::vector<Digest> &partDigests() const;
  const RequestDigests &digests() const;
  Verdict verdict() const;
  bool checkQuarantine();
  bool hasSuspectedPart();
  void endQuarantined();
  void retryFailedAttempt();
  void reportBrokenAnswer();
  void reportBegun();
  void reportCompletion();
  std::vector<PartId> sharedParts() const;
  std::string partsText() const;
  void logWaitForReadiness() const;
  void readLeaving(const ResponseHead &Received);
  void readPause(const ResponseHead &Received);
  void logServerNotice(const ResponseHead &Received) const;
  void logUnreadableNotice(const std::string &Name, std::string_view Value);
  void logRateChange(RateChange Change, std::string_view Header) const;
  void logAttempt(const ServerView &Server, const ServerChoice &Choice) const;
  void logAttemptEnd(AttemptEnd How, Duration Took) const;
  void logEnd(const char *Outcome, unsigned Status, const char *Reason);
  void finish();

  ForwardContext &Shared;
  std::shared_ptr<CallerSession> Session; ///< Null once the exchange is over.
  CallerRequest Incoming;
  mutable RequestDigests Digests; ///< See digests(); empty: not computed yet.
  mutable bool PartsDigested = false; ///< The parts in Digests are computed.
  std::string Id;  ///< Id that the caller gave the request; for logs too.
  DocumentPtr Doc; ///< In force when the route was matched; owns RequestRoute.
  const Route *RequestRoute = nullptr; ///< Matched route; null: none yet.
  const Workspace *Owner = nullptr;    ///< Workspace of the caller; null: none.
  ServerNeeds Needs;
  TimePoint ArrivalTime;
  Duration CallerAge{0};      ///< Time the caller had tried before arrival.
  TimePoint RequestDeadline;  ///< The caller's deadline or the route's timeout.
  TimePoint LastSentToCaller; ///< Last part sent to the caller, or arrival.
  boost::asio::steady_timer Timer;
  TimePoint TimerDue; ///< When the timer should fire.

  std::shared_ptr<BackEndCall> Call; ///< Current attempt; may be null.
  InstanceId ServerId;               ///< Back end of the current attempt.
  std::string ServerRun;             ///< Name of its run; empty: not sent yet.
  Address ServerAt;                  ///< Its address.
  bool OnTrial = false; ///< Sent although it was refused, to find out more.
  TimePoint CallStartTime;
  Digest WeightsWhenSent; ///< Weights there at sending; empty: no model.
  TimePoint LastProgress; ///< Last byte of the response, or CallStartTime.
  std::optional<TimePoint> BodyBeganAt; ///< First byte of the response's body.
  bool BegunReported = false; ///< Parts of the prompt are known to be sound.
  std::optional<TimePoint> RetryAt; ///< The next attempt waits until then.
  AnswerMode Mode = AnswerMode::Waiting;
  unsigned AnswerStatus = 0; ///< Status of the current response; 0: none.
  ConnectionEnd LastEnd = ConnectionEnd::Open;   ///< Of the current attempt.
  AbandonReason Abandoned = AbandonReason::None; ///< The current attempt.
  ResponseHead Head;            ///< Head of the response that the caller gets.
  std::string Body;             ///< Body received so far in mode Whole.
  AttemptId CurrentSlot;        ///< Slot requested or held; empty: none.
  LinkId SlotAgentLink;         ///< Link to the agent that grants the slot.
  bool AwaitingSlot = false;    ///< The agent has not answered yet.
  TimePoint SlotAnswerDeadline; ///< Another back end is tried after this.
  SlotSearch Search;            ///< State of the search for an idle back end.
  Millis ShortestRetryAfter{0}; ///< Shortest retry time from agents; 0: none.
  uint32_t AttemptsSent = 0;    ///< Attempts that reached a back end.
  uint32_t AttemptsStarted = 0; ///< Attempts, failed connections included.
  bool WaitingForReadiness = false; ///< Waits until this entry is ready.
  bool ForceNewConnection = false;  ///< A pooled connection was found closed.
  bool MayHaveRun = false;          ///< Some attempt may have been executed.
  bool HeadSent = false;            ///< The caller got the head of a stream.
  EventStream Events;
  std::string TriedServers; ///< Back ends tried, comma-separated, for the log.
  std::optional<TimePoint> FirstByteTime;
};

} // namespace jacinthpond

#endif
