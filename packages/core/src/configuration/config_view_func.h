/** @file config_view_func.h Accepts documents from the service and peers. */

#ifndef JACINTHPOND_CORE_CONFIG_VIEW_FUNC_H
#define JACINTHPOND_CORE_CONFIG_VIEW_FUNC_H

#include "configuration/config_view_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Validates a document from the configuration service or a peer and puts it in
 * force when its version is newer.
 * @param View State to change.
 * @param Text The document; not trusted.
 * @param Now Current time.
 * @return Whether it came into force; else why not.
 */
OfferResult offerDocument(ConfigView &View, std::string_view Text,
                          TimePoint Now);

/**
 * Gives the version in force.
 * @param View The view.
 * @return The version; 0 when no document is in force.
 */
ConfigVersion versionInForce(const ConfigView &View);

/**
 * Gives the digest of the document in force.
 * @param View The view.
 * @return The digest; empty when no document is in force.
 */
Digest digestInForce(const ConfigView &View);

} // namespace jacinthpond

#endif
