/** @file message_codec.cpp Encoding of messages as CBOR, by nlohmann-json. */

#include "codec/message_codec.h"

#include "base/cbor_reader.h"
#include "base/hash_func.h"
#include "codec/text_compression.h"
#include "configuration/document_func.h"
#include "table/error_table.h"
#include "table/message_table.h"
#include "wire/message_fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <type_traits>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Index of ConfigPush in Message. Its document is compressed: every change
 * goes to every process, and compression shrinks a document to a sixth. */
constexpr size_t ConfigPushIndex = 3;
static_assert(
    std::is_same_v<std::variant_alternative_t<ConfigPushIndex, Message>,
                   ConfigPush>);

/** Number of values of an enumeration; 0: it may not be sent. */
template <typename Enum> constexpr uint64_t EnumSize = 0;
template <> constexpr uint64_t EnumSize<Role> = 2;
template <> constexpr uint64_t EnumSize<WorkerState> = 5;
template <> constexpr uint64_t EnumSize<Ran> = 3;
template <> constexpr uint64_t EnumSize<KnownAttemptState> = 4;
template <>
constexpr uint64_t
    EnumSize<ErrorKind> = static_cast<uint64_t>(ErrorKind::Count);

/** Follows each digest in a field; digests consist of letters and digits. */
constexpr char DigestTerminator = '\n';

/** Joins digests into one string field: a nested array would need a length
 * limit of its own. */
std::string joinDigests(const std::vector<Digest> &All) {
  return std::accumulate(All.begin(), All.end(), std::string(),
                         [](std::string Sum, const Digest &One) {
                           return std::move(Sum) + One.Value + DigestTerminator;
                         });
}

/** Splits a field into digests; false when its last one is not terminated. */
bool splitDigests(const std::string &Text, std::vector<Digest> &Into) {
  Into.clear();
  for (size_t Begin = 0; Begin < Text.size();) {
    const size_t End = Text.find(DigestTerminator, Begin);
    if (End == std::string::npos)
      return false;
    Into.push_back({Text.substr(Begin, End - Begin)});
    Begin = End + 1;
  }
  return true;
}

/** Visitor that appends each field of a message to a CBOR array. */
struct FieldWriter {
  Json List = Json::array(); ///< The type and the fields so far.

  template <typename T> void operator()(const char *Name, const T &Field) {
    if constexpr (std::is_enum_v<T>)
      List.push_back(static_cast<uint64_t>(Field));
    else if constexpr (requires { Field.Value; })
      (*this)(Name, Field.Value);
    else if constexpr (std::is_same_v<T, std::string>)
      List.push_back(Json::binary({Field.begin(), Field.end()}));
    else if constexpr (std::is_same_v<T, std::vector<uint8_t>>)
      List.push_back(Json::binary(Field));
    else if constexpr (std::is_same_v<T, std::vector<Digest>>)
      (*this)(Name, joinDigests(Field));
    else if constexpr (std::is_same_v<T, std::optional<double>>)
      List.push_back(Field ? Json(*Field) : Json());
    else
      List.push_back(Field);
  }
};

/** Visitor that reads the fields of a message in order; a missing field is an
 * error. */
struct FieldReader {
  const Json &List;     ///< The type and the fields.
  size_t NextIndex = 1; ///< Index of the next field; 0 holds the type.
  const char *FirstInvalid = nullptr; ///< First field that could not be read.

  template <typename T> void operator()(const char *Name, T &Field) {
    if constexpr (requires { Field.Value; }) {
      (*this)(Name, Field.Value);
    } else {
      const size_t n = NextIndex++;
      if (n >= List.size() || !read(List[n], Field))
        FirstInvalid = FirstInvalid == nullptr ? Name : FirstInvalid;
    }
  }

private:
  /** Reads a byte string; like all overloads, false when the value is of
   * another type or out of range. */
  static bool read(const Json &Value, std::string &Field) {
    if (!Value.is_binary())
      return false;
    Field.assign(Value.get_binary().begin(), Value.get_binary().end());
    return true;
  }

  /** Reads raw bytes. */
  static bool read(const Json &Value, std::vector<uint8_t> &Field) {
    if (!Value.is_binary())
      return false;
    Field = Value.get_binary();
    return true;
  }

