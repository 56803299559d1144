/** @file request_identity.cpp Recognizing copies of a request on routes. */

#include "forwarding/request_identity_func.h"

#include "base/hash_func.h"
#include "forwarding/route_match_func.h"

namespace jacinthpond {

Digest routeFingerprint(const WorkspaceName &Owner,
                        const RequestContent &Content) {
  return digestOfFields({Owner.Value, Content.Method,
                         normalizedHost(Content.Host), Content.Target},
                        Content.Body);
}

Digest partFingerprint(const ModelName &Model, const PartId &Part) {
  return digestOfFields({"part", Model.Value, Part.Value}, {});
}

} // namespace jacinthpond
