/** @file exchange.h One request on a route, from its arrival to its answer. */

#ifndef JACINTHPOND_ENTRY_FORWARD_EXCHANGE_H
#define JACINTHPOND_ENTRY_FORWARD_EXCHANGE_H

#include "base/error_func.h"
#include "forward/forward_context.h"
#include "forwarding/event_stream_func.h"
#include "forwarding/place_search_func.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace jacinthpond {

/** One request; lives as long as its session works on it. */
class Exchange final : public SessionWork,
                       public CallEvents,
                       public PlaceWaiter,
                       public ViewWaiter,
                       public std::enable_shared_from_this<Exchange> {
public:
  /**
   * Sets up; start() begins.
   * @param Shared State of the traffic thread.
   * @param Session Where the answer goes.
   * @param Asked The request.
   */
  Exchange(ForwardContext &Shared, std::shared_ptr<CallerSession> Session,
           CallerRequest Asked);
  ~Exchange() override;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /** Finds the route and sends the request on, or refuses it. */
  void start();

  void callerGone() override;
  void placeAnswered(const PlaceAnswer &Answer) override;
  void viewCame() override;
  void callHead(const ResponseHead &Head) override;
  void callBody(std::string Bytes) override;
  void callEnded() override;
  void callFailed(CallFailure Why) override;

private:
  /** What is done with the answer under way. */
  enum class AnswerMode : uint8_t {
    Waiting, ///< No head yet.
    Refusal, ///< The back end did not run the request.
    Whole,   ///< Passed on once it is whole.
    Events   ///< Passed on event by event.
  };

  bool hasView() const;
  bool waitForView();
  void begin();
  bool findRoute();
  bool checkCaller();
  void readDeadline();
  void tryNext();
  bool couldGoElsewhere(TimePoint Now);
  void askPlace(const ServerView &Server);
  Millis firstPartWithin(TimePoint Now) const;
  void placeOver(AttemptEnd How);
  void askElsewhere(bool OnlyBusy);
  void agentDidNotAnswer();
  void sendTo(const ServerView &Server);
  void refusedBy(const ServerChoice &Choice);
  void attemptOver(AttemptEnd How);
  void answerBroke();
  void deliverWhole();
  void beginEvents();
  bool canRepeat() const;
  bool attemptsLeft() const;
  void endWith(const Failure &Why, Ran Executed, const char *Reason);
  void endWithoutServer(Failure Why, const char *Reason);
  void armTimer();
  void timeCame();
  void limitCame();
  uint32_t rank() const;
  Duration patience(bool Alive) const;
  TimePoint neededBy() const;
  TimePoint nextLook(TimePoint Now) const;
  Duration quietBeforeQuestion() const;
  void askForSign(TimePoint Now);
  void noteOwnStall(TimePoint Now);
  bool hostStandsStill(TimePoint Now) const;
  std::optional<TimePoint> beginLimit() const;
  bool silentTooLong(TimePoint Now) const;
  void noteRate(const ResponseHead &Came, bool Success);
  void takeRate(std::optional<double> PerSecond, std::string_view Field);
  void logHeld() const;
  void logRate(RateChange Change, std::string_view Came) const;
  void logAttempt(const ServerView &Server, const ServerChoice &Choice) const;
  void logAttemptEnd(AttemptEnd How, Duration Took) const;
  void logEnd(const char *Outcome, unsigned Status, const char *Reason);
  void finish();

  ForwardContext &Shared;
  std::shared_ptr<CallerSession> Session; ///< Null once it is over.
  CallerRequest Asked;
  std::string Id;                ///< Caller's id of this attempt.
  DocumentPtr Doc;               ///< In force when it came; keeps From alive.
  const Route *From = nullptr;   ///< Its route.
  const Tenant *Owner = nullptr; ///< Its tenant; null: none.
  ServerNeeds Needs;
  TimePoint Arrived;
  Duration Age{0};     ///< Time for which its caller had been trying.
  TimePoint Limit;     ///< The caller's deadline or the route's timeout.
  TimePoint LastGiven; ///< When it came, or its caller was sent a part last.
  boost::asio::steady_timer Timer;
  TimePoint LookAt; ///< When the timer should fire.

  std::shared_ptr<BackEndCall> Call; ///< Attempt under way; may be null.
  InstanceId At;                     ///< Where it is.
  TimePoint CallBegan;
  Digest SentOn;          ///< Weights there when it was sent; empty: no model.
  TimePoint LastProgress; ///< Last byte of the answer, or CallBegan.
  AnswerMode Mode = AnswerMode::Waiting;
  ResponseHead Head;        ///< Of the answer under way.
  std::string Body;         ///< Of a whole answer, so far.
  AttemptId PlaceId;        ///< Asked for or held; empty: none.
  LinkId PlaceLink;         ///< Agent that was asked.
  bool Asking = false;      ///< Its answer is awaited.
  TimePoint AskUntil;       ///< The agent is taken for silent after that.
  PlaceSearch Search;       ///< Agents asked for a place.
  Millis RoomIn{0};         ///< Shortest time to room that an agent told.
  uint32_t Sent = 0;        ///< Attempts that reached a back end.
  uint32_t Tries = 0;       ///< Attempts, those without a connection included.
  bool HeldForView = false; ///< Waits until this entry is ready.
  bool NewConnection = false; ///< A kept connection turned out to be closed.
  bool MayHaveRun = false;    ///< Some attempt may have been executed.
  bool HeadSent = false;      ///< The caller has the head of a stream.
  EventStream Events;
  std::string Places; ///< Back ends tried, for the log.
  std::optional<TimePoint> FirstByte;
};

} // namespace jacinthpond

#endif
