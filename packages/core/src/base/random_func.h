/** @file random_func.h A small generator for breaking ties.
 *
 * The state is a plain number that its owner seeds, so that decisions stay
 * functions of their state and tests repeat.
 */

#ifndef JACINTHPOND_CORE_RANDOM_FUNC_H
#define JACINTHPOND_CORE_RANDOM_FUNC_H

#include <cstdint>

namespace jacinthpond {

/**
 * Gives the next number (xorshift64).
 * @param State State to change; never 0.
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
