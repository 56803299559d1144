/** @file metrics_page.h Counters, gauges and the text of a metrics page. */

#ifndef JACINTHPOND_ADAPTERS_METRICS_METRICS_PAGE_H
#define JACINTHPOND_ADAPTERS_METRICS_METRICS_PAGE_H

#include "base/error_type.h"
#include "configuration/document_type.h"

#include <prometheus/metric_family.h>

#include <map>
#include <string>
#include <vector>

namespace jacinthpond {

/** Families in the order of the page. */
using MetricFamilies = std::vector<prometheus::MetricFamily>;

/** Name and help of a metric. */
struct MetricSpec {
  const char *Name; ///< Metric name.
  const char *Help; ///< Text for the page.
};

/** One value with its labels. */
struct LabelledValue {
  std::map<std::string, std::string> Labels; ///< Name and value.
  double Value = 0;                          ///< What is told.
};

/**
 * Adds a family.
 * @param Into Where.
 * @param Type Counter or Gauge.
 * @param Spec Name and help.
 * @param Values Its series.
 */
void addFamily(MetricFamilies &Into, prometheus::MetricType Type,
               const MetricSpec &Spec,
               const std::vector<LabelledValue> &Values);

/**
 * Adds a family with one series for each error kind that occurred.
 * @param Into Where.
 * @param Spec Name and help.
 * @param Counts Count of each kind.
 */
void addErrorCounts(MetricFamilies &Into, const MetricSpec &Spec,
                    const std::map<ErrorKind, uint64_t> &Counts);

/**
 * Leaves of a page what its reader may see. Without a team's token all
 * tenants are summed up, so that nobody reads the load of a customer from a
 * page that is open to the monitoring system.
 * @param All Everything.
 * @param Doc Document in force; may be null.
 * @param Authorization Header of the reader; may be empty or wrong.
 * @return Series of the reader's tenants and classes; sums over tenants for
 *         a reader without a team.
 */
MetricFamilies visibleTo(const MetricFamilies &All, const Document *Doc,
                         const std::string &Authorization);

/**
 * Writes a page.
 * @param All Its families.
 * @return Prometheus' text format.
 */
std::string metricsText(const MetricFamilies &All);

} // namespace jacinthpond

#endif
