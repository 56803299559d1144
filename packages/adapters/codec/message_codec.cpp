/** @file message_codec.cpp Messages to CBOR and back, by nlohmann-json. */

#include "codec/message_codec.h"

#include "hash_func.h"
#include "message_fields.h"
#include "table/error_table.h"
#include "table/message_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <type_traits>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Name of the map entry that says which message it is. */
constexpr const char *TypeKey = "t";

/** Number of values of an enumeration that may be sent; 0: not allowed. */
template <typename Enum> constexpr uint64_t EnumSize = 0;
template <> constexpr uint64_t EnumSize<Role> = 2;
template <> constexpr uint64_t EnumSize<WorkerState> = 5;
template <> constexpr uint64_t EnumSize<Ran> = 3;
template <> constexpr uint64_t EnumSize<AttemptKnown> = 4;
template <>
constexpr uint64_t
    EnumSize<ErrorKind> = static_cast<uint64_t>(ErrorKind::Count);

/** Visitor that writes each field into a map. */
struct FieldWriter {
  Json Map = Json::object(); ///< The message so far.

  template <typename T> void operator()(const char *Name, const T &Field) {
    if constexpr (std::is_enum_v<T>)
      Map[Name] = static_cast<uint64_t>(Field);
    else if constexpr (requires { Field.Value; })
      (*this)(Name, Field.Value);
    else if constexpr (std::is_same_v<T, std::string>)
      Map[Name] = Json::binary({Field.begin(), Field.end()});
    else if constexpr (std::is_same_v<T, std::vector<uint8_t>>)
      Map[Name] = Json::binary(Field);
    else
      Map[Name] = Field;
  }
};

/** Visitor that reads each field out of a map; a missing one is an error. */
struct FieldReader {
  const Json &Map;           ///< The message.
  const char *Bad = nullptr; ///< First field that could not be read.

  template <typename T> void operator()(const char *Name, T &Field) {
    if constexpr (requires { Field.Value; }) {
      (*this)(Name, Field.Value);
    } else {
      const auto it = Map.find(Name);
      if (it == Map.end() || !read(*it, Field))
        Bad = Bad == nullptr ? Name : Bad;
    }
  }

private:
  static bool read(const Json &Value, std::string &Field) {
    if (!Value.is_binary())
      return false;
    Field.assign(Value.get_binary().begin(), Value.get_binary().end());
    return true;
  }

  static bool read(const Json &Value, std::vector<uint8_t> &Field) {
    if (!Value.is_binary())
      return false;
    Field = Value.get_binary();
    return true;
  }

  static bool read(const Json &Value, bool &Field) {
    if (!Value.is_boolean())
      return false;
    Field = Value.get<bool>();
    return true;
  }

  template <typename T>
  static std::enable_if_t<std::is_integral_v<T>, bool> read(const Json &Value,
                                                            T &Field) {
    if (!Value.is_number_integer())
      return false;
    if (Value.is_number_unsigned()) {
      const auto Number = Value.get<uint64_t>();
      if (Number > static_cast<uint64_t>(std::numeric_limits<T>::max()))
        return false;
      Field = static_cast<T>(Number);
      return true;
    }
    const auto Number = Value.get<int64_t>();
    if (std::is_unsigned_v<T> ||
        Number < static_cast<int64_t>(std::numeric_limits<T>::min()))
      return false;
    Field = static_cast<T>(Number);
    return true;
  }

  template <typename T>
  static std::enable_if_t<std::is_enum_v<T>, bool> read(const Json &Value,
                                                        T &Field) {
    static_assert(EnumSize<T> > 0);
    if (!Value.is_number_unsigned() || Value.get<uint64_t>() >= EnumSize<T>)
      return false;
    Field = static_cast<T>(Value.get<uint64_t>());
    return true;
  }
};

/**
 * Ends a frame with its checksum, lowest byte first. A bit that flips behind
 * TCP's own weak sum would otherwise give one caller another one's key or
 * text, with nothing to show it.
 */
void appendChecksum(std::string &Frame) {
  uint64_t Sum = checksum64(Frame);
  for (size_t n = 0; n < sizeof(Sum); ++n, Sum >>= 8U)
    Frame += static_cast<char>(Sum & 0xffU);
}

/** Takes the checksum off a frame; false when it does not fit. */
bool dropChecksum(std::string_view &Frame) {
  if (Frame.size() < sizeof(uint64_t))
    return false;
  const std::string_view Tail = Frame.substr(Frame.size() - sizeof(uint64_t));
  Frame.remove_suffix(sizeof(uint64_t));
  uint64_t Sum = 0;
  for (size_t n = sizeof(Sum); n-- > 0;)
    Sum = (Sum << 8U) | static_cast<unsigned char>(Tail[n]);
  return Sum == checksum64(Frame);
}

/**
 * Builds the map of a message. The library recurses into nested values, so
 * that one hostile frame would end the process on its stack, and it throws for
 * a list that claims to be longer than memory, though it is told not to. No
 * message nests: the first value within the map that does ends the reading.
 */
class FlatReader : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
  explicit FlatReader(Json &Into)
      : nlohmann::detail::json_sax_dom_parser<Json>(Into, false) {}

  bool start_object(size_t Size) {
    if (Inside || (Size != SIZE_MAX && Size > MaxFields))
      return false;
    Inside = true;
    return json_sax_dom_parser::start_object(Size);
  }
  bool start_array(size_t) { return false; }

private:
  /** Well above the fields of any message. */
  static constexpr size_t MaxFields = 64;

  bool Inside = false; ///< The message's own map was begun.
};

/** Gives the map of a frame, or something else when there is none. */
Json readMap(std::string_view Bytes) {
  Json Map;
  FlatReader Reader(Map);
  if (!Json::sax_parse(Bytes.begin(), Bytes.end(), &Reader,
                       Json::input_format_t::cbor, true))
    return Json(Json::value_t::discarded);
  return Map;
}

template <size_t Index = 0>
Result<Message> decodeAlternative(size_t Which, const Json &Map) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (Which != Index)
      return decodeAlternative<Index + 1>(Which, Map);
    std::variant_alternative_t<Index, Message> m;
    FieldReader Reader{Map};
    describe(Reader, m);
    if (Reader.Bad != nullptr)
      return fail(ErrorKind::Malformed,
                  std::string("field ") + Reader.Bad + " of message " +
                      std::string(MessageNames.at(Index)));
    return Message(std::move(m));
  } else {
    return fail(ErrorKind::Malformed, "unknown message");
  }
}

} // namespace

std::string encodeMessage(const Message &m) {
  FieldWriter Writer;
  Writer.Map[TypeKey] = m.index();
  std::visit(
      [&](auto Copy) { // describe() takes a mutable message for the reader.
        describe(Writer, Copy);
      },
      m);
  std::string buf;
  Json::to_cbor(Writer.Map, buf);
  appendChecksum(buf);
  return buf;
}

Result<Message> decodeMessage(std::string_view Bytes) {
  if (!dropChecksum(Bytes))
    return fail(ErrorKind::Malformed, "checksum differs");
  const Json Map = readMap(Bytes);
  if (!Map.is_object())
    return fail(ErrorKind::Malformed, "not a CBOR map");
  const auto it = Map.find(TypeKey);
  if (it == Map.end() || !it->is_number_unsigned())
    return fail(ErrorKind::Malformed, "message without a type");
  return decodeAlternative(it->get<size_t>(), Map);
}

} // namespace jacinthpond
