/** @file status_view.h The administration API's answers for people. */

#ifndef JACINTHPOND_ENTRY_STATUS_VIEW_H
#define JACINTHPOND_ENTRY_STATUS_VIEW_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jacinthpond {

/**
 * Draws how far something has come.
 * @param Done How much is done.
 * @param All How much there is to do; 0 counts as done.
 * @return A bar of fixed width and the share, as in "[####......]  40%".
 */
std::string progressBar(uint64_t Done, uint64_t All);

/**
 * Sets rows in columns.
 * @param Rows The first one is the heading.
 * @return One line for each row.
 */
std::string alignColumns(const std::vector<std::vector<std::string>> &Rows);

/**
 * Shows the whole status.
 * @param Status Answer of /v1/status.
 * @return Tables.
 */
std::string statusText(const nlohmann::json &Status);

/**
 * Shows the domains.
 * @param Status Answer of /v1/domains or /v1/status.
 * @return A table.
 */
std::string domainsText(const nlohmann::json &Status);

/**
 * Shows what is in force in every process.
 * @param Status Answer of /v1/config.
 * @return A table.
 */
std::string configText(const nlohmann::json &Status);

/**
 * Shows the effect of a candidate document.
 * @param Change Answer of /v1/check.
 * @return Some lines.
 */
std::string changeText(const nlohmann::json &Change);

} // namespace jacinthpond

#endif
