/** @file response_head.h Checks of the heads of HTTP responses. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_RESPONSE_HEAD_H
#define JACINTHPOND_ADAPTERS_HTTP_RESPONSE_HEAD_H

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthpond {

/** Longest head of a response. */
constexpr uint32_t MaxResponseHeadBytes = 16384;

/**
 * Says whether a header is continued on a folded line (RFC 9112, 5.2), which
 * parsers join to the value before it.
 * @param Lines Bytes of a head from the beginning of a line on; what follows an
 *        empty line is not looked at.
 * @return True if a line begins with a blank or a tab.
 */
bool hasFoldedLine(std::string_view Lines);

/** Checks the heads of the responses to a request as their bytes arrive, for
 * clients whose library takes malformed ones. */
class ResponseHeadCheck {
public:
  /**
   * Takes the next bytes; those behind the head of the final response are not
   * looked at.
   * @param Bytes The bytes.
   * @return False if a head is malformed, too long, or of a kind that the
   *         library can't read.
   */
  bool accept(std::string_view Bytes);

  /**
   * Says whether the final response has begun.
   * @return True once its whole head was accepted.
   */
  bool isComplete() const { return Complete; }

private:
  std::string Head;      ///< Head that is not complete yet.
  bool Complete = false; ///< The head of the final response was accepted.
};

} // namespace jacinthpond

#endif
