/** @file reading_func.h Prompts that a back end has to read.
 *
 * An engine reads prompts between the tokens of the answers that it writes.
 * When several long prompts come at the same moment, all answers under way
 * pause for as long as they take together, and every first token waits for the
 * last prompt. So prompts are given one after the other, and entries prefer
 * back ends with little to read.
 */

#ifndef JACINTHPOND_CORE_READING_FUNC_H
#define JACINTHPOND_CORE_READING_FUNC_H

#include "admission/reading_type.h"

#include <cstdint>

namespace jacinthpond {

/**
 * Gives what is left to read.
 * @param Debt The state.
 * @param Now Current time.
 * @return Time that it takes.
 */
Duration readingLeft(const ReadingDebt &Debt, TimePoint Now);

/**
 * Says whether another prompt may be given.
 * @param Debt The state.
 * @param Now Current time.
 * @return False while too much is left to read.
 */
bool mayRead(const ReadingDebt &Debt, TimePoint Now);

/**
 * Gives the time that one prompt takes.
 * @param Debt The state.
 * @param Tokens Its size.
 * @return The time; 0 where the rate is not known.
 */
Duration readingTime(const ReadingDebt &Debt, uint32_t Tokens);

/**
 * A prompt was given.
 * @param Debt State to change.
 * @param Tokens Its size.
 * @param Now Current time.
 */
void addReading(ReadingDebt &Debt, uint32_t Tokens, TimePoint Now);

} // namespace jacinthpond

#endif
