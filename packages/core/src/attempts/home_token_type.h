/** @file home_token_type.h Token that fixes where keys of a class may run. */

#ifndef JACINTHPOND_CORE_HOME_TOKEN_TYPE_H
#define JACINTHPOND_CORE_HOME_TOKEN_TYPE_H

#include "base/ids_type.h"

#include <cstdint>
#include <vector>

namespace jacinthpond {

/** One possible home of keys: a single memory in a single process. */
struct TokenHome {
  HostName Name;      ///< The worker.
  Incarnation Run;    ///< Incarnation of its agent.
  uint64_t Epoch = 0; ///< Which stretch of that agent's memory.
};

/**
 * The homes of a class as they were when the token was given. A key that always
 * comes with the same token has one possible runner for ever, whatever any
 * process believes about who is alive and which configuration is in force.
 */
struct HomeToken {
  ClassName Class;              ///< Class of work.
  uint64_t Serial = 0;          ///< Makes its text another one.
  std::vector<TokenHome> Homes; ///< Never empty.
};

} // namespace jacinthpond

#endif
