/** @file keyed_call_func.h Homes and home tokens of keyed calls. */

#ifndef JACINTHPOND_CORE_KEYED_CALL_FUNC_H
#define JACINTHPOND_CORE_KEYED_CALL_FUNC_H

#include "attempts/entry_type.h"

#include <string>

namespace jacinthpond {

/**
 * Says whether a call is keyed, which means that it must not run twice.
 * @param Entry The state.
 * @param ActiveCall The call.
 * @return True when its class is not repeatable; before the first document,
 * when the call has a key.
 */
bool isKeyed(const EntryState &Entry, const Call &ActiveCall);

/**
 * Gives the home of the key of a call, by its token or else by the document in
 * force.
 * @param Entry The state.
 * @param ActiveCall A keyed call with a valid token or none.
 * @return The worker; empty when the class has none.
 */
HostName homeOfCall(const EntryState &Entry, const Call &ActiveCall);

/**
 * Makes a home token of the workers that are ready now.
 * @param Entry The state.
 * @param Class A class that is not repeatable.
 * @return The token as text; empty when no worker is ready or the class is
 * repeatable.
 */
std::string makeHomeToken(const EntryState &Entry, const ClassName &Class);

/**
 * Says whether a call of a class may carry a token.
 * @param Token Token as sent by the caller; empty for none.
 * @param Class The class of the call.
 * @return True for no token or a valid one of the class; false when it is
 * truncated, altered or of another class.
 */
bool isTokenAcceptable(const std::string &Token, const ClassName &Class);

/**
 * Says whether a call without an answer ran, as reported to its caller.
 * @param Entry The state.
 * @param ActiveCall The call.
 * @param Why The failure.
 * @param Executed Outcome of its attempts as the entry knows it.
 * @return Executed; but Unknown instead of No for a keyed call whose home has
 * not confirmed that the key did not run.
 */
Ran executionToReport(const EntryState &Entry, const Call &ActiveCall,
                      const Failure &Why, Ran Executed);

} // namespace jacinthpond

#endif
