/** @file random_func.h Pseudorandom number generator for breaking ties.
 *
 * The caller owns and seeds the state, so that decisions depend only on their
 * state and tests are reproducible.
 */

#ifndef JACINTHPOND_CORE_RANDOM_FUNC_H
#define JACINTHPOND_CORE_RANDOM_FUNC_H

#include <cstdint>

namespace jacinthpond {

/**
 * Generates the next number with xorshift64.
 * @param State Generator state, updated; must not be 0.
 * @return The number.
 */
inline uint64_t nextRandom(uint64_t &State) {
  State ^= State << 13U;
  State ^= State >> 7U;
  State ^= State << 17U;
  return State;
}

} // namespace jacinthpond

#endif
