/** @file append_reader.h Takes over the parsed parts of a body. */

#ifndef JACINTHPOND_ENTRY_FORWARD_APPEND_READER_H
#define JACINTHPOND_ENTRY_FORWARD_APPEND_READER_H

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <string_view>

namespace jacinthpond {

/**
 * Reader of a body type of the HTTP library that appends each part to a value.
 * Unlike the one of the library's string body it reserves no memory for the
 * announced length, which may be any number.
 * @tparam Value Has append(std::string_view), and may have expect(uint64_t) to
 *               be told the announced length.
 */
template <typename Value> class AppendReader {
public:
  template <bool IsRequest, class Fields>
  AppendReader(boost::beast::http::header<IsRequest, Fields> &, Value &Into)
      : Into(Into) {}
  void init(const boost::optional<uint64_t> &Length,
            boost::system::error_code &ec) {
    ec = {};
    if constexpr (requires { Into.expect(uint64_t{}); })
      Into.expect(Length.value_or(0));
  }
  template <class Buffers>
  size_t put(const Buffers &Parts, boost::system::error_code &ec) {
    ec = {};
    size_t n = 0;
    for (const auto Part : boost::beast::buffers_range_ref(Parts)) {
      Into.append(std::string_view(static_cast<const char *>(Part.data()),
                                   Part.size()));
      n += Part.size();
    }
    return n;
  }
  void finish(boost::system::error_code &ec) { ec = {}; }

private:
  Value &Into;
};

} // namespace jacinthpond

#endif
