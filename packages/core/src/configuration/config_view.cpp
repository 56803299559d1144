/** @file config_view.cpp Accepts documents from the service and peers. */

#include "configuration/config_view_func.h"

#include "configuration/document_func.h"

namespace jacinthpond {

OfferResult offerDocument(ConfigView &View, std::string_view Text,
                          TimePoint Now) {
  if (View.InForce && View.InForce->Text == Text)
    return OfferResult::Same;
  auto Parsed = outcomeOf([&] { return parseDocument(Text); });
  if (!Parsed.Value) {
    ++View.Refused;
    if (!View.RefusedSince)
      View.RefusedSince = Now;
    View.LastRefusal = Parsed.Why.Detail;
    return OfferResult::Invalid;
  }
  const DocumentPtr &Offered = *Parsed.Value;
  if (View.InForce && Offered->Version < View.InForce->Version)
    return OfferResult::Older;
  if (View.InForce && Offered->Version == View.InForce->Version) {
    ++View.Conflicts;
    return OfferResult::Conflict;
  }
  View.InForce = Offered;
  View.Since = Now;
  View.RefusedSince.reset();
  return OfferResult::Accepted;
}

ConfigVersion versionInForce(const ConfigView &View) {
  return View.InForce ? View.InForce->Version : ConfigVersion{};
}

Digest digestInForce(const ConfigView &View) {
  return View.InForce ? View.InForce->ContentDigest : Digest{};
}

} // namespace jacinthpond
