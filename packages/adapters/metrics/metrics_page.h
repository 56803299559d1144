/** @file metrics_page.h Building, access filter and text of metrics pages. */

#ifndef JACINTHPOND_ADAPTERS_METRICS_METRICS_PAGE_H
#define JACINTHPOND_ADAPTERS_METRICS_METRICS_PAGE_H

#include "base/error_type.h"
#include "configuration/document_type.h"

#include <prometheus/metric_family.h>

#include <map>
#include <string>
#include <vector>

namespace jacinthpond {

/** Metric families in the order of the page. */
using MetricFamilies = std::vector<prometheus::MetricFamily>;

/** Name and help of a metric. */
struct MetricSpec {
  const char *Name; ///< Metric name.
  const char *Help; ///< Help text on the page.
};

/** One value of a metric with its labels. */
struct LabelledValue {
  std::map<std::string, std::string> Labels; ///< Label names and values.
  double Value = 0;                          ///< Value of the counter or gauge.
};

/**
 * Adds a family of counters or gauges to a page.
 * @param Into The page.
 * @param Type Counter or Gauge.
 * @param Spec Name and help.
 * @param Values One series for each.
 */
void addFamily(MetricFamilies &Into, prometheus::MetricType Type,
               const MetricSpec &Spec,
               const std::vector<LabelledValue> &Values);

/**
 * Adds a family with one series for each error kind that occurred.
 * @param Into The page.
 * @param Spec Name and help.
 * @param Counts Number of errors of each kind.
 */
void addErrorCounts(MetricFamilies &Into, const MetricSpec &Spec,
                    const std::map<ErrorKind, uint64_t> &Counts);

/**
 * Filters a page by what its reader may see. Without a team's token, series are
 * summed over all workspaces: the page is open to the monitoring system and
 * must not reveal the load of a customer.
 * @param All The whole page.
 * @param Doc Document in force; may be null.
 * @param Authorization Value of the reader's Authorization header; may be empty
 *        or invalid.
 * @return Series of the workspaces and classes that the reader's team may see;
 *         sums over workspaces for a reader without a valid token.
 */
MetricFamilies filterVisibleMetrics(const MetricFamilies &All,
                                    const Document *Doc,
                                    const std::string &Authorization);

/**
 * Serializes a page.
 * @param All Families of the page.
 * @return Prometheus' text format.
 */
std::string metricsText(const MetricFamilies &All);

} // namespace jacinthpond

#endif
