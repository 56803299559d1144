/** @file entry_metrics.h Metrics of an entry. */

#ifndef JACINTHPOND_ENTRY_ENTRY_METRICS_H
#define JACINTHPOND_ENTRY_ENTRY_METRICS_H

#include "attempts/entry_type.h"
#include "forward/forwarder.h"
#include "metrics/metrics_page.h"

namespace jacinthpond {

/**
 * Collects the metrics of calls, configuration, links and weights transfer.
 * @param Entry The state.
 * @param Now Current time.
 * @return Metric families; none has a workspace label.
 */
MetricFamilies entryMetrics(const EntryState &Entry, TimePoint Now);

/**
 * Collects the counters and histograms of requests on routes.
 * @param Routes The forwarder.
 * @return Metric families.
 */
MetricFamilies routeMetrics(const Forwarder &Routes);

} // namespace jacinthpond

#endif
