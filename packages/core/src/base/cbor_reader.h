/** @file cbor_reader.h Reads CBOR that is not trusted. */

#ifndef JACINTHPOND_CORE_CBOR_READER_H
#define JACINTHPOND_CORE_CBOR_READER_H

#include <nlohmann/json.hpp>

#include <string_view>

namespace jacinthpond {

/** Bounds of what is read. */
struct CborLimits {
  size_t Depth = 1;  ///< Lists within lists, the outermost included.
  size_t Items = 64; ///< Elements that one list may claim to have.
};

/**
 * Reads one CBOR value made of lists and plain values. The library alone is
 * no match for hostile bytes: it recurses into nested values until the stack
 * ends, and throws for a list that claims to be longer than memory though it
 * is told not to.
 * @param Bytes The whole value; maps are refused.
 * @param Limits Bounds.
 * @return The value, or a discarded one.
 */
nlohmann::json readCbor(std::string_view Bytes, const CborLimits &Limits);

} // namespace jacinthpond

#endif
