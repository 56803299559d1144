/** @file home_token_type.h Token that fixes the home of each key of a class. */

#ifndef JACINTHPOND_CORE_HOME_TOKEN_TYPE_H
#define JACINTHPOND_CORE_HOME_TOKEN_TYPE_H

#include "base/ids_type.h"

#include <cstdint>
#include <vector>

namespace jacinthpond {

/** A possible home of keys: one epoch of one agent process. */
struct TokenHome {
  HostName Name;      ///< Published name of the worker.
  Incarnation Run;    ///< Incarnation of its agent.
  uint64_t Epoch = 0; ///< Epoch of that agent's key records.
};

/**
 * The possible homes of a class when the token was issued. A key that always
 * comes with the same token can only ever run at one process, whatever any
 * process believes about which workers are alive or which document is in force.
 */
struct HomeToken {
  ClassName Class;              ///< Class of work.
  uint64_t Serial = 0;          ///< Makes the text of each token different.
  std::vector<TokenHome> Homes; ///< At least one.
};

} // namespace jacinthpond

#endif
