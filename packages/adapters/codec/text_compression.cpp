/** @file text_compression.cpp Compressed text by zlib. */

#include "codec/text_compression.h"

#include <zlib.h>

#include <algorithm>

namespace jacinthpond {

namespace {

/** Level of zlib: documents shrink to a sixth; higher levels gain little. */
constexpr int Level = 3;
/** Bytes by which the text grows while it is expanded. */
constexpr size_t Step = 64 << 10;

} // namespace

std::string compressText(std::string_view Text) {
  if (Text.empty())
    return {};
  uLongf Size = compressBound(Text.size());
  std::string Bytes(Size, '\0');
  const int Done = compress2(reinterpret_cast<Bytef *>(Bytes.data()), &Size,
                             reinterpret_cast<const Bytef *>(Text.data()),
                             Text.size(), Level);
  // It fails only without memory; an empty form is no text for the receiver.
  Bytes.resize(Done == Z_OK ? Size : 0);
  Bytes.shrink_to_fit();
  return Bytes;
}

std::optional<std::string> expandText(std::string_view Bytes, size_t MaxBytes) {
  if (Bytes.empty())
    return std::string();
  z_stream Stream{};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  std::string Text;
  int Done = Z_OK;
  while (Done == Z_OK && Text.size() <= MaxBytes) {
    const size_t Before = Text.size();
    Text.resize(Before + Step);
    Stream.next_out = reinterpret_cast<Bytef *>(Text.data() + Before);
    Stream.avail_out = static_cast<uInt>(Step);
    Done = inflate(&Stream, Z_NO_FLUSH);
    Text.resize(Before + Step - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (Done != Z_STREAM_END || Text.size() > MaxBytes)
    return std::nullopt;
  return Text;
}

} // namespace jacinthpond
