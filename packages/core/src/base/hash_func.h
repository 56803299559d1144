/** @file hash_func.h SHA-256 digests, checksums and rendezvous hashing. */

#ifndef JACINTHPOND_CORE_HASH_FUNC_H
#define JACINTHPOND_CORE_HASH_FUNC_H

#include "base/ids_type.h"

#include <initializer_list>
#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Computes the SHA-256 digest of bytes.
 * @param Bytes Any bytes.
 * @return The digest in lower-case hex.
 */
Digest sha256(std::string_view Bytes);

/**
 * Computes a digest of several fields and a body. Each field counts with its
 * length, so that different fields never concatenate to equal strings.
 * @param Fields The fields, in a fixed order.
 * @param Body Bytes that follow them, in parts; where they are divided makes no
 *             difference.
 * @return The digest in lower-case hex.
 */
Digest digestOfFields(std::initializer_list<std::string_view> Fields,
                      const std::vector<std::string_view> &Body);

/**
 * Computes a checksum that detects corruption in transit. It gives no
 * protection against an attacker.
 * @param Bytes Any bytes.
 * @return 64-bit XXH3.
 */
uint64_t checksum64(std::string_view Bytes);

/**
 * Computes the rendezvous hashing score of a candidate for a key; the highest
 * score is the first rank. All processes compute the same score without
 * communicating.
 * @param Key Key to assign.
 * @param Candidate Name of a candidate.
 * @return The score.
 */
uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

/**
 * Sorts candidates for a key by rendezvous hashing, first rank first.
 * @param Key Key to assign.
 * @param Candidates Names of the candidates.
 * @return The same names by descending score, equal scores by name.
 */
std::vector<HostName> rendezvousOrder(std::string_view Key,
                                      std::vector<HostName> Candidates);

} // namespace jacinthpond

#endif
