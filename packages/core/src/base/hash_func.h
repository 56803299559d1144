/** @file hash_func.h SHA-256 digests and rendezvous ranking. */

#ifndef JACINTHPOND_CORE_HASH_FUNC_H
#define JACINTHPOND_CORE_HASH_FUNC_H

#include "base/ids_type.h"

#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Digests bytes.
 * @param Bytes Any bytes.
 * @return SHA-256 as lower-case hex.
 */
Digest sha256(std::string_view Bytes);

/**
 * Sums up bytes, to notice that they changed on their way. No protection
 * against an attacker.
 * @param Bytes Any bytes.
 * @return 64-bit XXH3.
 */
uint64_t checksum64(std::string_view Bytes);

/**
 * Scores a candidate for a key; the highest score is the first rank. Every
 * process works out the same order alone.
 * @param Key What is to be placed.
 * @param Candidate Name of a possible place.
 * @return The score.
 */
uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

/**
 * Orders candidates for a key, first rank first.
 * @param Key What is to be placed.
 * @param Candidates Names of the possible places.
 * @return The same names by falling score, equal scores by name.
 */
std::vector<HostName> rendezvousOrder(std::string_view Key,
                                      std::vector<HostName> Candidates);

} // namespace jacinthpond

#endif
