/** @file request_body.h Body of a caller's request, as blocks of bytes. */

#ifndef JACINTHPOND_ENTRY_FORWARD_REQUEST_BODY_H
#define JACINTHPOND_ENTRY_FORWARD_REQUEST_BODY_H

#include "forward/append_reader.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthpond {

/** Bytes in blocks of growing size. Unlike a string, they take hardly more
 * memory than their size, and do not move when they grow. */
class BodyBlocks {
public:
  /**
   * Appends bytes.
   * @param Bytes The bytes.
   */
  void append(std::string_view Bytes) {
    while (!Bytes.empty()) {
      if (Blocks.empty() || Blocks.back().size() == Blocks.back().capacity())
        addBlock(Bytes.size());
      std::string &Last = Blocks.back();
      const size_t n = std::min(Bytes.size(), Last.capacity() - Last.size());
      Last.append(Bytes.substr(0, n));
      Size += n;
      Bytes.remove_prefix(n);
    }
  }

  /**
   * Says how long the body will be; then its last block is not larger than what
   * is missing. Nothing is reserved.
   * @param Bytes The announced length.
   */
  void expect(uint64_t Bytes) { Expected = Bytes; }

  /** Number of bytes. @return Bytes. */
  size_t size() const { return Size; }

  /** Memory that the blocks take. @return Bytes. */
  size_t allocated() const { return Allocated; }

  /** The blocks, in order. @return Views, valid until the next append(). */
  std::vector<std::string_view> views() const {
    return {Blocks.begin(), Blocks.end()};
  }

  /** The blocks as buffers to write. @return The buffers. */
  std::vector<boost::asio::const_buffer> buffers() const {
    std::vector<boost::asio::const_buffer> All;
    for (const std::string &One : Blocks)
      All.push_back(boost::asio::buffer(One));
    return All;
  }

private:
  /** Smallest and largest block. The largest is one that malloc maps and unmaps
   * by itself, so that no hole in the heap remains. */
  static constexpr size_t MinBlockBytes = 4 << 10;
  static constexpr size_t MaxBlockBytes = 128 << 10;

  /** Adds an empty block; small bodies get one of their size. */
  void addBlock(size_t Wanted) {
    const size_t Smallest = Blocks.empty() ? 0 : MinBlockBytes;
    size_t n = std::min(std::max({Wanted, Size, Smallest}), MaxBlockBytes);
    if (Expected > Size)
      n = static_cast<size_t>(std::min<uint64_t>(n, Expected - Size));
    Blocks.emplace_back().reserve(n);
    Allocated += Blocks.back().capacity();
  }

  std::vector<std::string> Blocks;
  size_t Size = 0;
  size_t Allocated = 0;
  uint64_t Expected = 0; ///< Announced length; 0: unknown.
};

/** Body type of the HTTP library for BodyBlocks. */
struct BlockBody {
  using value_type = BodyBlocks; ///< What has been received.

  /** Number of bytes. @param Body The body. @return Bytes. */
  static uint64_t size(const value_type &Body) { return Body.size(); }

  /** Receives the parsed parts; the parser calls it. */
  using reader = AppendReader<value_type>; // NOLINT: the library's name.
};

} // namespace jacinthpond

#endif
