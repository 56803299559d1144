/** @file request_match.cpp What the head of a request decides. */

#include "forward/request_match.h"

#include "forward/header_fields.h"

namespace jacinthpond {

namespace {

RequestMatch refusal(const Failure &Why, const char *Reason) {
  RequestMatch Match;
  Match.Refused = Why;
  Match.Reason = Reason;
  return Match;
}

} // namespace

RequestMatch matchRequest(const ForwardContext &Shared,
                          const CallerRequest::header_type &Head) {
  if (!isEntryReady(Shared))
    return refusal({ErrorKind::StaleView, "no configuration yet", {}},
                   "no_configuration");
  if (Shared.RefusingNew)
    return refusal({ErrorKind::Leaving, "", {}}, "leaving");
  RequestMatch Match;
  Match.Found = matchRoute(Shared.Index, fieldValue(Head, "Host"),
                           toStringView(Head.target()));
  if (Match.Found == nullptr)
    return refusal({ErrorKind::NotFound, "no route", {}}, "no_route");
  if (!Shared.Index.KeysRequired)
    return Match;
  Match.Owner = matchWorkspace(Shared.Index, fieldValue(Head, "Authorization"));
  if (Match.Owner != nullptr || Match.Found->Anonymous)
    return Match;
  Match.Refused = Failure{ErrorKind::Unauthorized, "", {}};
  Match.Reason = "unknown_key";
  return Match;
}

} // namespace jacinthpond
