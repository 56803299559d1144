/** @file keyed_call_func.h Non-repeatable calls at an entry: homes, tokens. */

#ifndef JACINTHPOND_CORE_KEYED_CALL_FUNC_H
#define JACINTHPOND_CORE_KEYED_CALL_FUNC_H

#include "attempts/entry_type.h"

#include <string>

namespace jacinthpond {

/**
 * Says whether a call may not be repeated.
 * @param Entry The state.
 * @param One The call.
 * @return True when its class is not repeatable.
 */
bool isKeyed(const EntryState &Entry, const Call &One);

/**
 * Gives the home of a call's key.
 * @param Entry The state.
 * @param One A keyed call with a readable token or none.
 * @return The worker; empty when the class has none.
 */
HostName homeOfCall(const EntryState &Entry, const Call &One);

/**
 * Makes a token of the homes that are ready now.
 * @param Entry The state.
 * @param Class A class that is not repeatable.
 * @return The token; empty when no home is ready or the class needs none.
 */
std::string makeHomeToken(const EntryState &Entry, const ClassName &Class);

/**
 * Says whether a token fits a class.
 * @param Token As the caller sent it; empty: none.
 * @param Class The class of the call.
 * @return False for one that is cut, changed or of another class.
 */
bool tokenFits(const std::string &Token, const ClassName &Class);

/**
 * Says what a caller may be told of a call that ended without an answer.
 * @param Entry The state.
 * @param One The call.
 * @param Why The failure.
 * @param Executed What is known of its attempts.
 * @return "No" for a keyed call only on the word of its home.
 */
Ran ranOfKey(const EntryState &Entry, const Call &One, const Failure &Why,
             Ran Executed);

} // namespace jacinthpond

#endif
