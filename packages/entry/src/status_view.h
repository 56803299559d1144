/** @file status_view.h Answers of the administration API as text tables. */

#ifndef JACINTHPOND_ENTRY_STATUS_VIEW_H
#define JACINTHPOND_ENTRY_STATUS_VIEW_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jacinthpond {

/**
 * Formats progress as a bar of text.
 * @param Done Units that are done.
 * @param All All units; 0 counts as done.
 * @return A bar of fixed width and the percentage, as in "[####......]  40%".
 */
std::string progressBar(uint64_t Done, uint64_t All);

/**
 * Formats rows as a table with aligned columns.
 * @param Rows Cells of each row; the first row is the heading.
 * @return The table, a line for each row.
 */
std::string alignColumns(const std::vector<std::vector<std::string>> &Rows);

/**
 * Formats the whole status.
 * @param Status Answer of /v1/status.
 * @return A summary line and tables.
 */
std::string statusText(const nlohmann::json &Status);

/**
 * Formats the failure domains.
 * @param Status Answer of /v1/domains or /v1/status.
 * @return A table.
 */
std::string domainsText(const nlohmann::json &Status);

/**
 * Formats the configuration version in force in each process.
 * @param Status Answer of /v1/config.
 * @return A table.
 */
std::string configText(const nlohmann::json &Status);

/**
 * Formats what a candidate document would change.
 * @param Change Answer of /v1/check.
 * @return One or more lines.
 */
std::string changeText(const nlohmann::json &Change);

} // namespace jacinthpond

#endif
