/** @file hash.cpp SHA-256 (OpenSSL) and rendezvous hashing (xxHash). */

#include "base/hash_func.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <utility>

namespace jacinthpond {

Digest sha256(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         buf.data());
  static constexpr std::string_view HexDigits = "0123456789abcdef";
  Digest Hex;
  Hex.Value.reserve(2 * buf.size());
  for (const unsigned char Byte : buf) {
    Hex.Value += HexDigits[Byte >> 4U];
    Hex.Value += HexDigits[Byte & 15U];
  }
  return Hex;
}

Digest digestOfFields(std::initializer_list<std::string_view> Fields,
                      std::string_view Body) {
  std::string All;
  for (const std::string_view Field : Fields) {
    All += std::to_string(Field.size()) + "/";
    All.append(Field);
  }
  All.append(Body);
  return sha256(All);
}

uint64_t checksum64(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate) {
  const uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Candidate.data(), Candidate.size(), Seed);
}

std::vector<HostName> rendezvousOrder(std::string_view Key,
                                      std::vector<HostName> Candidates) {
  std::ranges::sort(Candidates, [&](const HostName &A, const HostName &B) {
    const uint64_t ScoreA = rendezvousScore(Key, A.Value);
    const uint64_t ScoreB = rendezvousScore(Key, B.Value);
    return std::pair(ScoreB, A.Value) < std::pair(ScoreA, B.Value);
  });
  return Candidates;
}

} // namespace jacinthpond
