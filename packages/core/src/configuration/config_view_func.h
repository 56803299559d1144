/** @file config_view_func.h Accepting documents from service and peers. */

#ifndef JACINTHPOND_CORE_CONFIG_VIEW_FUNC_H
#define JACINTHPOND_CORE_CONFIG_VIEW_FUNC_H

#include "configuration/config_view_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Takes a document from the service or a peer.
 * @param View State to change.
 * @param Text The document; not trusted.
 * @param Now Current time.
 * @return What became of it.
 */
OfferResult offerDocument(ConfigView &View, std::string_view Text,
                          TimePoint Now);

/**
 * Gives the version in force.
 * @param View The view.
 * @return The version; 0 for none.
 */
ConfigVersion versionInForce(const ConfigView &View);

/**
 * Gives the digest in force.
 * @param View The view.
 * @return The digest; empty for none.
 */
Digest digestInForce(const ConfigView &View);

} // namespace jacinthpond

#endif
