/** @file entry_metrics.h Counters and gauges of an entry. */

#ifndef JACINTHPOND_ENTRY_ENTRY_METRICS_H
#define JACINTHPOND_ENTRY_ENTRY_METRICS_H

#include "attempts/entry_type.h"
#include "forward/forwarder.h"
#include "metrics/metrics_page.h"

namespace jacinthpond {

/**
 * Reads the counters out of the state.
 * @param Entry The state.
 * @param Now Current time.
 * @return Families for the page; none names a tenant.
 */
MetricFamilies entryFamilies(const EntryState &Entry, TimePoint Now);

/**
 * Gathers what the traffic side of routes counted and timed.
 * @param Routes The traffic side.
 * @return Families for the page.
 */
MetricFamilies routeFamilies(const Forwarder &Routes);

} // namespace jacinthpond

#endif
