/** @file home_token.cpp Home tokens, and the choice of the home of a key. */

#include "attempts/home_token_func.h"

#include "base/cbor_reader.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Hex digits of the checksum at the end of a token. */
constexpr size_t ChecksumDigits = 16;
/** Nested lists in an encoded token: the token, its homes, one home. */
constexpr size_t MaxTokenDepth = 3;

/** Text of a key for rendezvous hashing; the same at every process. */
std::string rendezvousKey(const KeyName &Key) {
  const auto &[Class, Workspace, Name] = Key;
  return Json({Class.Value, Workspace.Value, Name.Value})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Encodes bytes as lower-case hex digits. */
std::string toHex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (const char c : Bytes) {
    const auto Byte = static_cast<unsigned char>(c);
    Hex += Digits[Byte >> 4U];
    Hex += Digits[Byte & 15U];
  }
  return Hex;
}

/** Value of a lower-case hex digit; -1 for any other character. */
int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/** Decodes lower-case hex digits; empty for any other text. */
std::string fromHex(std::string_view Hex) {
  std::string Bytes;
  if (Hex.size() % 2 != 0)
    return Bytes;
  for (size_t n = 0; n < Hex.size(); n += 2) {
    const int High = hexValue(Hex[n]);
    const int Low = hexValue(Hex[n + 1]);
    if (High < 0 || Low < 0)
      return "";
    Bytes += static_cast<char>(High * 16 + Low);
  }
  return Bytes;
}

/** Start of the SHA-256 digest in hex; detects damage, not forgery. */
std::string checksum(std::string_view Bytes) {
  return sha256(Bytes).Value.substr(0, ChecksumDigits);
}

/** Decodes the homes of a token; false when they are malformed. */
bool readHomes(const Json &Rows, HomeToken &Token) {
  if (!Rows.is_array() || Rows.empty() || Rows.size() > MaxTokenHomes)
    return false;
  for (const Json &Row : Rows) {
    const bool IsValid = Row.is_array() && Row.size() == 3 &&
                         Row[0].is_string() && Row[1].is_number_unsigned() &&
                         Row[2].is_number_unsigned();
    if (!IsValid)
      return false;
    Token.Homes.push_back({HostName{Row[0].get<std::string>()},
                           Incarnation{Row[1].get<uint64_t>()},
                           Row[2].get<uint64_t>()});
  }
  return true;
}

} // namespace

std::string writeToken(const HomeToken &Token) {
  Json Homes = Json::array();
  for (const TokenHome &Home : Token.Homes)
    Homes.push_back({Home.Name.Value, Home.Run.Value, Home.Epoch});
  const std::vector<uint8_t> Packed =
      Json::to_cbor({Token.Class.Value, Token.Serial, Homes});
  const std::string Bytes(Packed.begin(), Packed.end());
  return toHex(Bytes) + checksum(Bytes);
}

Result<HomeToken> readToken(std::string_view Text) {
  const auto InvalidToken = [] {
    return fail(ErrorKind::BadRequest, "X-Home-Token is cut or changed");
  };
  if (Text.size() <= ChecksumDigits)
    return InvalidToken();
  const std::string Bytes =
      fromHex(Text.substr(0, Text.size() - ChecksumDigits));
  if (Bytes.empty() ||
      checksum(Bytes) != Text.substr(Text.size() - ChecksumDigits))
    return InvalidToken();
  // Anyone can make a token with a valid checksum, so its content is untrusted.
  const Json Value = readCbor(Bytes, {MaxTokenDepth, MaxTokenHomes});
  const bool IsValid = Value.is_array() && Value.size() == 3 &&
                       Value[0].is_string() && Value[1].is_number_unsigned();
  HomeToken Token;
  if (!IsValid || !readHomes(Value[2], Token))
    return InvalidToken();
  Token.Class.Value = Value[0].get<std::string>();
  Token.Serial = Value[1].get<uint64_t>();
  return Token;
}

const TokenHome &homeFromToken(const HomeToken &Token, const KeyName &Key) {
  std::vector<HostName> Names;
  std::ranges::transform(Token.Homes, std::back_inserter(Names),
                         &TokenHome::Name);
  const HostName First = rendezvousOrder(rendezvousKey(Key), Names).front();
  return *std::ranges::find(Token.Homes, First, &TokenHome::Name);
}

HostName homeFromDocument(const Document &Doc, const KeyName &Key) {
  const WorkClass *Class = findClass(Doc, std::get<ClassName>(Key));
  if (Class == nullptr)
    return {};
  std::vector<HostName> Names;
  for (const Worker *Host : workersOf(Doc, *Class))
    if (!Doc.DomainsOut.contains(Host->Domain))
      Names.push_back(Host->Name);
  if (Names.empty())
    return {};
  return rendezvousOrder(rendezvousKey(Key), Names).front();
}

} // namespace jacinthpond
