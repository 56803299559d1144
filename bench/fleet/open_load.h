/** @file open_load.h Requests at a fixed rate, whatever becomes of them. */

#ifndef JACINTHPOND_BENCH_FLEET_OPEN_LOAD_H
#define JACINTHPOND_BENCH_FLEET_OPEN_LOAD_H

#include "fleet/fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace jacinthpond::fleet {

/** What to offer. */
struct Offer {
  double PerSecond = 10;             ///< Rate over all tenants.
  double Seconds = 5;                ///< How long.
  size_t Callers = 256;              ///< Requests open at a time at most.
  std::function<Ask(size_t n)> Next; ///< Gives the n-th request.
};

/** What became of one request. */
struct Offered {
  std::string Workspace; ///< Whose.
  int Status = 0;        ///< HTTP status.
  double Begin = 0;      ///< Seconds since the start when it was sent.
  double End = 0;        ///< Seconds since the start when its answer came.
  int RetryAfter = 0;    ///< Time to come back in ms; 0: none told.
};

/**
 * Sends requests on schedule; nobody waits for an earlier answer.
 * @param To Whom to ask, by turns through all entries.
 * @param What What to offer.
 * @return All requests with their outcome, in order of sending.
 */
std::vector<Offered> offerLoad(const Fleet &To, const Offer &What);

/**
 * Counts whole answers by when they came.
 * @param All What was offered.
 * @param From Start of the window in seconds.
 * @param Until End of the window in seconds.
 * @return Whole answers a second in it.
 */
double goodput(const std::vector<Offered> &All, double From, double Until);

/**
 * Gives the share of a tenant's requests that were answered whole.
 * @param All What was offered.
 * @param Large The large tenant.
 * @param OfLarge Whether to look at it, or at all others.
 * @return The share, 0 to 1.
 */
double answeredShare(const std::vector<Offered> &All, const std::string &Large,
                     bool OfLarge);

} // namespace jacinthpond::fleet

#endif
