/** @file exchange.h One request on a route, from arrival to response. */

#ifndef JACINTHPOND_ENTRY_FORWARD_EXCHANGE_H
#define JACINTHPOND_ENTRY_FORWARD_EXCHANGE_H

#include "base/error_func.h"
#include "forward/attempt.h"
#include "forward/forward_context.h"
#include "forwarding/crash_watch_type.h"
#include "forwarding/no_server_type.h"
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
                       public AttemptOwner,
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
  bool maySendRequest(Attempt &One) override;
  void handleNotices(Attempt &One, const ResponseHead &Received) override;
  void handleAnswerHead(Attempt &One, const ResponseHead &Received) override;
  void handleAnswerBody(Attempt &One, const std::string &Bytes) override;
  void handleAnswerEnd(Attempt &One, ResponseEnd How) override;
  void handleCallFailure(Attempt &One, CallFailure Why,
                         ConnectionEnd End) override;

private:
  /** A complete answer. */
  struct WholeAnswer {
    ResponseHead Head;  ///< Its head.
    std::string Body;   ///< Its body.
    MemoryShare Memory; ///< For its body.
  };

  bool waitUntilReady();
  void startForwarding();
  bool findRoute();
  void readDeadline();
  void tryNextServer();
  std::optional<NoServerReason> attemptObstacle(TimePoint Now);
  bool canUseOtherServer(bool Urgent, TimePoint Now);
  void requestSlot(Attempt &One, const ServerView &Server);
  Millis firstPartTimeLeft(TimePoint Now) const;
  void releaseSlot(Attempt &One, AttemptEnd How);
  void tryOtherServer(bool OnlyBusy);
  void handleSlotTimeout();
  void sendTo(Attempt &One, const ServerView &Server);
  void handleNoServer(const ServerChoice &Choice);
  void endSearch(NoServerReason Why, const Failure &Told);
  void concludeAttempt(Attempt &One, AttemptEnd How);
  void widenSearch();
  void dropAttempt(Attempt &One, AttemptEnd How, AbandonReason Why);
  void dropSilentAttempt(Attempt &One, TimePoint Now);
  void dropAllAttempts();
  void abandonSearch();
  void keepOnly(const Attempt &One);
  void commitAttempt(Attempt &One);
  void confirmClosedAnswer(Attempt &One);
  void completeAnswer(Attempt &One);
  void abandonAnswer(Attempt &One, AbandonReason Why);
  void handleWholeAnswer(Attempt &One);
  void sendWholeAnswer(WholeAnswer Answer, const char *How);
  bool isTooLong(const ResponseHead &Received) const;
  void streamEvents(Attempt &One, const std::string &Bytes);
  void beginStream(Attempt &One);
  bool isRepeatable() const;
  bool canResume() const;
  bool hasAttemptsLeft() const;
  void endWithError(const Failure &Why, Ran Executed, const char *Reason);
  void endWithoutServer(Failure Why, const char *Reason);
  void armTimer();
  void handleTimer();
  void handleDeadline();
  uint32_t rank() const;
  Duration silenceLimit(bool Alive) const;
  TimePoint nextPartDeadline() const;
  bool hasResponsiveHost() const;
  TimePoint nextCheckTime(TimePoint Now) const;
  Duration silenceBeforePing() const;
  void pingSilentHost(const Attempt &One, TimePoint Now);
  void discardProbesAfterStall(TimePoint Now);
  bool isHostUnresponsive(const Attempt &One, TimePoint Now) const;
  std::optional<TimePoint> attemptStartDeadline(const Attempt &One) const;
  void abandonLateStarts(TimePoint Now);
  bool isSilent(const Attempt &One, TimePoint Now) const;
  bool isUrgent(TimePoint Now) const;
  bool mayOpenAnother(TimePoint Now) const;
  void checkSilence(TimePoint Now);
  void readRateLimit(const Attempt &One, const ResponseHead &Received,
                     bool Success);
  void applyRateLimit(const Attempt &One, std::optional<double> PerSecond,
                      std::string_view Field);
  const Digest &fingerprint() const;
  const std::vector<Digest> &partDigests() const;
  const RequestDigests &digests() const;
  Verdict verdict() const;
  bool checkQuarantine();
  bool hasSuspectedPart();
  void endQuarantined();
  void retryFailedAttempt();
  void reportBrokenAnswer(const Attempt &One);
  void reportBegun(Attempt &One);
  void reportCompletion(Attempt &One);
  std::vector<PartId> sharedParts() const;
  std::string partsText() const;
  void logWaitForReadiness() const;
  void readLeaving(const Attempt &One, const ResponseHead &Received);
  void readPause(const Attempt &One, const ResponseHead &Received);
  void logServerNotice(const Attempt &One, const ResponseHead &Received) const;
  void logUnreadableNotice(const Attempt &One, const std::string &Name,
                           std::string_view Value);
  void logRateChange(const Attempt &One, RateChange Change,
                     std::string_view Header) const;
  void logAttempt(const ServerView &Server, const ServerChoice &Choice) const;
  void logAttemptEnd(const Attempt &One, AttemptEnd How) const;
  void logSearchEnd(const char *Outcome, const char *Why) const;
  void logEnd(const char *Outcome, unsigned Status, const char *Reason);
  void finish();

  ForwardContext &Shared;
  std::shared_ptr<CallerSession> Session; ///< Null once the exchange is over.
  const CallerRequest::header_type Incoming;
  const std::shared_ptr<const BodyBlocks> Body; ///< Shared with its attempts.
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

  std::shared_ptr<Attempt> Next; ///< Being prepared, not sent; may be null.
  std::vector<std::shared_ptr<Attempt>> Sent; ///< May be answered, oldest
                                              ///< first.
  std::optional<WholeAnswer> BackEndError; ///< Error of a back end; sent if no
                                           ///< other attempt succeeds.
  bool OnTrial = false; ///< Sent although it was refused, to find out more.
  std::optional<TimePoint> RetryAt; ///< The next attempt waits until then.
  ResponseHead Head;                ///< Head of the stream that was begun.
  SlotSearch Search;            ///< State of the search for an idle back end.
  Millis ShortestRetryAfter{0}; ///< Shortest retry time from agents; 0: none.
  uint32_t AttemptsSent = 0;    ///< Attempts that reached a back end.
  uint32_t AttemptsStarted = 0; ///< Attempts, failed connections included.
  bool WaitingForReadiness = false; ///< Waits until this entry is ready.
  bool ForceNewConnection = false;  ///< A pooled connection was found closed.
  bool MayHaveRun = false;          ///< Some attempt may have been executed.
  bool HeadSent = false;            ///< The caller got the head of a stream.
  std::optional<uint64_t> LastEventId; ///< Last event that the caller has.
  std::string TriedServers; ///< Back ends tried, comma-separated, for the log.
  std::optional<TimePoint> FirstByteTime;
};

} // namespace jacinthpond

#endif
