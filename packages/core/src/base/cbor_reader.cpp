/** @file cbor_reader.cpp Parser for untrusted CBOR. */

#include "base/cbor_reader.h"

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Builds a JSON value from parse events; stops at the first list that exceeds
 * the limits, and at any map. */
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
  BoundedBuilder(Json &Into, const CborLimits &Bounds)
      : nlohmann::detail::json_sax_dom_parser<Json>(Into, false),
        Limits(Bounds) {}

  bool start_array(size_t Size) {
    const bool HasLength = Size != SIZE_MAX;
    if (Depth >= Limits.Depth || (HasLength && Size > Limits.Items))
      return false;
    ++Depth;
    return json_sax_dom_parser::start_array(Size);
  }

  bool end_array() {
    --Depth;
    return json_sax_dom_parser::end_array();
  }

  bool start_object(size_t) { return false; }

private:
  CborLimits Limits;
  size_t Depth = 0; ///< Number of open lists.
};

} // namespace

Json readCbor(std::string_view Bytes, const CborLimits &Limits) {
  Json Value;
  BoundedBuilder Builder(Value, Limits);
  if (!Json::sax_parse(Bytes.begin(), Bytes.end(), &Builder,
                       Json::input_format_t::cbor, true))
    return Json(Json::value_t::discarded);
  return Value;
}

} // namespace jacinthpond
