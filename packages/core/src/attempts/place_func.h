/** @file place_func.h Places at a back end for requests that entries send.
 *
 * On a platform where entries send requests to back ends themselves, the agent
 * still bounds the load: each request asks it for a place first. Hundreds of
 * entries with lagging views cannot do that between them; without places some
 * back ends queue while others stand idle. The bytes of requests and answers go
 * past the agent, whose link is narrow and is needed for weights.
 */

#ifndef JACINTHPOND_CORE_PLACE_FUNC_H
#define JACINTHPOND_CORE_PLACE_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * An entry asks for a place: it is given, waits, or is refused at once.
 * @param Agent State to change.
 * @param Link Who asks.
 * @param m What is asked.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void takePlaceAsk(AgentState &Agent, LinkId Link, const PlaceAsk &m,
                  TimePoint Now, Effects &Out);

/**
 * A request is over, or waits no more.
 * @param Agent State to change.
 * @param m Which, and how it ended.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void placeDone(AgentState &Agent, const PlaceDone &m, TimePoint Now,
               Effects &Out);

/**
 * Says whether the rates that the back end bears allow one more request: its
 * own limit, and that of its cold start.
 * @param Agent State to change.
 * @param Now Current time.
 * @return True when one may be given to it.
 */
bool agentRateAllows(AgentState &Agent, TimePoint Now);

/**
 * Counts a request that is given to the back end.
 * @param Agent State to change.
 * @param Now Current time.
 */
void countAtBackEnd(AgentState &Agent, TimePoint Now);

/**
 * An entry told what an answer said of the rate limit of the back end.
 * @param Agent State to change.
 * @param m What it told.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void placeRateHeard(AgentState &Agent, const RateHeard &m, TimePoint Now,
                    Effects &Out);

/**
 * Logs what became known of the rate limit of the back end.
 * @param Agent The state.
 * @param Change What became known.
 * @param From Who said it: "entry", "report" or "restart".
 * @param Out Effects are appended.
 */
void noteRateChange(const AgentState &Agent, RateChange Change,
                    const char *From, Effects &Out);

/**
 * Gives places to requests that are late in any case, as far as no request on
 * time is held up by them: in an overload those that come back would otherwise
 * make fresh ones late as well.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void giveSparePlaces(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Gives a place whose turn has come, or refuses it where its answer would be
 * late by now: the turn is of more use to the next one.
 * @param Agent State to change; the place counts as running already.
 * @param Which The place.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void givePlaceInTime(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                     Effects &Out);

/**
 * Gives a place.
 * @param Agent State to change; the place counts as running already.
 * @param Which The place.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void givePlace(AgentState &Agent, const AttemptId &Which, TimePoint Now,
               Effects &Out);

/**
 * Refuses one that waits and was taken out of the queue.
 * @param Agent State to change.
 * @param Which The place.
 * @param Why The refusal.
 * @param Out Effects are appended.
 */
void refusePlace(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                 Effects &Out);

/**
 * The link of places is gone. Those given stay taken for a while, since their
 * requests may go on at the back end.
 * @param Agent State to change.
 * @param Link Which link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void detachPlaces(AgentState &Agent, LinkId Link, TimePoint Now, Effects &Out);

/**
 * Frees places that nobody will speak of any more.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sweepPlaces(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
