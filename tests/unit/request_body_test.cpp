/** @file request_body_test.cpp Bodies of requests in blocks. */
// Labels: routes

#include "forward/request_body.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** Appends a text in parts of one size. */
BodyBlocks inParts(const std::string &Text, size_t PartBytes,
                   uint64_t Expected) {
  BodyBlocks Body;
  Body.expect(Expected);
  for (size_t n = 0; n < Text.size(); n += PartBytes)
    Body.append(std::string_view(Text).substr(n, PartBytes));
  return Body;
}

std::string joined(const BodyBlocks &Body) {
  std::string All;
  for (const std::string_view One : Body.views())
    All += One;
  return All;
}

} // namespace

// Guards against bytes that are lost or moved between blocks.
BOOST_AUTO_TEST_CASE(ABodyIsTheSameHoweverItComes) {
  std::string Text;
  for (size_t n = 0; n < 300000; ++n)
    Text += static_cast<char>('a' + n % 23);
  for (const size_t PartBytes : {1UL, 7UL, 4096UL, 300000UL})
    for (const uint64_t Expected : {0UL, 1000UL, 300000UL, 1UL << 40U}) {
      const BodyBlocks Body = inParts(Text, PartBytes, Expected);
      BOOST_TEST(Body.size() == Text.size());
      BOOST_TEST((joined(Body) == Text));
      BOOST_TEST(boost::asio::buffer_size(Body.buffers()) == Text.size());
    }
}

// Guards against bodies that take more memory than they are counted with, and
// against an announced length that takes memory.
BOOST_AUTO_TEST_CASE(ABodyTakesHardlyMoreThanItsSize) {
  constexpr size_t Size = 4 << 20;
  constexpr size_t BlockBytes = 128 << 10;
  const std::string Text(Size, 'x');
  BOOST_TEST(inParts(Text, 4096, 0).allocated() <= Size + BlockBytes);
  BOOST_TEST(inParts(Text, 4096, Size).allocated() <= Size + 4096);
  BOOST_TEST(inParts("x", 1, uint64_t{1} << 40U).allocated() < 100U);
}
