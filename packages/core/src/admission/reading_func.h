/** @file reading_func.h Prompts that a back end has yet to read (prefill).
 *
 * An engine reads prompts between the tokens of the answers that it generates.
 * When several long prompts arrive at once, all running answers pause until all
 * of them are read, and every first token waits for the last prompt. Prompts
 * are therefore sent one after the other, and entries prefer back ends with
 * little left to read.
 */

#ifndef JACINTHPOND_CORE_READING_FUNC_H
#define JACINTHPOND_CORE_READING_FUNC_H

#include "admission/reading_type.h"

#include <cstdint>

namespace jacinthpond {

/**
 * Gives the time to read the prompts that are left.
 * @param UnreadPrompts The state.
 * @param Now Current time.
 * @return The time; 0 when all have been read.
 */
Duration prefillTimeLeft(const PrefillQueue &UnreadPrompts, TimePoint Now);

/**
 * Says whether another prompt may be sent to the back end.
 * @param UnreadPrompts The state.
 * @param Now Current time.
 * @return False while too much is left to read.
 */
bool maySendPrompt(const PrefillQueue &UnreadPrompts, TimePoint Now);

/**
 * Gives the time to read one prompt.
 * @param UnreadPrompts The state.
 * @param Tokens Length of the prompt.
 * @return The time; 0 when the rate is unknown.
 */
Duration prefillTime(const PrefillQueue &UnreadPrompts, uint32_t Tokens);

/**
 * Adds a prompt that is sent to the back end.
 * @param UnreadPrompts State to change.
 * @param Tokens Length of the prompt.
 * @param Now Current time.
 */
void addPrompt(PrefillQueue &UnreadPrompts, uint32_t Tokens, TimePoint Now);

} // namespace jacinthpond

#endif
