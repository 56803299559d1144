/** @file resource_shares_func.h How a process divides its memory and its
 * descriptors. */

#ifndef JACINTHPOND_CORE_RESOURCE_SHARES_FUNC_H
#define JACINTHPOND_CORE_RESOURCE_SHARES_FUNC_H

#include "settings/settings_type.h"

#include <cstddef>

namespace jacinthpond {

/** What each part of a process may use at most. */
struct ResourceShares {
  size_t CallerBytes = 0;               ///< For connections of callers.
  size_t AnswerBytes = 0;               ///< For answers that are not complete.
  size_t AdministrationBytes = 0;       ///< For connections of operators.
  size_t CallerConnections = 0;         ///< Connections of callers.
  size_t UnidentifiedLinks = 0;         ///< Accepted links without a hello.
  size_t AdministrationConnections = 0; ///< Connections of operators.
};

/**
 * Divides the memory and the descriptors of a process.
 * @param Config Its settings.
 * @param DescriptorLimit Descriptors that the operating system allows.
 * @return The shares; the rest is for the process itself, its links and its
 *         connections to back ends.
 */
ResourceShares resourceShares(const Settings &Config, size_t DescriptorLimit);

} // namespace jacinthpond

#endif
