/** @file hash.cpp SHA-256 (OpenSSL) and rendezvous hashing (xxHash). */

#include "base/hash_func.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>

namespace jacinthpond {

namespace {

/** Formats a digest in lower-case hex. */
Digest
hexDigest(const std::array<unsigned char, SHA256_DIGEST_LENGTH> &Binary) {
  static constexpr std::string_view HexDigits = "0123456789abcdef";
  Digest Hex;
  Hex.Value.reserve(2 * Binary.size());
  for (const unsigned char Byte : Binary) {
    Hex.Value += HexDigits[Byte >> 4U];
    Hex.Value += HexDigits[Byte & 15U];
  }
  return Hex;
}

/** SHA-256 of bytes that come in parts. */
class Sha256Stream {
public:
  Sha256Stream() : Context(EVP_MD_CTX_new(), EVP_MD_CTX_free) {
    EVP_DigestInit_ex(Context.get(), EVP_sha256(), nullptr);
  }
  void add(std::string_view Bytes) {
    EVP_DigestUpdate(Context.get(), Bytes.data(), Bytes.size());
  }
  Digest finish() {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> Binary{};
    EVP_DigestFinal_ex(Context.get(), Binary.data(), nullptr);
    return hexDigest(Binary);
  }

private:
  std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX *)> Context;
};

} // namespace

Digest sha256(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Binary{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Binary.data());
  return hexDigest(Binary);
}

Digest digestOfFields(std::initializer_list<std::string_view> Fields,
                      const std::vector<std::string_view> &Body) {
  Sha256Stream Stream;
  for (const std::string_view Field : Fields) {
    Stream.add(std::to_string(Field.size()) + "/");
    Stream.add(Field);
  }
  std::ranges::for_each(Body, [&](std::string_view One) { Stream.add(One); });
  return Stream.finish();
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
