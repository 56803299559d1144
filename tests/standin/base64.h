/** @file base64.h Values as the users' platform's store writes them. */

#ifndef JACINTHPOND_TESTS_STANDIN_BASE64_H
#define JACINTHPOND_TESTS_STANDIN_BASE64_H

#include <openssl/evp.h>

#include <string>

namespace jacinthpond::standin {

/**
 * Writes a text in base64.
 * @param Text Any bytes.
 * @return The text, with padding.
 */
inline std::string base64(const std::string &Text) {
  std::string Out(4 * ((Text.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  Out.resize(static_cast<size_t>(n));
  return Out;
}

} // namespace jacinthpond::standin

#endif