  /** Reads the digests that joinDigests() wrote. */
  static bool read(const Json &Value, std::vector<Digest> &Field) {
    std::string Text;
    return read(Value, Text) && splitDigests(Text, Field);
  }

  /** Reads a finite rate of at least 0, or null. */
  static bool read(const Json &Value, std::optional<double> &Field) {
    Field.reset();
    if (Value.is_null())
      return true;
    if (!Value.is_number())
      return false;
    Field = Value.get<double>();
    return std::isfinite(*Field) && *Field >= 0;
  }

  /** Reads a boolean. */
  static bool read(const Json &Value, bool &Field) {
    if (!Value.is_boolean())
      return false;
    Field = Value.get<bool>();
    return true;
  }

  /** Reads an integer that fits into T. */
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

  /** Reads an enumerator below EnumSize. */
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
 * Appends the checksum of a frame, least significant byte first. TCP's checksum
 * is weak: without this one, a flipped bit that TCP misses could silently give
 * a caller the key or the text of another caller.
 */
void appendChecksum(std::string &Frame) {
  uint64_t Sum = checksum64(Frame);
  for (size_t n = 0; n < sizeof(Sum); ++n, Sum >>= 8U)
    Frame += static_cast<char>(Sum & 0xffU);
}

/** Removes the checksum from a frame; false when it does not match. */
bool verifyAndRemoveChecksum(std::string_view &Frame) {
  if (Frame.size() < sizeof(uint64_t))
    return false;
  const std::string_view Tail = Frame.substr(Frame.size() - sizeof(uint64_t));
  Frame.remove_suffix(sizeof(uint64_t));
  uint64_t Sum = 0;
  for (size_t n = sizeof(Sum); n-- > 0;)
    Sum = (Sum << 8U) | static_cast<unsigned char>(Tail[n]);
  return Sum == checksum64(Frame);
}

/** Decodes the fields of a message of the given type, an index in Message.
 * Recurses over the alternatives from Index on. */
template <size_t Index = 0>
Result<Message> decodeAlternative(size_t TypeIndex, const Json &List) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (TypeIndex != Index)
      return decodeAlternative<Index + 1>(TypeIndex, List);
    std::variant_alternative_t<Index, Message> m;
    FieldReader Reader{List};
    describe(Reader, m);
    if (Reader.FirstInvalid != nullptr)
      return fail(ErrorKind::Malformed,
                  std::string("field ") + Reader.FirstInvalid + " of message " +
                      std::string(MessageNames.at(Index)));
    if (Reader.NextIndex != List.size())
      return fail(ErrorKind::Malformed,
                  "extra fields in message " +
                      std::string(MessageNames.at(Index)));
    if constexpr (Index == ConfigPushIndex) {
      auto Text = decompressText(m.Text, MaxDocumentBytes);
      if (!Text)
        return fail(ErrorKind::Malformed, "document cannot be expanded");
      m.Text = std::move(*Text);
    }
    return Message(std::move(m));
  } else {
    return fail(ErrorKind::Malformed, "unknown message");
  }
}

} // namespace

std::string encodeMessage(const Message &m) {
  FieldWriter Writer;
  Writer.List.push_back(m.index());
  std::visit(
      [&](auto Copy) { // describe() needs a mutable message for FieldReader.
        if constexpr (std::is_same_v<decltype(Copy), ConfigPush>)
          Copy.Text = compressText(Copy.Text);
        describe(Writer, Copy);
      },
      m);
  std::string buf;
  Json::to_cbor(Writer.List, buf);
  appendChecksum(buf);
  return buf;
}

Result<Message> decodeMessage(std::string_view Bytes) {
  if (!verifyAndRemoveChecksum(Bytes))
    return fail(ErrorKind::Malformed, "checksum differs");
  const Json List = readCbor(Bytes, CborLimits{});
  if (!List.is_array() || List.empty())
    return fail(ErrorKind::Malformed, "not a CBOR list");
  if (!List[0].is_number_unsigned())
    return fail(ErrorKind::Malformed, "message without a type");
  return decodeAlternative(List[0].get<size_t>(), List);
}

} // namespace jacinthpond
