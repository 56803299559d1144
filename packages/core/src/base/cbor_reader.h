/** @file cbor_reader.h Parser for untrusted CBOR. */

#ifndef JACINTHPOND_CORE_CBOR_READER_H
#define JACINTHPOND_CORE_CBOR_READER_H

#include <nlohmann/json.hpp>

#include <string_view>

namespace jacinthpond {

/** Limits on the structure of a CBOR value. */
struct CborLimits {
  size_t Depth = 1;  ///< Maximum nesting of lists, including the outermost.
  size_t Items = 64; ///< Maximum declared length of a list.
};

/**
 * Parses one CBOR value that consists of lists and scalars. The library alone
 * is not safe on untrusted input: it recurses into nested values until the
 * stack overflows, and throws for a list whose declared length exceeds memory
 * even with exceptions turned off.
 * @param Bytes The complete value; maps are rejected.
 * @param Limits Limits on nesting and list lengths.
 * @return The value, or a discarded value (`is_discarded()`) on error.
 */
nlohmann::json readCbor(std::string_view Bytes, const CborLimits &Limits);

} // namespace jacinthpond

#endif
